//! Names, time, ranked locks, pause detection, random numbers and socket options for all crates.

pub mod clock;
pub mod lock;
pub mod name;
pub mod pause;
pub mod prelude;
pub mod random;
pub mod socket;
