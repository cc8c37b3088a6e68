//! A listener that can be closed together with all its connections, as if its process had exited.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_executor::Task;
use async_net::TcpListener;
use turnford_http::bind_listener;
use turnford_http::serve_connection;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;
use turnford_http::DEFAULT_BODY_LIMIT;

use super::raw::serve_raw;
use super::raw::RawResponse;
use crate::SharedExecutor;

/// Tasks of an open listener and its connections; dropping a task cancels it at once.
type ListenerTasks = Arc<Mutex<Vec<Task<()>>>>;

/// Response to all requests on new connections, instead of the handler's.
type SharedResponse = Arc<Mutex<Option<RawResponse>>>;

/// The listener of one target and its connections.
pub(crate) struct TargetListener {
    executor: SharedExecutor,
    tasks: ListenerTasks,
    raw: SharedResponse,
}

impl TargetListener {
    /// Creates a closed listener.
    pub(crate) fn new(executor: &SharedExecutor) -> Self {
        Self {
            executor: executor.clone(),
            tasks: ListenerTasks::default(),
            raw: SharedResponse::default(),
        }
    }

    /// Sets the response to all requests on new connections.
    pub(crate) fn respond_raw(&self, response: Option<RawResponse>) {
        *lock(&self.raw) = response;
    }

    /// Listens on an address and serves all connections; with port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be bound.
    pub(crate) fn open<F, Fut>(&self, address: SocketAddr, handler: F) -> io::Result<SocketAddr>
    where
        F: Fn(BufferedRequest) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Option<HttpResponse>> + Send + 'static,
    {
        let listener = bind_listener(address)?;
        let address = listener.local_addr()?;
        let (tasks, raw) = (self.tasks.clone(), self.raw.clone());
        let accept = accept(self.executor.clone(), tasks, raw, listener, handler);
        let task = self.executor.spawn(accept);
        lock(&self.tasks).push(task);
        Ok(address)
    }

    /// Closes the listener and all connections; new connections are refused.
    pub(crate) fn close(&self) {
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        drop(tasks);
    }
}

async fn accept<F, Fut>(
    executor: SharedExecutor,
    tasks: ListenerTasks,
    raw: SharedResponse,
    listener: TcpListener,
    handler: F,
) where
    F: Fn(BufferedRequest) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let response = lock(&raw).clone();
        let handler = handler.clone();
        let serve = async move {
            match response {
                // The caller has ended the connection.
                Some(response) => drop(serve_raw(stream, response).await),
                None => serve_connection(stream, DEFAULT_BODY_LIMIT, handler).await,
            }
        };
        let task = executor.spawn(serve);
        let mut tasks = lock(&tasks);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
