//! HTTP/1.1 as every outside interface uses it: kept connections on the calling side, a bounded
//! serving loop on the other. The protocol itself comes from `hyper`, over `async-io`.

mod client;
mod connection;
mod connection_state;
mod error;
mod listen;
mod message;
mod pool;
mod receive;
mod server;
mod stream;

pub use client::BufferedResponse;
pub use client::HttpClient;
pub use client::HttpStream;
pub use connection::HttpConnection;
pub use connection_state::ConnectionLimits;
pub use error::HttpError;
pub use listen::serve_client;
pub use message::HttpBody;
pub use message::HttpRequest;
pub use message::HttpResponse;
pub use pool::ConnectionPool;
pub use receive::read_chunks;
pub use receive::ReceiveCounter;
pub use receive::ReceiveError;
pub use receive::ReceiveGuard;
pub use receive::ResponseTimeouts;
pub use server::bind_listener;
pub use server::serve_connection;
pub use server::BufferedRequest;
pub use stream::configure_stream;
pub use stream::open_stream;
pub use stream::probe_port;
pub use stream::PortState;

/// Largest head plus body that a client or server of this package accepts unless told otherwise,
/// in bytes. The platform's values are bounded by a megabyte; the rest leaves room for framing.
pub const DEFAULT_BODY_LIMIT: usize = 1_200_000;

/// Largest answer of the platform that holds several values, in bytes: eight of the largest, a
/// twentieth of a VM's memory.
pub const LARGE_RESPONSE_LIMIT: usize = 8 * 1024 * 1024;
