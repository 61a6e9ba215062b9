//! The types that users of the store need.

pub use crate::digest::content_digest;
pub use crate::http::{HttpSettings, HttpStore};
pub use crate::memory::MemoryStore;
pub use crate::row::{RowConflict, RowEntry, RowExpect, RowKey, RowWrite, ScanRow};
pub use crate::store::{MemberEntry, MemberList, PlatformStore, StoreError, TransactOutcome};
