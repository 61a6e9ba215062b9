//! The table of the other VMs: which are known and live, when each is sent a hello, to which
//! neighbours broadcasts are passed on, and when this VM reads the store's table of upstreams.
//!
//! Depends on `vm` for the contact with one VM, `overlay` for the neighbours and
//! `read` for the schedule of reads.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::prelude::*;
use directory::entry::VmEntry;
use serde::{Deserialize, Serialize};
use world::prelude::VmIdentity;

use crate::overlay::{self, BroadcastHistory, BroadcastId, OverlayDegree, OverlayVm};
use crate::query::QuerySchedule;
use crate::read::ReadSchedule;
use crate::tuning::MembershipTuning;
use crate::vm::MemberState;

mod ask;
mod owner;

pub use owner::CentreView;

/// How the sender of a datagram relates to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SenderStatus {
    /// The VM is known with this incarnation.
    Known,
    /// The VM, or its new incarnation, is not known yet. Its entry arrives in the answer to a hello
    /// that is sent to the source of the datagram.
    Unknown,
    /// The sender is a process that has been replaced, or has the name of this VM. The content of
    /// the datagram is to be ignored.
    Outdated,
}

/// Numbers of VMs, this one included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipCounts {
    /// VMs that are known, whether reachable or not, without those that have shut down.
    pub known: u32,
    /// VMs from which something was received and that are not lost.
    pub reachable: u32,
}

/// A report that a VM is lost, made by one of its neighbours.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LostVm {
    /// The VM.
    pub vm: SharedName,
    /// The incarnation of the VM.
    pub incarnation: u64,
    /// Time since the neighbour's last contact with the VM, in milliseconds.
    pub silent_ms: u32,
}

/// A live VM that a peer knows, for a VM that may not know it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberNotice {
    /// The VM and its addresses.
    pub entry: VmEntry,
    /// Time since the peer's last contact with it, in milliseconds.
    pub silent_ms: u64,
}

/// Which peers a VM asks for what it misses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AskReach {
    /// VMs of the own data centre, as long as there are any, because answers that cross data
    /// centres have a price.
    Centre,
    /// One VM of the own data centre and any other one, because no VM of this one may know more.
    Any,
}

/// What decides whether a VM asks the store itself for changes of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowState {
    /// Whether it is the designated reader, which reads the upstreams for all VMs.
    pub is_designated_reader: bool,
    /// Whether a peer reported a read recently, and so would report a new configuration.
    pub peer_reported: bool,
    /// Whether some VM has a newer configuration, which this one could not get from its peers.
    pub is_outdated: bool,
}

/// The VMs known to this one. The I/O layer sends what the methods return and reports what arrives.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    own: VmEntry,
    /// Whether this VM is shutting down.
    is_leaving: bool,
    tuning: MembershipTuning,
    /// When [`due_hellos`](Self::due_hellos) was first called.
    started_at: Option<ClockTime>,
    random: RandomSource,
    vms: BTreeMap<SharedName, MemberState>,
    /// When the hellos to all lost VMs were last restarted.
    lost_restarted_at: Option<ClockTime>,
    reads: ReadSchedule,
    /// The first peer in the order of names that reported a read recently, and when it did.
    peer_read: Option<(SharedName, ClockTime)>,
    /// The newest position that a peer reported.
    reported_position: Option<u64>,
    /// The neighbours as last chosen.
    neighbours: Vec<SharedName>,
    /// Whether the set of live VMs may have changed since then.
    neighbours_stale: bool,
    /// Neighbours that became lost, and when this is to be broadcast.
    losses: Vec<(ClockTime, SharedName)>,
    broadcasts: BroadcastHistory,
    /// Number of broadcasts that this VM sent first.
    published: u64,
    queries: QuerySchedule,
    /// When this VM is to broadcast that it is alive.
    presence_at: Vec<ClockTime>,
    /// Draw from an exponential distribution with mean 1, for the start delay.
    start_draw: f64,
}

