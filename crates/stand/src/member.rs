//! The membership list of the platform stand-in, which callers see with a lag.

use std::collections::VecDeque;

use base::prelude::*;

use crate::wire::{MembersAnswer, PlatformMember};

/// The versions of the list, each with the time of its change.
#[derive(Debug)]
pub struct MemberHistory {
    lag: ClockSpan,
    versions: VecDeque<(ClockTime, Vec<PlatformMember>)>,
}

impl MemberHistory {
    /// Returns a history in which `members` is the list until the first change. Callers see each
    /// version after `lag`.
    pub fn new(members: Vec<PlatformMember>, lag: ClockSpan) -> Self {
        Self { lag, versions: VecDeque::from([(ClockTime::ZERO, members)]) }
    }

    /// Sets the time after which callers see a change.
    pub fn set_lag(&mut self, lag: ClockSpan) {
        self.lag = lag;
    }

    /// Applies `change` to a copy of the newest list, which becomes the newest version.
    pub fn change(&mut self, change: impl FnOnce(&mut Vec<PlatformMember>), now: ClockTime) {
        let mut members = self.versions.back().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut members);
        self.versions.push_back((now, members));
    }

    /// Returns the newest list that is at least as old as the lag, or the first one if none is.
    pub fn list_at(&self, now: ClockTime) -> MembersAnswer {
        let horizon = now - self.lag;
        let listed = self.versions.iter().rev().find(|(time, _)| *time <= horizon);
        let members = listed.or(self.versions.front()).map(|(_, list)| list.clone());
        MembersAnswer { members: members.unwrap_or_default(), age_ms: self.lag.as_millis() }
    }
}
