//! The command `agatectl` for operators, with one module for each subcommand.
//!
//! [`cmd`] parses the command line. Every subcommand returns a report, which [`output`] prints as
//! text or JSON; [`error::CtlExit`] lists the exit codes.

pub mod burn;
pub mod change;
pub mod check;
pub mod cmd;
pub mod demo;
pub mod error;
pub mod explain;
pub mod file;
pub mod history;
pub mod load;
pub mod members;
pub mod operator;
pub mod output;
pub mod poll;
pub mod promote;
pub mod release;
pub mod rollback;
pub mod rollout;
pub mod stand;
pub mod status;
pub mod suspects;
pub mod trial;
pub mod vm;