impl MembershipTable {
    /// Creates a table that holds no other VM and in which a read is due.
    pub fn new(own: VmEntry, tuning: MembershipTuning, seed: u64) -> Self {
        let reads = ReadSchedule::new(tuning.read.clone());
        let mut random = RandomSource::from_seed(seed);
        let start_draw = random.exponential(1.0);
        Self {
            own,
            is_leaving: false,
            tuning,
            started_at: None,
            random,
            vms: BTreeMap::new(),
            lost_restarted_at: None,
            reads,
            peer_read: None,
            reported_position: None,
            neighbours: Vec::new(),
            neighbours_stale: false,
            losses: Vec::new(),
            broadcasts: BroadcastHistory::default(),
            published: 0,
            queries: QuerySchedule::default(),
            presence_at: Vec::new(),
            start_draw,
        }
    }

    /// Returns the entry of this VM.
    pub fn own(&self) -> &VmEntry {
        &self.own
    }

    /// Raises this VM's incarnation above the one that a peer knows, which is higher if the wall
    /// clock was set back. Returns whether it did; the VM then has to announce its entry again.
    /// Only a VM that started recently does so.
    pub fn raise_incarnation(&mut self, known: u64, now: ClockTime) -> bool {
        let limit = self.tuning.raise_window;
        let is_new = self.started_at.is_none_or(|at| now.since(at) < limit);
        let is_raised = is_new && known > self.own.vm.incarnation;
        if is_raised {
            self.own.vm.incarnation = known.saturating_add(1);
        }
        is_raised
    }

    /// Returns the known incarnation of a VM if it is higher than that of `vm`.
    pub fn newer_incarnation(&self, vm: &VmIdentity) -> Option<u64> {
        let known = self.vms.get(&vm.name)?.entry.vm.incarnation;
        (known > vm.incarnation).then_some(known)
    }

    /// Adds an entry from the store or a hello and returns whether it is new. A higher incarnation
    /// replaces a lower one. The contact state of a known entry does not change, so that the row
    /// that a lost VM left in the store does not make it count as live again.
    pub fn add_entry(&mut self, entry: &VmEntry, now: ClockTime) -> bool {
        let name = &entry.vm.name;
        let known = self.vms.get(name).map(|known| known.entry.vm.incarnation);
        let is_known = known.is_some_and(|known| known >= entry.vm.incarnation);
        if is_known || *name == self.own.vm.name {
            return false;
        }
        let vm = if self.vms.len() < self.tuning.direct_vms {
            MemberState::new(entry.clone(), self.tuning.initial_hellos, now)
        } else {
            let wait = self.hello_wait(false);
            MemberState { due_at: now + wait, ..MemberState::new(entry.clone(), 0, now) }
        };
        self.vms.insert(name.clone(), vm);
        self.neighbours_stale = true;
        if self.vms.len() > self.tuning.max_vms {
            self.remove_most_silent(now);
        }
        true
    }

    /// Adds entries from the store in random order, so that VMs that start together do not all send
    /// their first hellos to the same ones.
    pub fn add_rows(&mut self, mut entries: Vec<VmEntry>, now: ClockTime) {
        while let Some(entry) = draw(&mut entries, &mut self.random) {
            self.add_entry(&entry, now);
        }
        // The first broadcast of a VM that starts may find neighbours that start as well, or that
        // still count its data centre as lost.
        self.schedule_presence(now + self.tuning.loss_repeat);
    }

    /// Records that a datagram of a VM arrived and returns the status of its sender.
    pub fn observe_sender(
        &mut self,
        vm: &SharedName,
        incarnation: u64,
        now: ClockTime,
    ) -> SenderStatus {
        if *vm == self.own.vm.name {
            return SenderStatus::Outdated;
        }
        let Some(known) = self.vms.get(vm) else { return SenderStatus::Unknown };
        if incarnation != known.entry.vm.incarnation {
            let is_newer = incarnation > known.entry.vm.incarnation;
            return if is_newer { SenderStatus::Unknown } else { SenderStatus::Outdated };
        }
        self.record_contact(vm, now);
        SenderStatus::Known
    }

