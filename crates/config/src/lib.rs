//! Versions, trial, promotion and propagation of the environment document.
//!
//! [`change::ChangeMachine`] decides on a change and [`operator::ConfigOperator`] runs it against
//! a store. [`tracker::VersionTracker`] holds what a VM knows of versions and
//! [`follower::ConfigFollower`] keeps it up to date.

pub mod change;
pub mod check;
pub mod error;
pub mod follower;
pub mod operator;
pub mod prelude;
pub mod row;
pub mod tracker;
