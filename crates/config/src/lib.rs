//! Versions, trial, promotion and propagation of the environment document.
