//! The operators' command, with one module for each subcommand.
//!
//! [`cmd`] parses the command line, every subcommand returns a report that [`output`] prints as
//! text or JSON, and [`error::CtlError`] decides on the exit code.

pub mod change;
pub mod check;
pub mod cmd;
pub mod demo;
pub mod error;
pub mod file;
pub mod history;
pub mod load;
pub mod operator;
pub mod output;
pub mod promote;
pub mod rollback;
pub mod spread;
pub mod stand;
pub mod status;
pub mod trial;
pub mod vm;
