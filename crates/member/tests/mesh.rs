//! Exchange of datagrams in a seeded model of many VMs that lose datagrams, fail and are cut off.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use directory::entry::VmEntry;
use member::prelude::*;
use world::prelude::VmIdentity;

/// Time within which VMs have to know one another after a disturbance, by the deployment page.
const STABLE_WINDOW: ClockSpan = ClockSpan::from_secs(3);
/// Time within which a VM without peers has to read for itself.
const ALONE_LIMIT: ClockSpan = ClockSpan::from_secs(1);
/// Shortest and longest mean time between two reads of all VMs, by the deployment page.
const READ_INTERVALS_MS: (f64, f64) = (400.0, 800.0);
/// Time between two calls for hellos.
const TICK_MS: u64 = 20;
/// Time that a read of the store takes.
const READ_MS: u64 = 5;
const CENTRES: [&str; 3] = ["medeu", "bostandyk", "auezov"];

#[derive(Clone, Debug)]
enum ModelMessage {
    Hello { entry: VmEntry, answer_wanted: bool },
    Directory { position: u64, age: ClockSpan },
}

#[derive(Clone, Debug)]
enum ModelEvent {
    Datagram { sender: VmEntry, to: SocketAddr, message: Box<ModelMessage> },
    ReadDone { vm: usize, incarnation: u64, begun: ClockTime },
}

struct ModelVm {
    entry: VmEntry,
    plan: MeshPlan,
    alive: bool,
    /// VMs exchange datagrams only with VMs on the same side.
    side: usize,
    store_reachable: bool,
    reads: Vec<ClockTime>,
    sent: u64,
}

struct Model {
    vms: Vec<ModelVm>,
    random: RandomSource,
    loss: f64,
    now_ms: u64,
    events: BTreeMap<u64, Vec<ModelEvent>>,
    /// The rows that VMs write of themselves; those of VMs that are gone stay.
    rows: BTreeMap<SharedName, VmEntry>,
}

fn entry(index: usize, incarnation: u64) -> VmEntry {
    let name = SharedName::from(format!("gateway-{index:03}"));
    let centre = SharedName::from(CENTRES[index % CENTRES.len()]);
    let ip = [10, 0, (index / 250) as u8, (index % 250) as u8 + 1];
    VmEntry {
        vm: VmIdentity { name, incarnation, centre },
        exchange_address: SocketAddr::from((ip, 7400)),
        control_address: SocketAddr::from((ip, 7401)),
    }
}

/// Returns the VM that [`entry`] gave the address.
fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("{address} is not of the model") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

