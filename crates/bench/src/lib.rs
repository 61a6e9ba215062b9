//! Benchmarks of the gateway.
