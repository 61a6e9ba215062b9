//! Errors that prevent a load run or end it early.

use std::io;

use base::prelude::*;
use snafu::Snafu;

/// An error of the plan or of the machine. Failed calls are not errors of the run; they are
/// counted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The plan names no target.
    #[snafu(display("the plan has no targets; name at least one address"))]
    NoTarget,
    /// The plan has no request kind with a weight above zero.
    #[snafu(display("the mix has no weight; give at least one request kind a positive weight"))]
    NoWeight,
    /// The plan has a rate that is negative or not finite.
    #[snafu(display("the rate {rate} is not possible; use a finite number that is not negative"))]
    WrongRate {
        /// The rate.
        rate: f64,
    },
    /// The plan has no thread or no connection.
    #[snafu(display("{field} is zero; use at least one"))]
    Zero {
        /// The field of the plan.
        field: &'static str,
    },
    /// A request kind has a method, path, host or header that HTTP does not allow.
    #[snafu(display("request kind {kind} is not valid HTTP: {source}; correct its {field}"))]
    Request {
        /// The name of the kind.
        kind: SharedName,
        /// The field of the kind.
        field: &'static str,
        /// The reason.
        source: http::Error,
    },
    /// A thread could not set up its event loop or its timer.
    #[snafu(display("cannot start a generator thread: {source}; check the limit on open files"))]
    Thread {
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread panicked.
    #[snafu(display("a generator thread panicked; see its message above"))]
    Panicked,
}
