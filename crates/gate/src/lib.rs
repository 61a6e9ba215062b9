//! The gateway process: listeners, connections to upstreams and the path of a call.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod cancel;
pub mod crash;
pub mod desk;
pub mod event;
pub mod front;
pub mod head;
pub mod link;
pub mod maintenance;
pub mod metrics;
pub mod options;
pub mod probe;
pub mod process;
pub mod relay;
pub mod silence;
pub mod slot;
pub mod state;
pub mod tables;
pub mod wait;
pub mod watch;
pub mod worker;
