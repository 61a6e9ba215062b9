//! Types generated from the JSON Schemas in `schema/`.
//!
//! `cargo run -p agateroad-border --example generate` writes them; a test compares them with the
//! schemas.

#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod environment;
#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod settings;
