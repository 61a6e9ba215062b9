//! Names, time, ranked locks and seeded random numbers used by every crate.

pub mod clock;
pub mod lock;
pub mod name;
pub mod pause;
pub mod prelude;
pub mod random;
pub mod socket;
