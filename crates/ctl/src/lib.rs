//! The operators' command, with one module for each subcommand.
//!
//! [`cmd`] parses the command line, every subcommand returns a report that [`output`] prints as
//! text or JSON, and [`error::CtlError`] decides on the exit code.

pub mod check;
pub mod cmd;
pub mod demo;
pub mod error;
pub mod file;
pub mod load;
pub mod output;
