//! Which VMs exchange datagrams with this one: who is known, who is sent hellos, to whom news is
//! passed on, and who reads the store's table of upstreams next.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use directory::entry::VmEntry;
use world::prelude::VmIdentity;

use crate::overlay::{self, NewsOrigin, NewsTable};
use crate::read::ReadSchedule;
use crate::tuning::MeshTuning;

/// Past this exponent the time between two hellos is at its cap.
const MAX_DOUBLINGS: u32 = 16;

/// Which VMs a message is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeshScope {
    /// All VMs.
    All,
    /// The VMs in the data centre of this one.
    Centre,
}

/// What a datagram's sender and incarnation say about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeardFrom {
    /// The VM is known with this incarnation.
    Known,
    /// The VM, or its new incarnation, is not known yet. A hello to the source of the datagram
    /// that asks for an answer brings its entry.
    Unknown,
    /// A process that has been replaced sent it, or this VM itself; its content is to be ignored.
    Outdated,
}

/// Numbers of VMs, this one included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MeshCounts {
    /// VMs that are known, whether heard or not, without those that left.
    pub listed: u32,
    /// VMs that were heard from lately.
    pub heard: u32,
}

/// What a VM knows that decides whether it follows the configuration in the store itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowState {
    /// Whether it reads the upstreams for all VMs.
    pub reads_for_all: bool,
    /// Whether a peer told it of a read lately, and so would tell it of a new configuration.
    pub told: bool,
    /// Whether some VM has a newer configuration, or this one has none.
    pub behind: bool,
}

/// What is known of another VM.
#[derive(Clone, Debug)]
struct MeshVm {
    entry: VmEntry,
    /// Whether it said that it is leaving.
    leaving: bool,
    /// When this incarnation was first named.
    learnt_at: ClockTime,
    heard_at: Option<ClockTime>,
    /// When contact was last made or sought anew. It is given up some time after this.
    sought_at: ClockTime,
    /// Hellos since then.
    tries: u32,
    /// Hellos that are sent even if the VM is heard.
    introductions: u32,
    /// When the next hello is due.
    due_at: ClockTime,
}

impl MeshVm {
    fn new(entry: VmEntry, introductions: u32, now: ClockTime) -> Self {
        Self {
            entry,
            leaving: false,
            learnt_at: now,
            heard_at: None,
            sought_at: now,
            tries: 0,
            introductions,
            due_at: now,
        }
    }

    /// Returns the time since the VM was heard, or learnt of if it never was.
    fn silence(&self, now: ClockTime) -> ClockSpan {
        now.since(self.heard_at.unwrap_or(self.learnt_at))
    }

    fn is_given_up(&self, tuning: &MeshTuning, now: ClockTime) -> bool {
        !self.leaving && now.since(self.sought_at) >= tuning.give_up
    }

    fn is_due(&self, now: ClockTime) -> bool {
        !self.leaving && self.due_at <= now
    }

    /// Returns the time until a hello to a VM that is not given up is repeated.
    fn retry_wait(&self, tuning: &MeshTuning) -> ClockSpan {
        if self.tries.saturating_add(1) >= tuning.quick_tries {
            return tuning.hello_period;
        }
        let factor = f64::from(1_u32 << self.tries.min(MAX_DOUBLINGS));
        tuning.first_retry.scaled(factor).min(tuning.retry_cap)
    }

    /// Records a datagram, after which no hello is needed for `wait`.
    fn hear(&mut self, wait: ClockSpan, now: ClockTime) {
        self.heard_at = Some(now);
        self.sought_at = now;
        if self.introductions == 0 {
            self.tries = 0;
            self.due_at = now + wait;
        }
    }

    /// Makes hellos due and counts anew the time after which the VM is given up.
    fn seek(&mut self, introductions: u32, now: ClockTime) {
        self.sought_at = now;
        self.tries = 0;
        self.introductions = introductions;
        self.due_at = now;
    }

    /// Counts a hello, after which none is needed for `wait`.
    fn count_hello(&mut self, wait: ClockSpan, now: ClockTime) {
        self.tries = self.tries.saturating_add(1);
        self.introductions = self.introductions.saturating_sub(1);
        self.due_at = now + wait;
    }
}

