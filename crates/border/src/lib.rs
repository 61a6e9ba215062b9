//! Checks the environment document and the process settings and turns them into world objects.

pub mod generated;
