//! Which incarnations of VMs are no longer on the membership list.

use std::collections::BTreeMap;

use base::prelude::*;

/// How long an incarnation that is no longer on the list is remembered.
const HISTORY_SPAN: ClockSpan = ClockSpan::from_secs(3600);

/// One process of the gateway on one VM.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct VmIncarnation {
    /// The name of the VM.
    pub name: SharedName,
    /// The incarnation of its process.
    pub incarnation: u64,
}

/// When each incarnation was last on the membership list.
#[derive(Clone, Debug, Default)]
pub struct MemberHistory {
    first: Option<ClockTime>,
    latest: ClockTime,
    last_listed: BTreeMap<VmIncarnation, ClockTime>,
}

impl MemberHistory {
    /// Records a membership list that described the state at `at`.
    pub fn record(&mut self, members: Vec<VmIncarnation>, at: ClockTime) {
        self.first.get_or_insert(at);
        self.latest = self.latest.max(at);
        for member in members {
            self.last_listed.insert(member, at);
        }
        let latest = self.latest;
        self.last_listed.retain(|_, listed| latest.since(*listed) < HISTORY_SPAN);
    }

    /// Returns whether the incarnation was missing from all lists of a period longer than `span`.
    pub fn is_gone(&self, member: &VmIncarnation, span: ClockSpan) -> bool {
        // Only the time that the lists describe counts: while none arrives, no VM becomes gone.
        let Some(first) = self.first else { return false };
        let listed = self.last_listed.get(member).copied().unwrap_or(first);
        self.latest.since(listed) > span
    }
}
