//! Service-level objective burn.
