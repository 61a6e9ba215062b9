//! The table of peers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::prelude::*;
use world::prelude::*;

use crate::count::CountWindow;
use crate::message::{PeerBeat, PeerNotice, PeerReport};
use crate::peer::{ListedVm, MembershipList, PeerEvent, PeerState, PeerView, VmPhase};
use crate::record::{PeerRecord, record_hash, short_incarnation};
use crate::tuning::{MemberTuning, PeerTuning};

/// Least time between two counts of the peers. Counting is linear in the number of peers.
const COUNT_PERIOD: ClockSpan = ClockSpan::from_millis(1000);

/// What this VM knows about itself and its peers. Only evidence: there is no consensus, and
/// nothing that must hold rests on it.
pub struct PeerTable {
    state: RankedMutex<TableState>,
}

/// The table under its lock.
pub(crate) struct TableState {
    pub(crate) tuning: MemberTuning,
    pub(crate) own: VmIdentity,
    address: SocketAddr,
    phase: VmPhase,
    started_at: ClockTime,
    own_sends: u32,
    pub(crate) peers: BTreeMap<SharedName, PeerRecord>,
    listed: BTreeMap<SharedName, u32>,
    list_at: Option<ClockTime>,
    counts: CountWindow,
    centre_counts: BTreeMap<SharedName, CountWindow>,
    counted_at: Option<ClockTime>,
    record_cursor: usize,
    suspect_cursor: usize,
    resends: u32,
}

/// How much of the table a message carries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportRoom {
    pub bytes: usize,
    pub full: bool,
    pub differing: bool,
}

impl PeerTable {
    /// Returns a table that knows only this VM. The incarnation is the start time of the process
    /// in milliseconds by the wall clock.
    pub fn new(
        identity: VmIdentity,
        address: SocketAddr,
        tuning: MemberTuning,
        now: ClockTime,
    ) -> Self {
        let mut state = TableState {
            tuning,
            own: identity,
            address,
            phase: VmPhase::Joining,
            started_at: now,
            own_sends: 0,
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            list_at: None,
            counts: CountWindow::default(),
            centre_counts: BTreeMap::new(),
            counted_at: None,
            record_cursor: 0,
            suspect_cursor: 0,
            resends: 0,
        };
        state.own_sends = state.resend_limit();
        Self { state: RankedMutex::new(LockRank::PeerTable, state) }
    }

    pub(crate) fn with<R>(&self, use_state: impl FnOnce(&mut TableState) -> R) -> R {
        use_state(&mut self.state.lock())
    }

    /// Returns the identity of this VM.
    pub fn identity(&self) -> VmIdentity {
        self.state.lock().own.clone()
    }

    /// Returns what this VM says about itself.
    pub fn phase(&self) -> VmPhase {
        self.state.lock().phase
    }

    /// Sets what this VM says about itself and passes it on as news.
    pub fn set_phase(&self, phase: VmPhase) {
        self.with(|state| {
            if state.phase != phase {
                state.phase = phase;
                state.own_sends = state.resend_limit();
            }
        });
    }

    /// Takes in a membership list.
    pub fn apply_list(&self, list: &MembershipList, now: ClockTime) -> Vec<PeerEvent> {
        self.with(|state| state.apply_list(list, now))
    }

    /// Returns all peers.
    pub fn views(&self, now: ClockTime) -> Vec<PeerView> {
        self.with(|state| {
            let tuning = &state.tuning.peer;
            state.peers.values().map(|record| record.view(tuning, now)).collect()
        })
    }

    /// Returns one peer.
    pub fn view(&self, name: &str, now: ClockTime) -> Option<PeerView> {
        self.with(|state| state.peers.get(name).map(|record| record.view(&state.tuning.peer, now)))
    }

    /// Returns the VMs that global budgets are divided by: the largest number, listed or reported
    /// by peers, within the hold time. This VM counts, and so do suspected peers.
    pub fn vm_count(&self, now: ClockTime) -> u32 {
        self.with(|state| {
            state.update_counts(now);
            state.counts.largest()
        })
    }

    /// Returns the same number for one data centre.
    pub fn vm_count_in(&self, centre: &str, now: ClockTime) -> u32 {
        self.with(|state| {
            state.update_counts(now);
            state.centre_counts.get(centre).map_or(0, CountWindow::largest)
        })
    }

    /// Returns the bytes that the records of all peers take in messages.
    pub fn encoded_size(&self, now: ClockTime) -> usize {
        self.with(|state| {
            state.peers.values().map(|record| record.notice(now).encoded_size()).sum()
        })
    }
}