    /// Records that a datagram of a known VM arrived, or a broadcast of it that others passed on.
    fn record_contact(&mut self, vm: &SharedName, now: ClockTime) {
        let wait = self.hello_wait(self.neighbours.contains(vm));
        let Some(known) = self.vms.get_mut(vm) else { return };
        let (is_back, is_first) = (known.lost, known.last_contact.is_none());
        known.record_contact(wait, now);
        self.neighbours_stale |= is_back || is_first;
        if is_first {
            self.queries.start(&self.tuning, &mut self.random, now);
        }
        if is_back {
            self.restart_lost(vm, now);
        }
    }

    /// Draws the silence after which a VM is sent a hello. It varies widely for VMs that are not
    /// neighbours, so that the hellos are spread even if all VMs start at once.
    fn hello_wait(&mut self, is_neighbour: bool) -> ClockSpan {
        let MembershipTuning { hello_period, hello_spacing, hello_jitter, .. } = self.tuning;
        let draw = self.random.unit();
        let shortest = hello_period.scaled(1.0 + hello_jitter * draw);
        let spaced = hello_spacing.scaled(2.0 * draw * self.vms.len() as f64);
        if is_neighbour { shortest } else { shortest.max(spaced) }
    }

    /// Records that a VM reported that it is shutting down. It is sent no more hellos. It gets
    /// other messages until it is lost, because it still serves calls.
    pub fn record_shutdown(&mut self, vm: &SharedName, incarnation: u64) {
        let known = self.vms.get_mut(vm);
        if let Some(known) = known.filter(|known| known.entry.vm.incarnation == incarnation) {
            known.shutting_down = true;
        }
    }

    /// Returns where to send hellos that ask for an answer, the longest overdue first, and counts
    /// them as sent. Call it every 20 to 100 ms.
    pub fn due_hellos(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        let forget_after = self.tuning.forget_after;
        self.started_at.get_or_insert(now);
        let known = self.vms.len();
        self.vms.retain(|_, vm| vm.silence(now) < forget_after);
        self.neighbours_stale |= self.vms.len() < known;
        self.mark_lost(now);
        self.refresh_neighbours(now);
        let given_up_wait = self.given_up_wait(now);
        let tuning = &self.tuning;
        let mut due: Vec<_> = self.vms.values_mut().filter(|vm| vm.is_due(now)).collect();
        due.sort_by_key(|vm| vm.due_at);
        due.truncate(tuning.hello_batch);
        for vm in &mut due {
            let wait =
                if vm.is_given_up(tuning, now) { given_up_wait } else { vm.retry_wait(tuning) };
            let jitter = 1.0 + tuning.hello_jitter * self.random.unit();
            vm.count_hello(wait.scaled(jitter), now);
        }
        due.iter().map(|vm| vm.entry.exchange_address).collect()
    }

    /// Marks the VMs that did not answer for the lost time as lost, and schedules broadcasts about
    /// those that are neighbours.
    fn mark_lost(&mut self, now: ClockTime) {
        let mut centres = BTreeSet::new();
        for (name, vm) in &mut self.vms {
            if !vm.becomes_lost(&self.tuning, now) {
                continue;
            }
            vm.lost = true;
            self.neighbours_stale = true;
            let is_watched = vm.checked || self.neighbours.contains(name);
            // A VM without any contact so far may have been lost long before.
            if !vm.shutting_down && vm.last_contact.is_some() && is_watched {
                let again = now + self.tuning.loss_repeat;
                self.losses.extend([(now, name.clone()), (again, name.clone())]);
                centres.insert(vm.entry.vm.centre.clone());
            }
        }
        centres.remove(&self.own.vm.centre);
        self.check_centres(&centres, now);
    }

    /// Sends hellos to the VMs of other data centres of which one was lost. Only few VMs exchange
    /// hellos with another data centre; if all of it is lost, these would detect its VMs one after
    /// the other.
    fn check_centres(&mut self, centres: &BTreeSet<SharedName>, now: ClockTime) {
        let lost_after = self.tuning.lost_after;
        let silent = self.vms.values_mut().filter(|vm| {
            centres.contains(&vm.entry.vm.centre) && !vm.lost && vm.silence(now) >= lost_after
        });
        for vm in silent.filter(|vm| !vm.checked && !vm.shutting_down) {
            vm.checked = true;
            vm.due_at = vm.due_at.min(now);
        }
    }

