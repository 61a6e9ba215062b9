//! Checks the environment document and turns it into world objects.

mod centre;
mod coverage;
pub mod document;
mod field;
pub mod generated;
pub mod parse;
pub mod problem;
mod rule;
mod service;

pub use crate::document::{DocumentError, document_digest, load_document};
pub use crate::parse::ParseError;
pub use crate::problem::FieldProblem;