impl TableState {
    fn peer_tuning(&self) -> &PeerTuning {
        &self.tuning.peer
    }

    /// Returns the times that a VM sends one piece of news.
    pub fn resend_limit(&self) -> u32 {
        let vms = (self.peers.len() + 2) as f64;
        (self.tuning.gossip.resend_factor * vms.log2().ceil()) as u32
    }

    pub fn own_notice(&self, now: ClockTime) -> PeerNotice {
        let period = self.peer_tuning().beat_period.as_hundredths().max(1);
        PeerNotice {
            identity: self.own.clone(),
            address: self.address,
            phase: self.phase,
            beat: now.since(self.started_at).as_hundredths() / period + 1,
            silent_ms: 0,
        }
    }

    pub fn has_rumours(&self) -> bool {
        self.own_sends > 0 || self.peers.values().any(|record| record.sends_left > 0)
    }

    fn apply_list(&mut self, list: &MembershipList, now: ClockTime) -> Vec<PeerEvent> {
        let as_of = now - list.age;
        if self.list_at.is_some_and(|newest| as_of < newest) {
            return Vec::new();
        }
        self.list_at = Some(as_of);
        self.listed.clear();
        for record in self.peers.values_mut() {
            record.listed = false;
        }
        let mut events = Vec::new();
        for vm in &list.members {
            *self.listed.entry(vm.identity.centre.clone()).or_default() += 1;
            events.extend(self.apply_listed(vm, as_of));
        }
        self.expire(now);
        self.counted_at = None;
        self.update_counts(now);
        events
    }

    fn apply_listed(&mut self, vm: &ListedVm, as_of: ClockTime) -> Option<PeerEvent> {
        let name = &vm.identity.name;
        if *name == self.own.name {
            return None;
        }
        let known = self.peers.get(name).map(|record| record.identity.incarnation);
        let mut event = None;
        if known.is_none_or(|incarnation| vm.identity.incarnation > incarnation) {
            self.peers.insert(name.clone(), PeerRecord::from_list(vm, as_of));
            event = Some(match known {
                Some(_) => PeerEvent::Restarted(vm.identity.clone()),
                None => PeerEvent::Found(vm.identity.clone()),
            });
        }
        let record = self.peers.get_mut(name)?;
        record.listed = true;
        if vm.leaving && vm.identity.incarnation == record.identity.incarnation {
            record.listed_leaving = Some(as_of);
        }
        event
    }

    /// Takes in what a peer sent and returns the changes.
    pub fn absorb(&mut self, report: &PeerReport, now: ClockTime) -> Vec<PeerEvent> {
        self.resends = self.resend_limit();
        let from = report.sender.identity.name.clone();
        let mut events = Vec::new();
        events.extend(self.absorb_notice(&report.sender, &from, now));
        if let Some(record) = self.peers.get_mut(&from) {
            record.failures = 0;
            record.hastened = false;
            record.pending = None;
        }
        for notice in &report.notices {
            events.extend(self.absorb_notice(notice, &from, now));
        }
        for beat in &report.beats {
            events.extend(self.absorb_beat(beat, &from, now));
        }
        if let Some(held) = &report.held {
            let age = ClockSpan::from_millis(held.age_ms) + self.peer_tuning().delay_allowance;
            if age < self.peer_tuning().count_hold {
                self.counts.record(held.count, now - age);
            }
        }
        events
    }

    fn absorb_notice(
        &mut self,
        notice: &PeerNotice,
        from: &SharedName,
        now: ClockTime,
    ) -> Option<PeerEvent> {
        if notice.identity.name == self.own.name {
            return self.absorb_own(notice);
        }
        let silence = if self.peer_tuning().distrust_aged {
            ClockSpan::from_millis(notice.silent_ms)
        } else {
            ClockSpan::ZERO
        };
        let seen_at = now - silence;
        let gone_after = self.peer_tuning().gone_after;
        let resends = self.resends;
        let Some(record) = self.peers.get_mut(&notice.identity.name) else {
            return (silence < gone_after).then(|| self.add(notice, seen_at, from, false));
        };
        let known = record.identity.incarnation;
        if notice.identity.incarnation > known {
            return Some(self.add(notice, seen_at, from, true));
        }
        if notice.identity.incarnation < known {
            return None;
        }
        let before = record.state(&self.tuning.peer, now);
        let grew = record.hear(notice.beat, seen_at, from);
        record.address = notice.address;
        // Phases of one incarnation only advance, so an old message cannot undo a leave.
        if notice.phase > record.phase {
            record.set_phase(notice.phase);
            // Only a leave is urgent; other phases also spread with the digests.
            let leaving = notice.phase == VmPhase::Leaving;
            record.sends_left = if leaving { resends } else { resends / 2 };
            let identity = record.identity.clone();
            return (notice.phase == VmPhase::Leaving).then_some(PeerEvent::Leaving(identity));
        }
        // Each copy received shows that fewer VMs still lack the record.
        record.sends_left = record.sends_left.saturating_sub(1);
        returned(record, before, grew, &self.tuning.peer, now)
    }