impl Model {
    /// Returns VMs that start within half a second.
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        println!("model: {count} VMs, {loss} lost, seed {seed}");
        let vms = (0..count).map(|index| ModelVm {
            entry: entry(index, 0),
            plan: MeshPlan::new(entry(index, 0), MeshTuning::default(), 0),
            alive: false,
            side: 0,
            store_reachable: true,
            reads: Vec::new(),
            sent: 0,
        });
        let mut model = Self {
            vms: vms.collect(),
            random: RandomSource::from_seed(seed),
            loss,
            now_ms: 100_000,
            events: BTreeMap::new(),
            rows: BTreeMap::new(),
        };
        for index in 0..count {
            model.start(index);
            model.run(500 / count as u64);
        }
        model
    }

    fn now(&self) -> ClockTime {
        ClockTime::from_millis(self.now_ms)
    }

    /// Starts a process, which writes its row and reads those of the others.
    fn start(&mut self, index: usize) {
        let now = self.now();
        let seed = self.random.next_u64();
        let vm = &mut self.vms[index];
        vm.entry.vm.incarnation += 1;
        vm.plan = MeshPlan::new(vm.entry.clone(), MeshTuning::default(), seed);
        vm.alive = true;
        self.rows.insert(vm.entry.vm.name.clone(), vm.entry.clone());
        for row in self.rows.values() {
            vm.plan.learn(row, now);
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now_ms += 1;
            for event in self.events.remove(&self.now_ms).unwrap_or_default() {
                self.handle(event);
            }
            for index in 0..self.vms.len() {
                self.wake(index);
            }
        }
    }

    fn wake(&mut self, index: usize) {
        let now = self.now();
        let vm = &mut self.vms[index];
        if !vm.alive {
            return;
        }
        if vm.plan.read_due(now) {
            vm.reads.push(now);
            let incarnation = vm.entry.vm.incarnation;
            let event = ModelEvent::ReadDone { vm: index, incarnation, begun: now };
            self.events.entry(self.now_ms + READ_MS).or_default().push(event);
        }
        let vm = &mut self.vms[index];
        if self.now_ms % TICK_MS == index as u64 % TICK_MS {
            for to in vm.plan.due_hellos(now) {
                self.send_hello(index, to, true);
            }
        }
    }

    fn send_hello(&mut self, from: usize, to: SocketAddr, answer_wanted: bool) {
        let entry = self.vms[from].entry.clone();
        self.send(from, to, ModelMessage::Hello { entry, answer_wanted });
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: ModelMessage) {
        self.vms[from].sent += 1;
        if self.random.chance(self.loss) {
            return;
        }
        let sender = self.vms[from].entry.clone();
        let arrival = self.now_ms + 1 + self.random.below(2) as u64;
        let event = ModelEvent::Datagram { sender, to, message: Box::new(message) };
        self.events.entry(arrival).or_default().push(event);
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::ReadDone { vm, incarnation, begun } => {
                self.finish_read(vm, incarnation, begun);
            }
            ModelEvent::Datagram { sender, to, message } => self.receive(&sender, to, *message),
        }
    }

    fn finish_read(&mut self, index: usize, incarnation: u64, begun: ClockTime) {
        let now = self.now();
        let position = self.now_ms;
        let vm = &mut self.vms[index];
        if !vm.alive || vm.entry.vm.incarnation != incarnation {
            return;
        }
        if !vm.store_reachable {
            vm.plan.read_failed(now);
            return;
        }
        vm.plan.note_read(position, begun, now);
        let age = now.since(begun);
        for to in vm.plan.audience(MeshScope::All, now) {
            self.send(index, to, ModelMessage::Directory { position, age });
        }
    }

    fn receive(&mut self, sender: &VmEntry, to: SocketAddr, message: ModelMessage) {
        let now = self.now();
        let (index, source) = (index_of(to), index_of(sender.exchange_address));
        if !self.vms[index].alive || self.vms[index].side != self.vms[source].side {
            return;
        }
        let plan = &mut self.vms[index].plan;
        if let ModelMessage::Hello { entry, .. } = &message {
            plan.learn(entry, now);
        }
        match (plan.hear(&sender.vm.name, sender.vm.incarnation, now), message) {
            (HeardFrom::Known, ModelMessage::Hello { answer_wanted: true, .. }) => {
                self.send_hello(index, sender.exchange_address, false);
            }
            (HeardFrom::Known, ModelMessage::Directory { position, age }) => {
                plan.note_read(position, now - age, now);
            }
            (HeardFrom::Unknown, _) => self.send_hello(index, sender.exchange_address, true),
            _ => {}
        }
    }

    /// Asserts that every live VM sends messages to every other in its present incarnation, and
    /// that those of which `parted` is true have heard one another since `since`.
    fn assert_connected(
        &self,
        since: ClockTime,
        parted: impl Fn(&ModelVm, &ModelVm) -> bool,
        name: &str,
    ) {
        let live: Vec<_> = self.vms.iter().filter(|vm| vm.alive).collect();
        let mut missing = Vec::new();
        for vm in &live {
            let audience = vm.plan.audience(MeshScope::All, self.now());
            for other in live.iter().filter(|other| other.entry != vm.entry) {
                let known = vm.plan.entry(&other.entry.vm.name) == Some(&other.entry);
                let heard_at = vm.plan.heard_at(&other.entry.vm.name);
                let heard = heard_at.is_some_and(|at| at >= since || !parted(vm, other));
                let told = audience.contains(&other.entry.exchange_address);
                if !(known && heard && told) {
                    missing.push((vm.entry.vm.name.clone(), other.entry.vm.name.clone()));
                }
            }
        }
        assert!(missing.is_empty(), "{name}: {} pairs, {:?}", missing.len(), missing.first());
    }

    fn reads_since(&self, since: ClockTime) -> usize {
        self.vms.iter().flat_map(|vm| &vm.reads).filter(|at| **at >= since).count()
    }

    /// Puts the VMs of one data centre on the other side.
    fn cut_centre(&mut self, side: usize) {
        self.vms.iter_mut().step_by(CENTRES.len()).for_each(|vm| vm.side = side);
    }
}

struct MeshCase {
    vms: usize,
    seed: u64,
}

const CASES: [MeshCase; 3] = [
    MeshCase { vms: 1, seed: 21 },
    MeshCase { vms: 15, seed: 22 },
    MeshCase { vms: 120, seed: 23 },
];
const LOSS: f64 = 0.1;

