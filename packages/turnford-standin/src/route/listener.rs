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

use crate::SharedExecutor;

/// Tasks of an open listener and its connections; dropping a task cancels it at once.
type ListenerTasks = Arc<Mutex<Vec<Task<()>>>>;

/// The listener of one target and its connections.
pub(crate) struct TargetListener {
    executor: SharedExecutor,
    tasks: ListenerTasks,
}

impl TargetListener {
    /// Creates a closed listener.
    pub(crate) fn new(executor: &SharedExecutor) -> Self {
        Self {
            executor: executor.clone(),
            tasks: ListenerTasks::default(),
        }
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
        let accept = accept(self.executor.clone(), self.tasks.clone(), listener, handler);
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
    listener: TcpListener,
    handler: F,
) where
    F: Fn(BufferedRequest) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<HttpResponse>> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let serve = serve_connection(stream, DEFAULT_BODY_LIMIT, handler.clone());
        let task = executor.spawn(serve);
        let mut tasks = lock(&tasks);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}

fn lock(tasks: &ListenerTasks) -> std::sync::MutexGuard<'_, Vec<Task<()>>> {
    tasks.lock().unwrap_or_else(PoisonError::into_inner)
}
