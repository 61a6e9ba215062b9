//! Which peers can be reached, and when the others are tried again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::gossip::{ExchangePurpose, ExchangeTarget};
use crate::peer::{PeerState, VmPhase};
use crate::record::PeerRecord;
use crate::table::TableState;
use crate::tuning::ReconnectTuning;

/// Time-outs after which an exchange that was never reported as answered or failed is forgotten.
const STALE_TIMEOUTS: f64 = 4.0;

impl TableState {
    /// Returns the peers that exchanges may go to.
    pub fn reachable(&mut self, now: ClockTime) -> BTreeMap<SharedName, SocketAddr> {
        let stale = self.tuning.reconnect.timeout.scaled(STALE_TIMEOUTS);
        let tuning = &self.tuning;
        for record in self.peers.values_mut() {
            if record.pending.is_some_and(|start| now.since(start) > stale) {
                record.pending = None;
            }
        }
        self.peers
            .iter()
            .filter(|(_, record)| {
                record.pending.is_none()
                    && record.failures < tuning.reconnect.failures
                    && record.state(&tuning.peer, now) != PeerState::Gone
            })
            .map(|(name, record)| (name.clone(), record.address))
            .collect()
    }

    /// Returns whether a peer is only tried with back-off. A peer that left is not tried at all.
    fn is_lost(&self, record: &PeerRecord, now: ClockTime) -> bool {
        let silent = record.failures >= self.tuning.reconnect.failures
            || record.state(&self.tuning.peer, now) == PeerState::Gone;
        silent && record.phase != VmPhase::Leaving
    }

    /// Returns the next peer to reconnect to, if the number of reconnects in progress allows one.
    /// The peer whose turn came first is taken.
    pub fn reconnect(
        &mut self,
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<ExchangeTarget> {
        self.hasten(now, random);
        let lost: Vec<&PeerRecord> =
            self.peers.values().filter(|record| self.is_lost(record, now)).collect();
        let busy = lost.iter().filter(|record| record.pending.is_some()).count();
        if busy >= self.tuning.reconnect.concurrent {
            return None;
        }
        let next = lost
            .into_iter()
            .filter(|record| record.pending.is_none() && record.retry_at <= now)
            .min_by_key(|record| (record.retry_at, record.identity.name.clone()))?;
        Some(ExchangeTarget {
            name: next.identity.name.clone(),
            address: next.address,
            purpose: ExchangePurpose::Reconnect,
        })
    }

    /// Moves the retry of peers that others hear again forward, each by a random time, so that the
    /// peers of a region that returns are not all tried at once.
    fn hasten(&mut self, now: ClockTime, random: &mut RandomSource) {
        let tuning = &self.tuning.reconnect;
        for record in self.peers.values_mut() {
            let heard_again = record.heard_at.is_some_and(|heard| heard > record.failed_at);
            if record.failures >= tuning.failures && heard_again && !record.hastened {
                record.hastened = true;
                let soon = now + tuning.hasten.scaled(random.unit());
                record.retry_at = record.retry_at.min(soon);
            }
        }
    }

    pub fn mark_pending(&mut self, name: &str, now: ClockTime) {
        if let Some(record) = self.peers.get_mut(name) {
            record.pending = Some(now);
        }
    }

    /// Records an exchange that failed or timed out, and returns whether the peer is now only tried
    /// with back-off.
    pub fn exchange_failed(
        &mut self,
        name: &str,
        now: ClockTime,
        random: &mut RandomSource,
    ) -> bool {
        let tuning = &self.tuning.reconnect;
        let Some(record) = self.peers.get_mut(name) else { return true };
        record.pending = None;
        record.failures = record.failures.saturating_add(1);
        record.failed_at = now;
        record.hastened = false;
        let Some(excess) = record.failures.checked_sub(tuning.failures) else { return false };
        record.retry_at = now + back_off(tuning, excess, random);
        true
    }
}

/// Returns a random delay between zero and the exponential back-off ("full jitter").
fn back_off(tuning: &ReconnectTuning, excess: u32, random: &mut RandomSource) -> ClockSpan {
    let factor = f64::from(2_u32.saturating_pow(excess.min(20)));
    tuning.base.scaled(factor).min(tuning.cap).scaled(random.unit())
}
