//! Types generated from the JSON Schemas in `schema/`.
//!
//! `cargo run -p agateroad-border --example generate` writes them; a test compares them with the
//! schemas.

#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod environment;
// `typify` writes functions for defaults of every number type once one field has a fraction.
#[allow(clippy::all, dead_code, missing_docs)]
#[rustfmt::skip]
pub mod settings;
