//! The types that users of this crate need.

pub use crate::client::HttpSettings;
pub use crate::connection::StoreCall;
pub use crate::digest::content_digest;
pub use crate::feed::{RowCodec, RowPage, RowStore, TableRow};
pub use crate::http::HttpStore;
pub use crate::memory::MemoryStore;
pub use crate::row::{RowConflict, RowEntry, RowExpect, RowKey, RowWrite, ScanRow};
pub use crate::store::{MemberEntry, MemberList, PlatformStore, StoreError, TransactOutcome};
