//! The node that serves routes: clients on one side, targets and the platform's store on the other.
//!
//!
//! The control thread follows the store and the other nodes. The traffic thread serves requests
//! from snapshots of the control thread's knowledge.

mod accept;
mod acceptor;
mod admission;
mod answer;
mod attempt_log;
mod attribution;
mod availability;
mod backoff;
mod batch;
mod batching;
mod brittle;
mod call;
mod call_error;
mod call_purpose;
mod control;
mod crash;
mod crash_check;
mod crash_updates;
mod fanout;
mod feasibility;
mod forward;
mod inputs;
mod leaving;
mod limit_placement;
mod limit_sync;
mod limit_updates;
mod limits;
mod links;
mod loop_monitor;
mod metrics;
mod node;
mod peers;
mod pieces;
mod placed_run;
mod placement;
mod placer;
mod plain_choice;
mod process_check;
mod progress;
mod readiness;
mod record;
mod relay;
mod relay_handler;
mod release;
mod repeats;
mod request;
mod results;
mod resume;
mod send_log;
mod service_context;
mod shared;
mod signals;
mod stage;
mod stages;
mod stall;
mod stream;
mod stream_directory;
mod suspect_channel;
mod suspect_persistence;
mod target_body;
mod target_connection;
mod target_response;
mod traffic;
mod trial;
mod wait;
mod wait_queue;
mod work;

pub use node::ServeNode;