    fn add(
        &mut self,
        notice: &PeerNotice,
        seen_at: ClockTime,
        from: &SharedName,
        restarted: bool,
    ) -> PeerEvent {
        let mut record = PeerRecord::from_notice(notice, seen_at, from);
        record.sends_left = self.resends / 2;
        record.listed =
            self.peers.get(&notice.identity.name).is_some_and(|previous| previous.listed);
        self.peers.insert(notice.identity.name.clone(), record);
        if restarted {
            PeerEvent::Restarted(notice.identity.clone())
        } else {
            PeerEvent::Found(notice.identity.clone())
        }
    }

    /// Peers that know a higher incarnation ignore this VM until it exceeds it. That happens after
    /// a restart on a VM whose wall clock was set back.
    fn absorb_own(&mut self, notice: &PeerNotice) -> Option<PeerEvent> {
        if notice.identity.incarnation <= self.own.incarnation {
            return None;
        }
        if notice.address != self.address {
            return Some(PeerEvent::Superseded(notice.identity.clone()));
        }
        self.own.incarnation = notice.identity.incarnation + 1;
        self.own_sends = self.resend_limit();
        Some(PeerEvent::IncarnationRaised(self.own.incarnation))
    }

    fn absorb_beat(
        &mut self,
        beat: &PeerBeat,
        from: &SharedName,
        now: ClockTime,
    ) -> Option<PeerEvent> {
        let record = self.peers.get_mut(&beat.name)?;
        if short_incarnation(record.identity.incarnation) != beat.incarnation {
            return None;
        }
        let before = record.state(&self.tuning.peer, now);
        let grew = record.hear(beat.beat, now, from);
        returned(record, before, grew, &self.tuning.peer, now)
    }

    /// Returns a digest of the peers that are not gone, and of this VM.
    pub fn digest(&self, now: ClockTime) -> u32 {
        let tuning = self.peer_tuning();
        let counted = self.peers.values().filter(|record| record.silence(now) < tuning.gone_after);
        let mut digest = record_hash(&self.own, self.phase);
        for record in counted {
            digest ^= record.hash;
        }
        digest
    }

    /// Returns the report for a message; `asked` are the life signs in the request, if it is a
    /// response.
    pub fn report(&mut self, room: ReportRoom, asked: &[PeerBeat], now: ClockTime) -> PeerReport {
        self.own_sends = self.own_sends.saturating_sub(1);
        let sender = self.own_notice(now);
        let mut report =
            PeerReport { sender, notices: Vec::new(), beats: Vec::new(), held: None, digest: None };
        if room.full {
            self.update_counts(now);
            report.held = Some(self.counts.held(now));
            report.digest = Some(self.digest(now));
        }
        let mut left = room.bytes.saturating_sub(report.encoded_size());
        left = self.add_changed(&mut report, left, now);
        if room.differing {
            left = self.add_records(&mut report, left, now);
        }
        if room.full {
            self.add_beats(&mut report, asked, left, now);
        }
        report
    }

    fn add_changed(&mut self, report: &mut PeerReport, mut left: usize, now: ClockTime) -> usize {
        for record in self.peers.values_mut().filter(|record| record.sends_left > 0) {
            let notice = record.notice(now);
            let size = notice.encoded_size();
            if size > left {
                break;
            }
            left -= size;
            record.sends_left -= 1;
            report.notices.push(notice);
        }
        left
    }

    fn add_records(&mut self, report: &mut PeerReport, mut left: usize, now: ClockTime) -> usize {
        let most = self.tuning.gossip.records_per_message;
        let gone_after = self.peer_tuning().gone_after;
        let known: Vec<&PeerRecord> =
            self.peers.values().filter(|record| record.silence(now) < gone_after).collect();
        let total = known.len();
        for step in 0..most.min(total) {
            let notice = known[(self.record_cursor + step) % total].notice(now);
            let size = notice.encoded_size();
            if size > left {
                break;
            }
            left -= size;
            report.notices.push(notice);
        }
        self.record_cursor = self.record_cursor.wrapping_add(most);
        left
    }

