//! The types that almost every module uses.

pub use crate::clock::{BootClock, ClockSource, ClockSpan, ClockTime, RealClock, VirtualClock};
pub use crate::lock::{LockRank, RankedMutex, RankedRwLock};
pub use crate::name::{NameMap, SharedName};
pub use crate::pause::PauseDetector;
pub use crate::random::RandomSource;
