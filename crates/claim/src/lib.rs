//! At-most-once execution of requests with an idempotency key, and durable deferred work.
//!
//! Before work is dispatched, a claim on its key is written to the platform's store. A repeat,
//! which is a second request with the same key, gets the stored answer and is not dispatched. Each
//! try to claim a key has an attempt id, which its row contains; it is not the number of an attempt
//! to send a call to an upstream.
//!
//! [`machine::ClaimMachine`] decides on claims: it turns events into actions and performs no I/O.
//! [`table::ClaimTable`] shares it between workers, and [`runner::ClaimRunner`] connects it to a
//! store. [`deferred`] decides on deferred work, and [`queue::DeferredQueue`] connects it to a
//! store.

pub mod answer;
pub mod deferred;
mod entry;
pub mod event;
mod group;
pub mod machine;
pub mod members;
pub mod prelude;
pub mod queue;
pub mod row;
pub mod runner;
pub mod table;
mod transitions;
pub mod tuning;