/// Guards against VMs that do not find one another after they start at the same time, after a
/// third of them failed, or after these were replaced; and against news for VMs that are gone.
#[test]
fn live_vms_know_one_another_after_starts_and_failures() {
    for MeshCase { vms, seed } in CASES {
        let mut model = Model::new(vms, LOSS, seed);
        let started = ClockTime::from_millis(model.now_ms - 500);
        model.run(STABLE_WINDOW.as_millis());
        model.assert_connected(started, |_, _| true, "start");
        let failed: Vec<_> = (0..vms).step_by(3).filter(|_| vms > 1).collect();
        failed.iter().for_each(|index| model.vms[*index].alive = false);
        model.run(12_000);
        model.assert_connected(model.now(), |_, _| false, "after failures");
        let live = vms - failed.len();
        for vm in model.vms.iter().filter(|vm| vm.alive) {
            assert_eq!(vm.plan.audience(MeshScope::All, model.now()).len(), live - 1);
            let counts = vm.plan.counts(model.now());
            assert_eq!((counts.listed, counts.heard), (vms as u32, live as u32));
        }
        let restarted = model.now();
        failed.iter().for_each(|index| model.start(*index));
        model.run(STABLE_WINDOW.as_millis());
        let is_new = |vm: &ModelVm| vm.entry.vm.incarnation > 1;
        let parted = |vm: &ModelVm, other: &ModelVm| is_new(vm) || is_new(other);
        model.assert_connected(restarted, parted, "after restarts");
    }
}

/// Guards against VMs that stay strangers after a partition, whether it was too short to be
/// noticed or so long that they gave each other up.
#[test]
fn live_vms_know_one_another_after_a_partition() {
    for MeshCase { vms, seed } in CASES {
        for seconds in [1, 3, 6, 9, 25, 70] {
            let mut model = Model::new(vms, LOSS, seed);
            model.run(5000);
            model.cut_centre(1);
            model.run(seconds * 1000);
            model.cut_centre(0);
            let healed = model.now();
            model.run(STABLE_WINDOW.as_millis());
            let is_cut = |vm: &ModelVm| vm.entry.vm.centre == CENTRES[0];
            let parted = |vm: &ModelVm, other: &ModelVm| is_cut(vm) != is_cut(other);
            model.assert_connected(healed, parted, &format!("{vms} VMs, {seconds} s"));
        }
    }
}

/// Guards against reads that are rarer or more frequent than agreed when no datagram is lost, and
/// against more than one read of each VM for a notice that it missed when one in ten is.
#[test]
fn reads_are_shared_between_vms() {
    const SPAN_MS: u64 = 60_000;
    let (shortest, longest) = READ_INTERVALS_MS;
    for MeshCase { vms, seed } in CASES {
        for loss in [0.0, LOSS] {
            let mut model = Model::new(vms, loss, seed);
            model.run(5000);
            let begun = model.now();
            let sent: u64 = model.vms.iter().map(|vm| vm.sent).sum();
            model.run(SPAN_MS);
            let interval = SPAN_MS as f64 / model.reads_since(begun) as f64;
            let sent = model.vms.iter().map(|vm| vm.sent).sum::<u64>() - sent;
            let rate = sent as f64 * 1000.0 / (vms as u64 * SPAN_MS) as f64;
            println!("a read in {interval:.0} ms, {rate:.1} datagrams a second sent by each VM");
            let missed = 1.0 + loss * vms as f64;
            assert!(interval >= shortest / missed && interval <= longest, "{interval}");
        }
    }
}

/// Guards against a VM that waits for peers that it no longer hears, and against VMs that go on
/// reading alone once they hear one another again.
#[test]
fn a_vm_without_peers_reads_for_itself() {
    for MeshCase { vms, seed } in CASES {
        for other in 0..20 {
            let mut model = Model::new(vms, LOSS, seed + other);
            model.run(5000 + 37 * other);
            model.vms[0].side = 1;
            let cut = model.now();
            model.run(20_000);
            let reads = model.vms[0].reads.iter().copied().filter(|at| *at >= cut);
            let mut last = cut;
            for at in reads.chain([model.now()]) {
                assert!(at.since(last) <= ALONE_LIMIT, "{vms} VMs: {}", at.since(last));
                last = at;
            }
            if vms > 15 {
                // One run is enough for the slow model.
                break;
            }
        }
    }
}

/// Guards against an outage of the store in which VMs try again too often, and against VMs that
/// are refused by the store and do not rely on their peers.
#[test]
fn failed_reads_are_spaced() {
    for MeshCase { vms, seed } in CASES {
        let mut model = Model::new(vms, LOSS, seed);
        model.vms.iter_mut().for_each(|vm| vm.store_reachable = false);
        model.run(10_000);
        let begun = model.now();
        model.run(20_000);
        // Every 2 s, 20% less with jitter.
        let tries = model.reads_since(begun) as f64 / vms as f64;
        assert!((20.0 / 2.4 - 1.0..=20.0 / 1.6 + 1.0).contains(&tries), "{vms} VMs: {tries}");
        model.vms.iter_mut().skip(1).for_each(|vm| vm.store_reachable = true);
        model.run(5000);
        let begun = model.now();
        model.run(20_000);
        let refused = model.vms[0].reads.iter().filter(|at| **at >= begun).count();
        println!("{vms} VMs: {tries:.1} tries in 20 s without the store, {refused} if refused");
        // A VM alone makes 40. Peers' reads have to save at least half of them.
        assert!(vms == 1 || refused <= 20, "{refused}");
    }
}

