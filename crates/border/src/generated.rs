//! Types generated from the JSON Schemas in `schema/`.
//!
//! `cargo run -p agateroad-border --example generate` writes them. The test `types_match_schemas`
//! compares them with the schemas.

#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod environment;
// `typify` writes default functions for every type of number if one field has a fraction as default.
#[allow(clippy::all, dead_code, missing_docs)]
#[rustfmt::skip]
pub mod settings;
