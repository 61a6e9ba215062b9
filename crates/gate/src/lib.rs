//! The gateway process: listeners, connections to upstreams and the request path.
//!
//! Modules depend on each other in one direction. The shared state ([`state`]) does not depend on
//! the request path, which begins at [`call`]. The request path does not depend on the listeners,
//! nor on the tasks that keep the state up to date from the peers and the platform's store
//! ([`discovery`], [`platform_tasks`]). A test of the crate fails on any cycle.
//!
//! Where the decisions about a call are made: [`plan`] matches it to a service, [`select`] chooses
//! an upstream, [`send`] sends the request, [`verdict`] classifies the answer, [`retry`] decides
//! whether another attempt follows, and [`sequence`] makes the attempts one after the other.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod call;
pub mod call_trace;
pub mod caller_server;
pub mod cancel;
pub mod check_id;
pub mod claims;
pub mod connect;
pub mod connection;
pub mod control;
pub mod count;
pub mod crash;
pub mod dependency;
pub mod directory_tables;
pub mod discovery;
pub mod dispatch;
pub mod drains;
pub mod event;
pub mod exchange;
pub mod fingerprint;
pub mod follow;
pub mod framing;
pub mod held_bytes;
pub mod link;
pub mod links;
pub mod log;
pub mod maintenance;
pub mod mechanism;
pub mod metrics;
pub mod metrics_server;
pub mod options;
pub mod peers;
pub mod plan;
pub mod platform_tasks;
pub mod precheck;
pub mod probe;
pub mod process;
pub mod progress;
pub mod quota;
mod quota_table;
pub mod reload;
mod retry;
pub mod running;
pub mod select;
pub mod send;
pub mod sequence;
pub mod service;
pub mod shutdown;
pub mod silence;
pub mod slot;
pub mod stall;
pub mod state;
pub mod stop;
pub mod stop_check;
pub mod suspect_bodies;
pub mod suspect_check;
pub mod tables;
pub mod verdict;
pub mod wait;
pub mod waiter;
pub mod waiters;
pub mod watch;
pub mod wish;
pub mod worker;
