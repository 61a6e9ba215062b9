//! Parses and checks the environment document and the process settings, and converts them into the
//! types of the crate `world`.
//!
//! The JSON Schemas in `schema/` describe both formats. Parsing rejects JSON that does not follow
//! them. The checks after it collect all problems before a result is returned, so that a document
//! is either accepted as a whole or rejected.

mod centre;
pub mod change;
mod coverage;
pub mod difference;
pub mod document;
mod field;
pub mod fleet;
mod generated;
pub mod parse;
pub mod problem;
mod region;
mod rule;
mod service;
pub mod settings;

pub use crate::change::{SettingsChange, reloaded_settings, settings_change};
pub use crate::difference::{MapChange, difference};
pub use crate::document::{DocumentError, document_digest, load_document};
pub use crate::fleet::FleetSettings;
pub use crate::generated::settings::{InterfaceKind, LogFormat, LogLevel};
pub use crate::parse::ParseError;
pub use crate::problem::FieldProblem;
pub use crate::settings::{
    ProcessSettings, ProcessTimeouts, SettingsError, SharedSecret, load_settings,
};
