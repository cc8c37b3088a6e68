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
use turnford_http::serve_stream;
use turnford_http::BufferedRequest;
use turnford_http::HttpResponse;
use turnford_http::DEFAULT_BODY_LIMIT;

use super::faulty_stream::FaultyStream;
use super::faulty_stream::StreamFaults;
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
    /// Attempts of the requests that got a raw response.
    raw_attempts: Arc<Mutex<Vec<String>>>,
    pub(super) faults: Arc<StreamFaults>,
}

impl TargetListener {
    /// Creates a closed listener.
    pub(crate) fn new(executor: &SharedExecutor) -> Self {
        Self {
            executor: executor.clone(),
            tasks: ListenerTasks::default(),
            raw: SharedResponse::default(),
            raw_attempts: Arc::default(),
            faults: Arc::default(),
        }
    }

    /// Sets the response to all requests on new connections.
    pub(crate) fn respond_raw(&self, response: Option<RawResponse>) {
        *lock(&self.raw) = response;
    }

    /// Returns the attempts of the requests that got a raw response.
    pub(crate) fn raw_attempts(&self) -> Vec<String> {
        lock(&self.raw_attempts).clone()
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
        let connections = Connections {
            tasks: self.tasks.clone(),
            raw: self.raw.clone(),
            raw_attempts: self.raw_attempts.clone(),
            faults: self.faults.clone(),
        };
        let accept = accept(self.executor.clone(), connections, listener, handler);
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

/// What the connections of a listener share.
struct Connections {
    tasks: ListenerTasks,
    raw: SharedResponse,
    raw_attempts: Arc<Mutex<Vec<String>>>,
    faults: Arc<StreamFaults>,
}

async fn accept<F, Fut>(
    executor: SharedExecutor,
    connections: Connections,
    listener: TcpListener,
    handler: F,
) where
    F: Fn(BufferedRequest) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("failed to configure a connection of a caller: {error}");
            continue;
        }
        let response = lock(&connections.raw).clone();
        let raw_attempts = connections.raw_attempts.clone();
        let faults = connections.faults.clone();
        let handler = handler.clone();
        let serve = async move {
            match response {
                // The caller has ended the connection.
                Some(response) => {
                    let record = |attempt: &str| lock(&raw_attempts).push(attempt.to_owned());
                    drop(serve_raw(stream, response, record).await);
                }
                None => {
                    let stream = FaultyStream::new(stream, &faults);
                    serve_stream(stream, DEFAULT_BODY_LIMIT, handler).await;
                }
            }
        };
        let task = executor.spawn(serve);
        let mut tasks = lock(&connections.tasks);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