    /// Adds life signs. A request carries those that grew last, which are news to most peers, and
    /// those that have not grown for longest, for which the response returns newer ones.
    fn add_beats(
        &mut self,
        report: &mut PeerReport,
        asked: &[PeerBeat],
        mut left: usize,
        now: ClockTime,
    ) {
        let most = self.tuning.gossip.beats_per_message;
        let newer = asked.iter().filter_map(|beat| {
            let record = self.peers.get(&beat.name)?;
            let same = short_incarnation(record.identity.incarnation) == beat.incarnation;
            (same && record.beat > beat.beat).then_some(record)
        });
        let mut chosen: Vec<&PeerRecord> = newer.collect();
        let names: BTreeSet<&SharedName> = asked.iter().map(|beat| &beat.name).collect();
        let mut known: Vec<&PeerRecord> = self
            .peers
            .values()
            .filter(|record| record.beat > 0 && record.phase != VmPhase::Leaving)
            .filter(|record| !names.contains(&record.identity.name))
            .collect();
        known.sort_by_key(|record| record.silence(now));
        let stale = if asked.is_empty() { most / 2 } else { 0 };
        let fresh = most.saturating_sub(chosen.len() + stale);
        let silent = |limit| known.partition_point(|record| record.silence(now) < limit);
        let recent = silent(self.tuning.peer.suspect_after);
        let suspected = &known[recent..silent(self.tuning.peer.gone_after)];
        // Suspected peers get a few places in turn. As the most silent ones they would otherwise
        // take all of them once a data centre has failed.
        let turns = suspected.len().min(stale / 4);
        let start = self.suspect_cursor;
        chosen.extend((0..turns).map(|step| suspected[(start + step) % suspected.len()]));
        let split = recent.saturating_sub(stale - turns);
        chosen.extend(&known[split..recent]);
        chosen.extend(known[..split].iter().take(fresh));
        self.suspect_cursor = start.wrapping_add(turns);
        for beat in chosen.into_iter().map(PeerRecord::beat) {
            let size = beat.encoded_size();
            if size > left {
                break;
            }
            left -= size;
            report.beats.push(beat);
        }
    }

    /// Removes peers that have been gone for long, and the most silent ones above the limit.
    pub fn expire(&mut self, now: ClockTime) {
        let tuning = self.tuning.peer.clone();
        self.peers.retain(|_, record| record.listed || record.silence(now) < tuning.forget_after);
        while self.peers.len() > tuning.max_peers {
            let silent = self.peers.iter().max_by_key(|(_, record)| record.silence(now));
            let Some(name) = silent.map(|(name, _)| name.clone()) else { return };
            self.peers.remove(&name);
        }
    }

    pub fn update_counts(&mut self, now: ClockTime) {
        let hold = self.peer_tuning().count_hold;
        if self.counted_at.is_none_or(|last| now.since(last) >= COUNT_PERIOD) {
            self.counted_at = Some(now);
            self.record_counts(now);
        }
        self.counts.expire(hold, now);
        for window in self.centre_counts.values_mut() {
            window.expire(hold, now);
        }
    }

    fn record_counts(&mut self, now: ClockTime) {
        let mut reported = BTreeMap::from([(self.own.centre.clone(), 1)]);
        for record in self.peers.values() {
            if record.beat > 0 && record.state(&self.tuning.peer, now) != PeerState::Gone {
                *reported.entry(record.identity.centre.clone()).or_default() += 1;
            }
        }
        let listed_total: u32 = self.listed.values().sum();
        let reported_total: u32 = reported.values().sum();
        self.counts.record(listed_total.max(reported_total), now);
        for (centre, listed) in &self.listed {
            let count = reported.entry(centre.clone()).or_default();
            *count = (*count).max(*listed);
        }
        for (centre, count) in reported {
            self.centre_counts.entry(centre).or_default().record(count, now);
        }
    }
}

fn returned(
    record: &PeerRecord,
    before: PeerState,
    grew: bool,
    tuning: &PeerTuning,
    now: ClockTime,
) -> Option<PeerEvent> {
    let silent = matches!(before, PeerState::Suspected | PeerState::Gone);
    let back = grew && !matches!(record.state(tuning, now), PeerState::Suspected | PeerState::Gone);
    (silent && back).then(|| PeerEvent::Returned(record.identity.clone()))
}
