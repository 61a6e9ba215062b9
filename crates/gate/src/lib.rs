//! The gateway process: listeners, connections to upstreams and the path of a call.
//!
//! Modules depend on each other in one direction. What the process holds ([`state`]) knows nothing
//! of calls; the path of a call ([`call`] to [`attempt`]) knows nothing of listeners, peers and the
//! store; these stand on top.

pub mod access;
pub mod answer;
pub mod attempt;
pub mod body;
pub mod call;
pub mod cancel;
pub mod claims;
pub mod connection;
pub mod control;
pub mod count;
pub mod crash;
pub mod desk;
pub mod discovery;
pub mod event;
pub mod exchange;
pub mod front;
pub mod leave;
pub mod link;
pub mod maintenance;
pub mod mechanism;
pub mod metrics;
pub mod observe;
pub mod options;
pub mod peers;
pub mod plan;
pub mod probe;
pub mod process;
pub mod record;
pub mod reload;
pub mod retry;
pub mod review;
pub mod room;
pub mod running;
pub mod sequence;
pub mod silence;
pub mod slot;
pub mod state;
pub mod survey;
pub mod tables;
pub mod time;
pub mod verdict;
pub mod wait;
pub mod watch;
pub mod worker;
