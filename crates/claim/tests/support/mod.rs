//! Answers of the store to the machine of a VM.

use claim::event::GroupId;
use claim::prelude::*;
use store::memory::MemoryStore;
use store::wire::TransactRequest;

/// Applies a transaction and returns what the machine is told of it.
pub fn applied(store: &MemoryStore, group: GroupId, request: &TransactRequest) -> ClaimEvent {
    let response = store.apply(request);
    if response.committed {
        ClaimEvent::Committed { group, versions: response.versions }
    } else {
        ClaimEvent::Conflicted { group, conflicts: response.conflicts }
    }
}
