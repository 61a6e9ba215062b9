//! The types that users of this crate need.

pub use crate::change::{ChangeGuards, ChangeKind, ChangeRequest};
pub use crate::check::{DocumentCheck, DocumentProblem};
pub use crate::error::ConfigError;
pub use crate::follower::{ConfigFollower, DocumentTarget, NoPeers, PeerSource};
pub use crate::operator::ConfigOperator;
pub use crate::row::{ChangeCause, VersionId, VersionRow};
pub use crate::tracker::{TrackerTuning, VersionSource, VersionTracker};
