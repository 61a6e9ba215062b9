//! Open-loop load generation and result tables.