/// The VMs known to this one. The shell sends what the plan asks for and reports what arrives.
#[derive(Clone, Debug)]
pub struct MeshPlan {
    own: VmEntry,
    tuning: MeshTuning,
    random: RandomSource,
    vms: BTreeMap<SharedName, MeshVm>,
    /// When all lost VMs were last sought at once.
    sought_all_at: Option<ClockTime>,
    reads: ReadSchedule,
    /// The first peer in the order of names that told of a read lately, and when.
    peer_read: Option<(SharedName, ClockTime)>,
    /// The newest position of which a peer told.
    told_position: Option<u64>,
    news: NewsTable,
    /// Messages that this VM had others pass on.
    published: u64,
}

impl MeshPlan {
    /// Returns a plan that knows no other VM and in which a read is due.
    pub fn new(own: VmEntry, tuning: MeshTuning, seed: u64) -> Self {
        let reads = ReadSchedule::new(tuning.read.clone());
        let random = RandomSource::from_seed(seed);
        Self {
            own,
            tuning,
            random,
            vms: BTreeMap::new(),
            sought_all_at: None,
            reads,
            peer_read: None,
            told_position: None,
            news: NewsTable::default(),
            published: 0,
        }
    }

    /// Returns the entry of this VM.
    pub fn own(&self) -> &VmEntry {
        &self.own
    }

    /// Takes over an entry from the store or a hello and returns whether it is new. A higher
    /// incarnation replaces a lower one; an entry that is known stays as it is, so that the row of
    /// a VM that is gone does not make it count again.
    pub fn learn(&mut self, entry: &VmEntry, now: ClockTime) -> bool {
        let name = &entry.vm.name;
        let known = self.vms.get(name).map(|known| known.entry.vm.incarnation);
        let is_known = known.is_some_and(|known| known >= entry.vm.incarnation);
        if is_known || *name == self.own.vm.name {
            return false;
        }
        let vm = MeshVm::new(entry.clone(), self.tuning.introductions, now);
        self.vms.insert(name.clone(), vm);
        if self.vms.len() > self.tuning.max_vms {
            self.forget_most_silent(now);
        }
        true
    }

    /// Records a datagram of a VM and returns what to make of it.
    pub fn hear(&mut self, vm: &SharedName, incarnation: u64, now: ClockTime) -> HeardFrom {
        if *vm == self.own.vm.name {
            return HeardFrom::Outdated;
        }
        let Some(known) = self.vms.get_mut(vm) else { return HeardFrom::Unknown };
        if incarnation != known.entry.vm.incarnation {
            let is_newer = incarnation > known.entry.vm.incarnation;
            return if is_newer { HeardFrom::Unknown } else { HeardFrom::Outdated };
        }
        let is_back = known.silence(now) >= self.tuning.lost_after;
        let jitter = 1.0 + self.tuning.hello_jitter * self.random.unit();
        known.hear(self.tuning.hello_period.scaled(jitter), now);
        if is_back {
            self.seek_lost(now);
        }
        HeardFrom::Known
    }

    /// Records that a VM said that it is leaving. It is sent no more hellos, and other messages as
    /// long as it is heard, because it still serves calls.
    pub fn leave(&mut self, vm: &SharedName, incarnation: u64) {
        let known = self.vms.get_mut(vm);
        if let Some(known) = known.filter(|known| known.entry.vm.incarnation == incarnation) {
            known.leaving = true;
        }
    }

    /// Returns where to send hellos that ask for an answer, those that are due longest first, and
    /// counts them as sent. To be called every 20 to 100 ms.
    pub fn due_hellos(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        let forget_after = self.tuning.forget_after;
        self.vms.retain(|_, vm| vm.silence(now) < forget_after);
        let lost_wait = self.lost_wait(now);
        let tuning = &self.tuning;
        let mut due: Vec<_> = self.vms.values_mut().filter(|vm| vm.is_due(now)).collect();
        due.sort_by_key(|vm| vm.due_at);
        due.truncate(tuning.hello_batch);
        for vm in &mut due {
            let wait = if vm.is_given_up(tuning, now) { lost_wait } else { vm.retry_wait(tuning) };
            let jitter = 1.0 + tuning.hello_jitter * self.random.unit();
            vm.count_hello(wait.scaled(jitter), now);
        }
        due.iter().map(|vm| vm.entry.exchange_address).collect()
    }