    /// Returns the lost neighbours that are to be broadcast now.
    pub fn take_losses(&mut self, now: ClockTime) -> Vec<LostVm> {
        let due = self.losses.extract_if(.., |(at, _)| *at <= now);
        let loss = |(_, name): (ClockTime, SharedName)| {
            let vm = self.vms.get(&name).filter(|vm| vm.lost)?;
            let silent_ms = u32::try_from(vm.silence(now).as_millis()).unwrap_or(u32::MAX);
            Some(LostVm { vm: name, incarnation: vm.entry.vm.incarnation, silent_ms })
        };
        due.filter_map(loss).collect()
    }

    /// Records a peer's report that a VM is lost. Returns whether the report is about this VM,
    /// which then has to broadcast that it is live.
    ///
    /// If this VM's last contact with the reported one is more recent than the peer's, that VM is
    /// not lost and is sent a hello now. Otherwise it counts as lost and given up, so that it gets
    /// hellos only rarely: the neighbour that made the report has sent it frequent ones already.
    pub fn record_loss_report(&mut self, loss: &LostVm, now: ClockTime) -> bool {
        let LostVm { vm, incarnation, silent_ms } = loss;
        if *vm == self.own.vm.name {
            return *incarnation == self.own.vm.incarnation;
        }
        let silent = ClockSpan::from_millis(u64::from(*silent_ms));
        let Some(known) = self.vms.get_mut(vm) else { return false };
        let is_same = known.entry.vm.incarnation == *incarnation;
        if !is_same || known.lost || known.shutting_down {
            return false;
        }
        if known.silence(now) < silent {
            known.due_at = known.due_at.min(now);
            return false;
        }
        known.lost = true;
        self.neighbours_stale = true;
        // Only a peer that has heard of it since then knows better.
        known.last_contact = known.last_contact.max(Some(now - silent));
        known.unanswered = known.unanswered.max(self.tuning.fast_tries);
        known.unanswered_since = now - self.tuning.give_up_after;
        let wait = self.given_up_wait(now).scaled(self.random.unit());
        if let Some(known) = self.vms.get_mut(vm) {
            known.due_at = now + wait;
        }
        false
    }

