//! HTTP/1.1 client and server for all external interfaces: a client with persistent connections, and a
//! server with bounded requests. The protocol is implemented by `hyper`, over `async-io`.

mod caller;
mod client;
mod connection;
mod connection_state;
mod delivery;
mod error;
mod framing;
mod head_limit;
mod listen;
mod message;
mod pool;
mod read_allowance;
mod read_burst;
mod receive;
mod reset;
mod server;
mod stream;
mod timeout;

pub use caller::CallerLimits;
pub use client::BufferedResponse;
pub use client::HttpClient;
pub use client::HttpStream;
pub use connection::HttpConnection;
pub use connection_state::ConnectionLimits;
pub use delivery::DeliveryCounter;
pub use error::HttpError;
pub use framing::BodyFraming;
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
pub use reset::reset_unread;
pub use server::bind_listener;
pub use server::serve_caller;
pub use server::serve_connection;
pub use server::serve_stream;
pub use server::BufferedRequest;
pub use stream::configure_stream;
pub use stream::open_stream;
pub use stream::probe_port;
pub use stream::PortState;
pub use timeout::wait_timeout;

/// Default size limit of a message, in bytes. Values of the platform are at most one megabyte; the rest
/// leaves room for framing.
pub const DEFAULT_BODY_LIMIT: usize = 1_200_000;

/// Size limit of a platform response with several values, in bytes: eight values of the maximum size, or
/// a twentieth of a VM's memory.
pub const LARGE_RESPONSE_LIMIT: usize = 8 * 1024 * 1024;
