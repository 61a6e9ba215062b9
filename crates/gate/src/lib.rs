//! The gateway process: listeners, connections to upstreams and the path of a call.

pub mod access;
pub mod answer;
pub mod call;
pub mod claims;
pub mod control;
pub mod event;
pub mod front;
pub mod head;
pub mod leave;
pub mod link;
pub mod observe;
pub mod options;
pub mod process;
pub mod relay;
pub mod state;
pub mod worker;
