//! The evidence about one peer.

use std::net::SocketAddr;

use base::prelude::*;
use world::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::{PeerBeat, PeerNotice};
use crate::peer::{ListedVm, PeerState, PeerView, VmPhase};
use crate::tuning::PeerTuning;

/// The evidence about one peer.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    pub identity: VmIdentity,
    pub address: SocketAddr,
    pub phase: VmPhase,
    /// Of the identity and the phase, for digests.
    pub hash: u32,
    pub beat: u64,
    /// The newest evidence that the peer exists, a life sign or its first listing.
    pub seen_at: ClockTime,
    pub heard_at: Option<ClockTime>,
    pub heard_from: Option<SharedName>,
    pub listed: bool,
    /// When the platform listed the peer as leaving.
    pub listed_leaving: Option<ClockTime>,
    pub sends_left: u32,
    pub failures: u32,
    pub failed_at: ClockTime,
    pub retry_at: ClockTime,
    /// Whether the retry was moved forward since the last failure.
    pub hastened: bool,
    /// When the exchange in progress was started.
    pub pending: Option<ClockTime>,
}

impl PeerRecord {
    pub fn from_notice(notice: &PeerNotice, seen_at: ClockTime, from: &SharedName) -> Self {
        Self {
            identity: notice.identity.clone(),
            address: notice.address,
            phase: notice.phase,
            hash: record_hash(&notice.identity, notice.phase),
            beat: notice.beat,
            seen_at,
            heard_at: (notice.beat > 0).then_some(seen_at),
            heard_from: (notice.beat > 0).then(|| from.clone()),
            listed: false,
            listed_leaving: None,
            sends_left: 0,
            failures: 0,
            failed_at: ClockTime::ZERO,
            retry_at: ClockTime::ZERO,
            hastened: false,
            pending: None,
        }
    }

    pub fn from_list(vm: &ListedVm, seen_at: ClockTime) -> Self {
        let notice = PeerNotice {
            identity: vm.identity.clone(),
            address: vm.address,
            phase: VmPhase::Joining,
            beat: 0,
            silent_ms: 0,
        };
        let mut record = Self::from_notice(&notice, seen_at, &vm.identity.name);
        record.listed = true;
        record
    }

    pub fn set_phase(&mut self, phase: VmPhase) {
        self.phase = phase;
        self.hash = record_hash(&self.identity, phase);
    }

    pub fn silence(&self, now: ClockTime) -> ClockSpan {
        now.since(self.seen_at)
    }

    /// The peer's own word stands against the platform's if it is newer.
    fn is_leaving(&self) -> bool {
        self.phase == VmPhase::Leaving
            || self
                .listed_leaving
                .is_some_and(|listed| self.heard_at.is_none_or(|heard| heard < listed))
    }

    pub fn state(&self, tuning: &PeerTuning, now: ClockTime) -> PeerState {
        let silence = self.silence(now);
        if silence >= tuning.gone_after {
            PeerState::Gone
        } else if self.is_leaving() {
            PeerState::Leaving
        } else if silence >= tuning.suspect_after {
            PeerState::Suspected
        } else if self.phase == VmPhase::Joining {
            PeerState::Joining
        } else {
            PeerState::Live
        }
    }

    pub fn notice(&self, now: ClockTime) -> PeerNotice {
        PeerNotice {
            identity: self.identity.clone(),
            address: self.address,
            phase: self.phase,
            beat: self.beat,
            silent_ms: self.silence(now).as_millis(),
        }
    }

    pub fn beat(&self) -> PeerBeat {
        PeerBeat {
            name: self.identity.name.clone(),
            beat: self.beat,
            incarnation: short_incarnation(self.identity.incarnation),
        }
    }

    /// Records a life sign if it is newer than the last one. Only a counter that grew counts:
    /// an age that peers repeat to each other would be kept young by the delays between them.
    pub fn hear(&mut self, beat: u64, seen_at: ClockTime, from: &SharedName) -> bool {
        if beat <= self.beat {
            return false;
        }
        self.beat = beat;
        if self.heard_at.is_none_or(|heard| seen_at > heard) {
            self.heard_at = Some(seen_at);
            self.heard_from = Some(from.clone());
            self.seen_at = self.seen_at.max(seen_at);
        }
        true
    }

    pub fn view(&self, tuning: &PeerTuning, now: ClockTime) -> PeerView {
        PeerView {
            identity: self.identity.clone(),
            address: self.address,
            state: self.state(tuning, now),
            heard_at: self.heard_at,
            heard_from: self.heard_from.clone(),
            listed: self.listed,
            failures: self.failures,
        }
    }
}

/// Returns the bits of an incarnation that life signs carry.
pub fn short_incarnation(incarnation: u64) -> u16 {
    (incarnation & u64::from(u16::MAX)) as u16
}

/// Returns a hash of an identity and a phase that is the same on every VM.
pub fn record_hash(identity: &VmIdentity, phase: VmPhase) -> u32 {
    let seed = identity.incarnation.wrapping_mul(4).wrapping_add(phase as u64);
    xxh3_64_with_seed(identity.name.as_bytes(), seed) as u32
}
