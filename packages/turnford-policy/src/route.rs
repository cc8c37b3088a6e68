//! Routes: pipelines that are chosen by host and path, their targets, and the decisions about them.
//!
//! A routed request passes the stages of its route, made of pieces that run in batches, and ends in
//! one call to the route's own service.

mod affinity;
mod allowance;
mod batch;
mod board;
mod call;
mod cell;
mod config;
mod digest;
mod engine;
mod flow;
mod flow_service;
mod graph;
mod list;
mod reading;
mod room;
mod span_line;
mod table;

pub use affinity::PromptHome;
pub use allowance::RetryAllowance;
pub use batch::BatchBoard;
pub use batch::BatchPlan;
pub use batch::PieceTicket;
pub use batch::PieceWork;
pub use batch::RANK_COUNT;
pub use board::LoadMark;
pub use board::TargetBoard;
pub use call::CallFacts;
pub use call::PromptPart;
pub use cell::cell_of_hall;
pub use cell::split_cells;
pub use config::AccountSpec;
pub use config::BatchSpec;
pub use config::CallKind;
pub use config::ClientLimits;
pub use config::EngineSpec;
pub use config::RouteConfig;
pub use config::RouteSpec;
pub use config::ServiceShare;
pub use config::ServiceSpec;
pub use config::StageSpec;
pub use config::TargetBirth;
pub use config::TargetSpec;
pub use digest::RequestDigest;
pub use digest::DIGEST_BYTES;
pub use engine::EngineBoard;
pub use engine::PlaceNeed;
pub use engine::RunTicket;
pub use flow::FlowBoard;
pub use flow::FlowForecast;
pub use flow::FlowNeed;
pub use flow::FlowRefusal;
pub use flow::FlowStage;
pub use flow::FlowTicket;
pub use flow::LONGEST_RETURN;
pub use flow_service::StageRate;
pub use graph::StageGraph;
pub use list::ChangeNumber;
pub use list::ListedTarget;
pub use list::TargetList;
pub use list::TargetNews;
pub use span_line::SpanLine;
pub use table::AccountGrant;
pub use table::RouteTable;