    /// Returns the entries of the VMs that were heard of or learnt of lately.
    pub fn present(&self, now: ClockTime) -> impl Iterator<Item = &VmEntry> {
        let is_present = move |vm: &&MeshVm| vm.silence(now) < self.tuning.give_up;
        self.vms.values().filter(is_present).map(|vm| &vm.entry)
    }

    /// Returns where to send a message for the VMs of a scope.
    pub fn audience(&self, scope: MeshScope, now: ClockTime) -> Vec<SocketAddr> {
        let own = &self.own.vm.centre;
        let is_meant = |entry: &&VmEntry| scope == MeshScope::All || entry.vm.centre == *own;
        self.present(now).filter(is_meant).map(|entry| entry.exchange_address).collect()
    }

    /// Returns the addresses of the VMs to which this one passes news on. A VM that was silent for
    /// so long that it is probably gone is left out, so that the VMs beyond it still get news.
    pub fn neighbours(&self, now: ClockTime) -> Vec<SocketAddr> {
        self.neighbours_except(None, now)
    }

    fn neighbours_except(&self, sender: Option<&SharedName>, now: ClockTime) -> Vec<SocketAddr> {
        let is_heard = |vm: &&MeshVm| vm.silence(now) < self.tuning.lost_after;
        let heard = self.vms.values().filter(is_heard);
        let names: Vec<_> = heard.map(|vm| &vm.entry.vm.name).collect();
        let chosen = overlay::select(&self.own.vm.name, &names, self.tuning.neighbours);
        let others = chosen.into_iter().filter(|name| sender != Some(*name));
        others.filter_map(|name| Some(self.vms.get(name)?.entry.exchange_address)).collect()
    }

    /// Returns the origin of a new message that all VMs are to get, and where to send it.
    pub fn publish(&mut self, now: ClockTime) -> (NewsOrigin, Vec<SocketAddr>) {
        self.published += 1;
        let VmIdentity { name, incarnation, .. } = &self.own.vm;
        let (vm, number) = (name.clone(), self.published);
        (NewsOrigin { vm, incarnation: *incarnation, number }, self.neighbours(now))
    }

    /// Records news that `sender` passed on and returns where to pass it on to, or `None` if it is
    /// to be ignored: this VM has it, or it comes from a process that has been replaced.
    pub fn take_news(
        &mut self,
        origin: &NewsOrigin,
        sender: &SharedName,
        now: ClockTime,
    ) -> Option<Vec<SocketAddr>> {
        let known = self.vms.get(&origin.vm).map(|known| known.entry.vm.incarnation);
        let is_outdated = known.is_some_and(|known| origin.incarnation < known);
        if origin.vm == self.own.vm.name || is_outdated {
            return None;
        }
        let is_new = self.news.take(origin, self.tuning.max_vms, now);
        is_new.then(|| self.neighbours_except(Some(sender), now))
    }

    /// Returns what is known of a VM, present or not.
    pub fn entry(&self, vm: &SharedName) -> Option<&VmEntry> {
        self.vms.get(vm).map(|vm| &vm.entry)
    }

    /// Returns when a VM was last heard, if it was since this incarnation of it is known.
    pub fn heard_at(&self, vm: &SharedName) -> Option<ClockTime> {
        self.vms.get(vm)?.heard_at
    }

    /// Returns the numbers of VMs. A VM that is leaving counts as long as it is heard.
    pub fn counts(&self, now: ClockTime) -> MeshCounts {
        let mut counts = MeshCounts { listed: 1, heard: 1 };
        for vm in self.vms.values() {
            let is_present = vm.silence(now) < self.tuning.give_up;
            counts.listed += u32::from(is_present || !vm.leaving);
            counts.heard += u32::from(is_present && vm.heard_at.is_some());
        }
        counts
    }

    /// Records a read of the table of upstreams by this VM or a peer. `made_at` is when it began.
    pub fn note_read(&mut self, position: u64, made_at: ClockTime, now: ClockTime) {
        let vms = 1 + self.present(now).count();
        self.reads.note(position, made_at, vms, &mut self.random);
    }

