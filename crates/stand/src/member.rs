//! The lagging membership list of the platform stand-in.

use std::collections::VecDeque;

use base::prelude::*;

use crate::wire::{MembersAnswer, PlatformMember};

/// Versions of the list with the time at which each became true.
#[derive(Debug)]
pub struct MemberHistory {
    lag: ClockSpan,
    versions: VecDeque<(ClockTime, Vec<PlatformMember>)>,
}

impl MemberHistory {
    /// Returns a history whose first list has always been true.
    pub fn new(members: Vec<PlatformMember>, lag: ClockSpan) -> Self {
        Self { lag, versions: VecDeque::from([(ClockTime::ZERO, members)]) }
    }

    /// Sets the age of the list that callers see.
    pub fn set_lag(&mut self, lag: ClockSpan) {
        self.lag = lag;
    }

    /// Changes the list.
    pub fn change(&mut self, change: impl FnOnce(&mut Vec<PlatformMember>), now: ClockTime) {
        let mut members = self.versions.back().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut members);
        self.versions.push_back((now, members));
    }

    /// Returns the list that callers see.
    pub fn listed(&self, now: ClockTime) -> MembersAnswer {
        let horizon = now - self.lag;
        let listed = self.versions.iter().rev().find(|(time, _)| *time <= horizon);
        let members = listed.or(self.versions.front()).map(|(_, list)| list.clone());
        MembersAnswer { members: members.unwrap_or_default(), age_ms: self.lag.as_millis() }
    }
}
