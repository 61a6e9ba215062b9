//! The gateway process.