    /// Records that a peer told of a read of the upstreams up to `position`.
    pub fn hear_reader(&mut self, vm: &SharedName, position: u64, now: ClockTime) {
        self.told_position = self.told_position.max(Some(position));
        let span = self.tuning.read.earliest;
        let is_first = |(peer, at): &(SharedName, ClockTime)| vm <= peer || now.since(*at) > span;
        if self.peer_read.as_ref().is_none_or(is_first) {
            self.peer_read = Some((vm.clone(), now));
        }
    }

    /// Returns whether a peer that comes before this VM in the order of names reads for all, too.
    ///
    /// The span must exceed the time from one read of such a peer to its next one. With the time
    /// for which the store holds its answers, which leaves out the pause after a read, VMs whose
    /// reads end at the same moment never yielded: of 45 VMs, 36 read for all 10 s after the start.
    pub fn has_earlier_reader(&self, now: ClockTime) -> bool {
        let span = self.tuning.read.earliest;
        let is_earlier = |(peer, at): &(SharedName, ClockTime)| {
            *peer < self.own.vm.name && now.since(*at) <= span
        };
        self.peer_read.as_ref().is_some_and(is_earlier)
    }

    /// Returns whether no peer has told of changes up to `position` yet. If one has, a VM that read
    /// to catch up tells nobody, so that it is not taken for one that reads for all.
    pub fn is_news(&self, position: u64) -> bool {
        self.told_position < Some(position)
    }

    /// Returns whether this VM asks the store for changes of the configuration. The VM that reads
    /// for all does, which another one replaces within 1.2 s, and the first one of each data centre
    /// in the order of names, so that one connection that goes silent delays no version. The others
    /// hear of a new version from them; questions of all VMs have a price that grows with their
    /// number.
    pub fn follows_config(&self, state: FollowState, now: ClockTime) -> bool {
        let FollowState { reads_for_all, told, behind } = state;
        reads_for_all || !told || behind || self.is_first_of_centre(now)
    }

    /// Returns whether this VM comes first of those of its data centre that it hears.
    fn is_first_of_centre(&self, now: ClockTime) -> bool {
        let VmIdentity { name, centre, .. } = &self.own.vm;
        let is_earlier = |(other, vm): (&SharedName, &MeshVm)| {
            other < name
                && vm.entry.vm.centre == *centre
                && !vm.leaving
                && vm.heard_at.is_some()
                && vm.silence(now) < self.tuning.give_up
        };
        !self.vms.iter().any(is_earlier)
    }

    /// Returns whether this VM reads now. The caller reports how the read ends with
    /// [`note_read`](Self::note_read) or [`read_failed`](Self::read_failed).
    pub fn read_due(&mut self, now: ClockTime) -> bool {
        self.reads.take(now)
    }

    /// Records that an own read failed.
    pub fn read_failed(&mut self, now: ClockTime) {
        self.reads.fail(now, &mut self.random);
    }

    /// Returns when this VM reads unless it hears of a newer read.
    pub fn next_read(&self) -> ClockTime {
        self.reads.next()
    }

    /// Returns the position of the newest read that is known.
    pub fn read_position(&self) -> Option<u64> {
        self.reads.position()
    }

    /// Returns the time between two hellos to a VM that was given up.
    fn lost_wait(&self, now: ClockTime) -> ClockSpan {
        let MeshTuning { hello_period, lost_spacing, lost_period, .. } = self.tuning;
        let lost = self.vms.values().filter(|vm| vm.is_given_up(&self.tuning, now)).count();
        lost_spacing.scaled(lost as f64).max(hello_period).min(lost_period)
    }

    /// Seeks all silent VMs at once, because one of them is back after a long silence: probably a
    /// partition ended.
    fn seek_lost(&mut self, now: ClockTime) {
        let MeshTuning { hello_period, lost_after, introductions, .. } = self.tuning;
        if self.sought_all_at.is_some_and(|at| now.since(at) < hello_period) {
            return;
        }
        self.sought_all_at = Some(now);
        let lost = self.vms.values_mut().filter(|vm| vm.silence(now) >= lost_after);
        lost.for_each(|vm| vm.seek(introductions, now));
    }

    fn forget_most_silent(&mut self, now: ClockTime) {
        let most = self.vms.iter().max_by_key(|(_, vm)| vm.silence(now));
        if let Some(name) = most.map(|(name, _)| name.clone()) {
            self.vms.remove(&name);
        }
    }
}