    /// Returns the entries of the live VMs, which are those that are not lost.
    pub fn live_entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms.values().filter(|vm| !vm.lost).map(|vm| &vm.entry)
    }

    /// Returns the addresses of the VMs to which this one passes broadcasts on. Lost VMs are not
    /// chosen as neighbours, so that the VMs after them on the rings still get broadcasts.
    pub fn neighbours(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        self.neighbours_except(None, now)
    }

    fn neighbours_except(
        &mut self,
        sender: Option<&SharedName>,
        now: ClockTime,
    ) -> Vec<SocketAddr> {
        self.refresh_neighbours(now);
        let others = self.neighbours.iter().filter(|name| sender != Some(*name));
        others.filter_map(|name| Some(self.vms.get(name)?.entry.exchange_address)).collect()
    }

    /// Chooses the neighbours again if the set of live VMs may have changed. The hello to a new
    /// neighbour is due after the silence that applies to neighbours.
    fn refresh_neighbours(&mut self, now: ClockTime) {
        if !std::mem::take(&mut self.neighbours_stale) {
            return;
        }
        let degree = OverlayDegree { near: self.tuning.neighbours, bridges: self.tuning.bridges };
        let own = overlay_vm(&self.own);
        let live = self.vms.values().filter(|vm| !vm.lost);
        let heard: Vec<_> = live.clone().filter(|vm| vm.last_contact.is_some()).collect();
        // A VM that has just started has heard of few others. Later, one that was never heard of
        // has probably left its entry behind.
        let others: Vec<_> = if heard.len() < degree.near { live.collect() } else { heard };
        let others: Vec<_> = others.into_iter().map(|vm| overlay_vm(&vm.entry)).collect();
        let chosen = overlay::select_neighbours(own, &others, degree);
        let chosen: Vec<_> = chosen.into_iter().cloned().collect();
        for name in chosen.iter().filter(|name| !self.neighbours.contains(name)) {
            let Some(vm) = self.vms.get_mut(name) else { continue };
            if vm.last_contact.is_none() {
                vm.initial_hellos = vm.initial_hellos.max(self.tuning.initial_hellos);
            }
            let due_at = vm.last_contact.map_or(now, |last| last + self.tuning.hello_period);
            vm.due_at = vm.due_at.min(due_at.max(now));
        }
        self.neighbours = chosen;
    }

    /// Returns the id of a new broadcast of this VM, and where to send it.
    pub fn publish(&mut self, now: ClockTime) -> (BroadcastId, Vec<SocketAddr>) {
        self.published += 1;
        let VmIdentity { name, incarnation, .. } = &self.own.vm;
        let (vm, number) = (name.clone(), self.published);
        (BroadcastId { vm, incarnation: *incarnation, number }, self.neighbours(now))
    }

    /// Records a broadcast that `sender` passed on and returns where to pass it on to. Returns
    /// `None` if it is to be ignored: this VM sent or received it before, or it comes from a
    /// process that has been replaced.
    pub fn receive_broadcast(
        &mut self,
        origin: &BroadcastId,
        sender: &SharedName,
        now: ClockTime,
    ) -> Option<Vec<SocketAddr>> {
        let known = self.vms.get(&origin.vm).map(|known| known.entry.vm.incarnation);
        let is_outdated = known.is_some_and(|known| origin.incarnation < known);
        if origin.vm == self.own.vm.name || is_outdated {
            return None;
        }
        let is_new = self.broadcasts.record(origin, self.tuning.max_vms, now);
        if is_new && known == Some(origin.incarnation) {
            self.record_contact(&origin.vm, now);
        }
        is_new.then(|| self.neighbours_except(Some(sender), now))
    }

    /// Returns the entry of a known VM, live or lost.
    pub fn entry(&self, vm: &SharedName) -> Option<&VmEntry> {
        self.vms.get(vm).map(|vm| &vm.entry)
    }

    /// Returns the time of the last contact with the known incarnation of a VM.
    pub fn last_contact(&self, vm: &SharedName) -> Option<ClockTime> {
        self.vms.get(vm)?.last_contact
    }

    /// Returns the numbers of VMs. A VM that is shutting down counts until it is lost.
    pub fn counts(&self) -> MembershipCounts {
        let mut counts = MembershipCounts { known: 1, reachable: 1 };
        for vm in self.vms.values() {
            counts.known += u32::from(!vm.lost || !vm.shutting_down);
            counts.reachable += u32::from(!vm.lost && vm.last_contact.is_some());
        }
        counts
    }

    /// Records a read of the table of upstreams by this VM or a peer. `made_at` is the time of the
    /// state that it returned: the start of the read, or the end of a long poll.
    pub fn record_read(&mut self, position: u64, made_at: ClockTime) {
        let vms = 1 + self.live_entries().count();
        self.reads.record(position, made_at, vms, &mut self.random);
    }

    /// Records that a peer reported a read of the upstreams up to `position`.
    pub fn record_peer_read(&mut self, vm: &SharedName, position: u64, now: ClockTime) {
        self.reported_position = self.reported_position.max(Some(position));
        let span = self.tuning.read.min_age;
        let is_first = |(peer, at): &(SharedName, ClockTime)| vm <= peer || now.since(*at) > span;
        if self.peer_read.as_ref().is_none_or(is_first) {
            self.peer_read = Some((vm.clone(), now));
        }
    }

    /// Returns whether a peer that comes before this VM in the order of names is a designated
    /// reader, too. This VM then stops being one.
    ///
    /// The time since the peer's report must be compared to more than the time between two reads of
    /// such a peer. If it were compared to the duration of a long poll, which does not include the
    /// pause after a read, VMs whose reads end at the same time would not stop: of 45 VMs, 36
    /// were still designated readers 10 s after the start.
    pub fn has_preferred_reader(&self, now: ClockTime) -> bool {
        let span = self.tuning.read.min_age;
        let is_earlier = |(peer, at): &(SharedName, ClockTime)| {
            *peer < self.own.vm.name && now.since(*at) <= span
        };
        self.peer_read.as_ref().is_some_and(is_earlier)
    }

    /// Returns whether no peer has reported changes up to `position` yet. If one has, a VM that has
    /// read them because it missed changes does not report its read, so that peers do not take it
    /// for a designated reader.
    pub fn is_unreported(&self, position: u64) -> bool {
        self.reported_position < Some(position)
    }

    /// Returns whether this VM asks the store for changes of the configuration.
    ///
    /// The designated reader does; another VM replaces it within 1.2 s if it fails. So does the
    /// first VM of each data centre in the order of names, so that one connection that no longer
    /// responds does not delay a version. These VMs report new versions to the others, because the
    /// cost of requests from all VMs would grow with their number.
    pub fn follows_config(&self, state: FollowState) -> bool {
        let FollowState { is_designated_reader, peer_reported, is_outdated } = state;
        is_designated_reader || !peer_reported || is_outdated || self.is_first_of_centre()
    }

    /// Returns whether this VM comes first, in the order of names, of the reachable VMs of its data
    /// centre that are not shutting down.
    fn is_first_of_centre(&self) -> bool {
        let VmIdentity { name, centre, .. } = &self.own.vm;
        let is_earlier = |(other, vm): (&SharedName, &MemberState)| {
            other < name && vm.entry.vm.centre == *centre && vm.is_in_service()
        };
        !self.vms.iter().any(is_earlier)
    }

    /// Returns whether a read is due, and if so records it as started. The caller reports its end
    /// with [`record_read`](Self::record_read) or
    /// [`record_read_failure`](Self::record_read_failure).
    pub fn start_due_read(&mut self, now: ClockTime) -> bool {
        self.reads.start_due(now)
    }

    /// Records that a read of this VM failed.
    pub fn record_read_failure(&mut self, now: ClockTime) {
        self.reads.record_failure(now, &mut self.random);
    }

    /// Returns when the next read of this VM is due unless it learns of a newer read.
    pub fn next_read(&self) -> ClockTime {
        self.reads.next()
    }

    /// Returns the time between two hellos to a VM that was given up.
    fn given_up_wait(&self, now: ClockTime) -> ClockSpan {
        let MembershipTuning { hello_period, given_up_spacing, given_up_period, .. } = self.tuning;
        let given_up = self.vms.values().filter(|vm| vm.is_given_up(&self.tuning, now)).count();
        given_up_spacing.scaled(given_up as f64).max(hello_period).min(given_up_period)
    }

    /// Called when the lost VM `back` is heard of again: probably a partition ended. Restarts the
    /// hellos to all lost VMs. If there are many, asks `back` for those that it knows instead, and
    /// has this VM broadcast that it is alive, as all others do.
    fn restart_lost(&mut self, back: &SharedName, now: ClockTime) {
        let MembershipTuning { hello_period, initial_hellos, direct_vms, .. } = self.tuning;
        if self.lost_restarted_at.is_some_and(|at| now.since(at) < hello_period) {
            return;
        }
        self.lost_restarted_at = Some(now);
        if self.vms.values().filter(|vm| vm.lost).count() > direct_vms {
            self.queries.ask(back.clone(), &self.tuning, &mut self.random, now);
            self.schedule_presence_twice(now);
            return;
        }
        let lost = self.vms.values_mut().filter(|vm| vm.lost);
        lost.for_each(|vm| vm.restart_hellos(initial_hellos, now));
    }

    fn remove_most_silent(&mut self, now: ClockTime) {
        let most = self.vms.iter().max_by_key(|(_, vm)| vm.silence(now));
        if let Some(name) = most.map(|(name, _)| name.clone()) {
            self.vms.remove(&name);
            self.neighbours_stale = true;
        }
    }
}

fn overlay_vm(entry: &VmEntry) -> OverlayVm<'_> {
    OverlayVm { name: &entry.vm.name, centre: &entry.vm.centre }
}

/// Removes an element at random.
fn draw<T>(elements: &mut Vec<T>, random: &mut RandomSource) -> Option<T> {
    let index = (random.unit() * elements.len() as f64) as usize;
    (index < elements.len()).then(|| elements.swap_remove(index))
}