/// Guards against a draw whose minimum depends on the number of VMs, or lies so close to the next
/// draws that several VMs read before they hear of each other.
#[test]
fn the_first_of_any_number_of_vms_reads_in_time() {
    const ROUNDS: usize = 300;
    /// All rounds are over before the peers count as silent.
    const ROUND: ClockSpan = ClockSpan::from_millis(20);
    for vms in [1_usize, 2, 5, 15, 60, 120, 300] {
        let mut plans: Vec<_> = (0..vms)
            .map(|index| MeshPlan::new(entry(index, 1), MeshTuning::default(), 400 + index as u64))
            .collect();
        // All peers are heard, so that the draw accounts for all of them.
        let entries: Vec<_> = (0..vms).map(|index| entry(index, 1)).collect();
        let begun = ClockTime::from_millis(10_000);
        for plan in &mut plans {
            for entry in &entries {
                plan.learn(entry, begun);
                plan.hear(&entry.vm.name, 1, begun);
            }
        }
        let (mut sum, mut also) = (0.0, 0);
        for round in 1..=ROUNDS {
            let now = begun + ROUND.scaled(round as f64);
            for plan in &mut plans {
                plan.note_read(round as u64, now, now);
            }
            let mut next: Vec<_> = plans.iter().map(|plan| plan.next_read().since(now)).collect();
            next.sort_unstable();
            sum += next[0].as_millis_f64();
            let known = next[0] + ClockSpan::from_millis(READ_MS + 2);
            also += next[1..].iter().filter(|at| **at < known).count();
        }
        let (mean, also) = (sum / ROUNDS as f64, also as f64 / ROUNDS as f64);
        println!("{vms} VMs: first read after {mean:.0} ms, {also:.2} others before they know");
        assert!((450.0..=550.0).contains(&mean), "{vms} VMs: {mean}");
        assert!(also <= 1.0, "{vms} VMs: {also}");
    }
}

struct HearCase {
    name: &'static str,
    incarnation: u64,
    expected: HeardFrom,
}

/// Guards against an old process that displaces its successor, a new one that is taken for its
/// predecessor, and a VM that left and is sent hellos or counted for ever.
#[test]
fn incarnations_and_leaving_are_told_apart() {
    let tuning = MeshTuning::default();
    let now = ClockTime::from_millis(50_000);
    let mut plan = MeshPlan::new(entry(0, 7), tuning.clone(), 3);
    assert!(!plan.learn(&entry(0, 9), now), "own name");
    assert!(plan.learn(&entry(1, 5), now));
    assert!(!plan.learn(&entry(1, 4), now));
    let cases = [
        HearCase { name: "same", incarnation: 5, expected: HeardFrom::Known },
        HearCase { name: "newer", incarnation: 6, expected: HeardFrom::Unknown },
        HearCase { name: "older", incarnation: 4, expected: HeardFrom::Outdated },
    ];
    let name = entry(1, 5).vm.name;
    for HearCase { name: case, incarnation, expected } in cases {
        assert_eq!(plan.hear(&name, incarnation, now), expected, "{case}");
    }
    assert_eq!(plan.hear(&entry(2, 1).vm.name, 1, now), HeardFrom::Unknown);
    assert_eq!(plan.hear(&entry(0, 7).vm.name, 7, now), HeardFrom::Outdated);
    plan.leave(&name, 4);
    assert_eq!(plan.due_hellos(now + tuning.hello_period.scaled(1.3)).len(), 1);
    plan.leave(&name, 5);
    assert!(!plan.learn(&entry(1, 5), now));
    assert_eq!(plan.audience(MeshScope::All, now).len(), 1);
    let later = now + tuning.give_up;
    assert!(plan.due_hellos(later).is_empty());
    assert!(plan.audience(MeshScope::All, later).is_empty());
    assert_eq!(plan.counts(later), MeshCounts { listed: 1, heard: 1 });
    assert!(plan.learn(&entry(1, 6), later));
    assert_eq!(plan.due_hellos(later), [entry(1, 6).exchange_address]);
    plan.learn(&entry(3, 1), later);
    assert_eq!(plan.audience(MeshScope::Centre, later), [entry(3, 1).exchange_address]);
}
