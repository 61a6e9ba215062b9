//! Versions of the environment document: how operators try, promote and roll them back, and how
//! they reach every VM.
//!
//! An environment is a set of VMs that run the same configuration document. One version of it is in
//! force at a time. The active version of a VM is the one that it runs, which may be older.
//! [`change::ChangeMachine`] decides on a change without I/O, and [`operator::ConfigOperator`] runs
//! it against a store. [`tracker::VersionTracker`] holds the versions that a VM knows, and
//! [`follower::ConfigFollower`] polls the store and its peers and applies newer versions.

pub mod change;
pub mod check;
pub mod error;
pub mod follower;
pub mod operator;
pub mod prelude;
pub mod row;
pub mod tracker;
