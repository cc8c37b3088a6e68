//! A listener that can vanish with all its connections, as that of a process which ends.

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

/// The tasks of an open door; dropped, they end at once.
type DoorTasks = Arc<Mutex<Vec<Task<()>>>>;

/// The listener of one target and its connections.
pub(crate) struct TargetDoor {
    executor: SharedExecutor,
    tasks: DoorTasks,
}

impl TargetDoor {
    /// Makes a closed door.
    pub(crate) fn new(executor: &SharedExecutor) -> Self {
        Self {
            executor: executor.clone(),
            tasks: DoorTasks::default(),
        }
    }

    /// Listens on an address and serves whoever connects; port 0 lets the system choose.
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

    /// Closes the listener and all connections: callers see theirs end, and new ones are refused.
    pub(crate) fn close(&self) {
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        drop(tasks);
    }
}

async fn accept<F, Fut>(
    executor: SharedExecutor,
    tasks: DoorTasks,
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

fn lock(tasks: &DoorTasks) -> std::sync::MutexGuard<'_, Vec<Task<()>>> {
    tasks.lock().unwrap_or_else(PoisonError::into_inner)
}
