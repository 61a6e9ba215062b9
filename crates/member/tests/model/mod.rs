//! A seeded model of many VMs that exchange datagrams over a lossy network and read a store. Time
//! advances in steps of 1 ms. The VMs do what the gateway's I/O layer does.
#![allow(dead_code, reason = "each test file uses a part of the model")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use directory::entry::VmEntry;
use directory::prelude::*;
use member::prelude::*;
use peer::prelude::*;
use store::prelude::*;
use world::prelude::*;

pub const CENTRES: [&str; 3] = ["medeu", "bostandyk", "auezov"];
/// Time between two calls of `due_hellos` by a VM.
const TICK_MS: u64 = 20;
/// Duration of a read of the store.
pub const READ_MS: u64 = 5;
/// Shortest time between two reads of the designated reader, as in the gateway.
const READ_PAUSE_MS: u64 = 100;
/// Time for a request to a peer over TCP, and again for its answer.
const QUERY_MS: u64 = 5;
/// Bytes of one VM in such an answer, which is compressed.
const MEMBER_BYTES: usize = 40;
/// Bytes of the IPv4 and UDP headers of a packet.
const PACKET_HEADER_BYTES: usize = 28;
/// Time over which bytes are summed.
const SAMPLE_MS: u64 = 1000;

/// Decodes the rows of the model, which are as long as those of the users' platform.
#[derive(Clone, Copy, Debug)]
pub struct ModelCodec;

impl EntryCodec for ModelCodec {
    const UPSTREAM_TABLE: &'static str = "upstreams";
    const CONFIG_TABLE: &'static str = "configuration";
    const CONFIG_KEY: &'static str = "newest";

    fn decode_upstream(key: &str, value: &[u8]) -> Result<UpstreamEntry, EntryError> {
        let text = std::str::from_utf8(value).map_err(EntryError::new)?;
        let server = UpstreamServer {
            name: key.into(),
            service: "phase-desk".into(),
            centre: CENTRES[0].into(),
            address: SocketAddr::from(([10, 0, 1, 1], 8000)),
            slots: 6,
            connections: 0,
            incarnation: 1,
            warm_up: ClockSpan::ZERO,
        };
        Ok(UpstreamEntry { server, draining: text.contains("draining") })
    }

    fn decode_config(_value: &[u8]) -> Result<ConfigEntry, EntryError> {
        Err(EntryError::new("the model has no configuration"))
    }
}

/// Returns the name of an upstream.
pub fn upstream(index: usize) -> SharedName {
    SharedName::from(format!("phase-desk-{index}"))
}

fn row(index: usize, version: u64, state: &str) -> TableRow {
    let value = format!(
        r#"{{"service":"phase-desk","address":"10.0.1.{index}:8000","zone":"bostandyk","version":"3","slots":6,"state":"{state}","cold_until":0,"seq":{version},"born":1790000000000}}"#
    );
    TableRow { key: upstream(index), version, value: Some(Bytes::from(value)) }
}

enum ModelEvent {
    Datagram {
        to: SocketAddr,
        message: Arc<PeerEnvelope>,
        entry: VmEntry,
        bytes: usize,
    },
    ReadDone {
        vm: usize,
        process: u64,
        read: ModelRead,
    },
    PauseOver {
        vm: usize,
        process: u64,
    },
    /// A request of a VM to another one for the VMs that it knows.
    MemberQuery {
        vm: usize,
        process: u64,
        to: SocketAddr,
    },
    MemberAnswer {
        vm: usize,
        process: u64,
        members: Vec<MemberNotice>,
    },
}

/// A read of the table of upstreams in progress.
#[derive(Clone, Copy)]
struct ModelRead {
    begun: ClockTime,
    known: Option<u64>,
    /// When a long poll ends in any case, in milliseconds. `None` if the store answers at once.
    poll_until: Option<u64>,
    /// Whether the VM reads as the designated reader.
    as_designated: bool,
}

pub struct ModelVm {
    pub entry: VmEntry,
    pub membership: MembershipTable,
    pub alive: bool,
    /// Number of the current process of this VM.
    process: u64,
    /// VMs exchange datagrams only with VMs of the same partition.
    pub partition: usize,
    pub store_reachable: bool,
    pub reads: Vec<ClockTime>,
    pub sent: u64,
    pub directory: UpstreamDirectory,
    /// Bytes of datagrams sent and received, by second.
    pub bytes: Vec<u64>,
    /// Whether a read or the pause after it is in progress.
    busy: bool,
    long_poll: Option<ModelRead>,
    /// Whether a read is wanted because changes are missing.
    read_wanted: bool,
    /// The encoded hellos that do not and that do ask for an answer. Without this cache, encoding
    /// would take most of the time of a test.
    hellos: [Option<(Arc<PeerEnvelope>, usize)>; 2],
}

pub struct Model {
    pub vms: Vec<ModelVm>,
    pub random: RandomSource,
    pub now_ms: u64,
    tuning: MembershipTuning,
    codec: DatagramCodec,
    loss: f64,
    events: BTreeMap<u64, Vec<ModelEvent>>,
    /// The rows that VMs write about themselves; those of VMs that have failed stay.
    rows: BTreeMap<SharedName, VmEntry>,
    /// The rows of the upstreams.
    table: BTreeMap<SharedName, TableRow>,
    version: u64,
}

pub fn entry(index: usize, incarnation: u64) -> VmEntry {
    let name = SharedName::from(format!("gateway-{index:03}"));
    let centre = SharedName::from(CENTRES[index % CENTRES.len()]);
    let ip = [10, 0, (index / 250) as u8, (index % 250) as u8 + 1];
    VmEntry {
        vm: VmIdentity { name, incarnation, centre },
        exchange_address: SocketAddr::from((ip, 7400)),
        control_address: SocketAddr::from((ip, 7401)),
    }
}

/// Returns the index of the VM to which [`entry`] assigned the address.
fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("{address} is not of the model") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

impl Model {
    /// Creates a model of VMs that start within half a second. `loss` is the share of datagrams
    /// that are lost.
    pub fn new(count: usize, loss: f64, seed: u64) -> Self {
        Self::with(count, loss, seed, MembershipTuning::default())
    }

    /// Creates a model of VMs with long polls of up to `long_poll`, as in the gateway.
    pub fn with_long_poll(count: usize, loss: f64, seed: u64, long_poll: ClockSpan) -> Self {
        let tuning = MembershipTuning {
            read: ReadTuning::for_long_poll(long_poll),
            ..MembershipTuning::default()
        };
        Self::with(count, loss, seed, tuning)
    }

    fn with(count: usize, loss: f64, seed: u64, tuning: MembershipTuning) -> Self {
        println!("model: {count} VMs, {loss} lost, seed {seed}");
        let vms = (0..count).map(|index| ModelVm {
            entry: entry(index, 0),
            membership: MembershipTable::new(entry(index, 0), tuning.clone(), 0),
            alive: false,
            process: 0,
            partition: 0,
            store_reachable: true,
            reads: Vec::new(),
            sent: 0,
            directory: UpstreamDirectory::new(DirectoryTuning::default()),
            bytes: Vec::new(),
            busy: false,
            long_poll: None,
            read_wanted: false,
            hellos: [None, None],
        });
        let mut model = Self {
            vms: vms.collect(),
            random: RandomSource::from_seed(seed),
            now_ms: 100_000,
            tuning,
            codec: DatagramCodec::new(["secret of the model"]),
            loss,
            events: BTreeMap::new(),
            rows: BTreeMap::new(),
            table: BTreeMap::new(),
            version: 0,
        };
        for index in 0..count {
            model.start(index);
            model.run(500 / count as u64);
        }
        model
    }

    pub fn now(&self) -> ClockTime {
        ClockTime::from_millis(self.now_ms)
    }

    /// Starts a process on a VM, which writes its row and reads those of the others.
    pub fn start(&mut self, index: usize) {
        let now = self.now();
        let seed = self.random.next_u64();
        let vm = &mut self.vms[index];
        vm.entry.vm.incarnation += 1;
        vm.membership = MembershipTable::new(vm.entry.clone(), self.tuning.clone(), seed);
        vm.directory = UpstreamDirectory::new(DirectoryTuning::default());
        vm.alive = true;
        vm.process += 1;
        (vm.busy, vm.long_poll, vm.read_wanted) = (false, None, false);
        vm.hellos = [None, None];
        self.rows.insert(vm.entry.vm.name.clone(), vm.entry.clone());
        vm.membership.add_rows(self.rows.values().cloned().collect(), now);
        self.announce_presence(index);
    }

    fn announce_presence(&mut self, index: usize) {
        let hello = self.hello(index, false);
        self.publish(index, hello);
    }

    fn hello(&self, index: usize, answer_wanted: bool) -> PeerMessage {
        let entry = self.vms[index].entry.clone();
        PeerMessage::Hello(HelloMessage {
            entry,
            leaving: false,
            answer_wanted,
            config_version: 530,
        })
    }

    /// Writes the row of an upstream.
    pub fn put_upstream(&mut self, index: usize, draining: bool) {
        self.version += 1;
        let state = if draining { "draining" } else { "ready" };
        let row = row(index, self.version, state);
        self.table.insert(row.key.clone(), row);
    }

    pub fn run(&mut self, millis: u64) {
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
        if !self.vms[index].alive {
            return;
        }
        self.answer_long_poll(index);
        let vm = &mut self.vms[index];
        if !vm.busy && std::mem::take(&mut vm.read_wanted) {
            self.read(index, false, None);
        }
        let vm = &mut self.vms[index];
        if !vm.busy && vm.membership.start_due_read(now) {
            self.read(index, true, None);
        }
        let vm = &mut self.vms[index];
        if self.now_ms % TICK_MS == index as u64 % TICK_MS {
            for to in vm.membership.due_hellos(now) {
                self.send_hello(index, to, true);
            }
            if self.vms[index].membership.take_presence(now) {
                self.announce_presence(index);
            }
            if let Some(to) = self.vms[index].membership.due_query(now) {
                let process = self.vms[index].process;
                let event = ModelEvent::MemberQuery { vm: index, process, to };
                self.events.entry(self.now_ms + QUERY_MS).or_default().push(event);
            }
            let vms = self.vms[index].membership.take_losses(now);
            if !vms.is_empty() {
                self.publish(index, PeerMessage::Losses(LossMessage { vms }));
            }
        }
    }

    fn read(&mut self, index: usize, as_designated: bool, long_poll_ms: Option<u64>) {
        let now = self.now();
        let vm = &mut self.vms[index];
        vm.busy = true;
        vm.reads.push(now);
        let poll_until = long_poll_ms.map(|millis| self.now_ms + millis);
        let read =
            ModelRead { begun: now, known: vm.directory.position(), poll_until, as_designated };
        if poll_until.is_some() {
            vm.long_poll = Some(read);
        } else {
            self.answer(index, read);
        }
    }

    fn answer_long_poll(&mut self, index: usize) {
        let Some(read) = self.vms[index].long_poll else { return };
        let is_over = read.poll_until.is_some_and(|until| until <= self.now_ms);
        if is_over || read.known < Some(self.version) {
            self.vms[index].long_poll = None;
            self.answer(index, read);
        }
    }

    fn answer(&mut self, vm: usize, read: ModelRead) {
        let process = self.vms[vm].process;
        let event = ModelEvent::ReadDone { vm, process, read };
        self.events.entry(self.now_ms + READ_MS).or_default().push(event);
    }

    fn send_hello(&mut self, from: usize, to: SocketAddr, answer_wanted: bool) {
        let cached = self.vms[from].hellos[usize::from(answer_wanted)].clone();
        let (hello, bytes) = cached.unwrap_or_else(|| {
            let hello = self.hello(from, answer_wanted);
            let envelope = PeerEnvelope::direct(&self.vms[from].entry.vm, hello);
            self.encode(&envelope).pop().expect("a hello fits")
        });
        self.vms[from].hellos[usize::from(answer_wanted)] = Some((Arc::clone(&hello), bytes));
        self.send(from, to, &hello, bytes);
    }

    /// Sends a broadcast of a VM, as the gateway does.
    fn publish(&mut self, index: usize, message: PeerMessage) {
        let now = self.now();
        let envelope = PeerEnvelope::broadcast(&self.vms[index].entry.vm, message);
        for part in self.codec.parts(&envelope).into_owned() {
            let (origin, addresses) = self.vms[index].membership.publish(now);
            self.send_all(index, &PeerEnvelope { origin: Some(origin), ..part }, &addresses);
        }
    }

    fn send_all(&mut self, from: usize, envelope: &PeerEnvelope, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        for (message, bytes) in self.encode(envelope) {
            addresses.iter().for_each(|to| self.send(from, *to, &message, bytes));
        }
    }

    /// Returns the decoded datagrams of a message, each with its size in bytes.
    fn encode(&self, envelope: &PeerEnvelope) -> Vec<(Arc<PeerEnvelope>, usize)> {
        let datagrams = self.codec.encode(envelope);
        let decoded = datagrams.iter().map(|datagram| {
            let message = self.codec.decode(datagram).expect("a datagram of the model");
            (Arc::new(message), datagram.len() + PACKET_HEADER_BYTES)
        });
        decoded.collect()
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Arc<PeerEnvelope>, bytes: usize) {
        self.count(from, bytes);
        self.vms[from].sent += 1;
        if self.random.chance(self.loss) {
            return;
        }
        let (message, entry) = (Arc::clone(message), self.vms[from].entry.clone());
        let arrival = self.now_ms + 1 + self.random.below(2) as u64;
        let event = ModelEvent::Datagram { to, message, entry, bytes };
        self.events.entry(arrival).or_default().push(event);
    }

    fn count(&mut self, index: usize, bytes: usize) {
        let second = (self.now_ms / SAMPLE_MS) as usize;
        let samples = &mut self.vms[index].bytes;
        samples.resize(samples.len().max(second + 1), 0);
        samples[second] += bytes as u64;
    }

    /// Returns the bytes per second of the busiest VM in the busiest window since `since`. `window`
    /// is in seconds.
    pub fn peak_bytes(&self, since: ClockTime, window: usize) -> f64 {
        let first = (since.as_millis() / SAMPLE_MS) as usize;
        let last = (self.now_ms / SAMPLE_MS) as usize;
        let peak = |vm: &ModelVm| {
            let mut samples = vm.bytes.clone();
            samples.resize(last, 0);
            samples[first..].windows(window).map(|own| own.iter().sum::<u64>()).max()
        };
        let most = self.vms.iter().filter_map(peak).max().unwrap_or(0);
        most as f64 / window as f64
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::ReadDone { vm, process, read } if self.runs(vm, process) => {
                self.finish_read(vm, read);
            }
            ModelEvent::MemberQuery { vm, process, to } => self.answer_query(vm, process, to),
            ModelEvent::MemberAnswer { vm, process, members } if self.runs(vm, process) => {
                let now = self.now();
                self.vms[vm].membership.merge_members(&members, now);
            }
            ModelEvent::PauseOver { vm, process } if self.runs(vm, process) => {
                self.read(vm, true, Some(self.tuning.read.long_poll.as_millis()));
            }
            ModelEvent::Datagram { to, message, entry, bytes } => {
                self.receive(&message, &entry, to, bytes);
            }
            _ => {}
        }
    }

    /// Answers a request over TCP, in which nothing is lost.
    fn answer_query(&mut self, asker: usize, process: u64, to: SocketAddr) {
        let index = index_of(to);
        let now = self.now();
        if !self.vms[index].alive || self.vms[index].partition != self.vms[asker].partition {
            return;
        }
        let members = self.vms[index].membership.members(now);
        let bytes = members.len() * MEMBER_BYTES;
        [index, asker].into_iter().for_each(|vm| self.count(vm, bytes));
        let event = ModelEvent::MemberAnswer { vm: asker, process, members };
        self.events.entry(self.now_ms + QUERY_MS).or_default().push(event);
    }

    fn runs(&self, index: usize, process: u64) -> bool {
        let vm = &self.vms[index];
        vm.alive && vm.process == process
    }

    /// Applies a read and broadcasts its changes, as the gateway does.
    fn finish_read(&mut self, index: usize, read: ModelRead) {
        let now = self.now();
        let vm = &mut self.vms[index];
        vm.busy = false;
        if !vm.store_reachable {
            vm.membership.record_read_failure(now);
            return;
        }
        let rows = self.table.values().filter(|row| Some(row.version) > read.known).cloned();
        let page = RowPage { rows: rows.collect(), position: self.version, ..RowPage::default() };
        vm.directory.record_success(now);
        let change = match read.known {
            Some(from) => {
                vm.directory.apply_changes::<ModelCodec>(from, &page, now).unwrap_or_default()
            }
            None => vm.directory.replace::<ModelCodec>(&page, now),
        };
        let made_at = if read.poll_until.is_some() { now } else { read.begun };
        vm.membership.record_read(page.position, made_at);
        if !read.as_designated && !vm.membership.is_unreported(page.position) {
            return;
        }
        let message = DirectoryMessage {
            from: change.since.unwrap_or(page.position),
            position: page.position,
            age_ms: now.since(made_at).as_millis() as u32,
            rows: change.changed_rows,
            rows_omitted: false,
            config_version: 530,
        };
        self.publish(index, PeerMessage::Directory(message));
        let vm = &mut self.vms[index];
        let continues = read.as_designated && self.tuning.read.long_poll > ClockSpan::ZERO;
        if continues && !vm.membership.has_preferred_reader(now) {
            vm.busy = true;
            let event = ModelEvent::PauseOver { vm: index, process: vm.process };
            self.events.entry(self.now_ms + READ_PAUSE_MS).or_default().push(event);
        }
    }

    /// Handles a datagram as the gateway does.
    fn receive(&mut self, envelope: &PeerEnvelope, sender: &VmEntry, to: SocketAddr, bytes: usize) {
        let now = self.now();
        let (index, source) = (index_of(to), index_of(sender.exchange_address));
        if !self.vms[index].alive || self.vms[index].partition != self.vms[source].partition {
            return;
        }
        self.count(index, bytes);
        let vm = &mut self.vms[index];
        if let PeerMessage::Hello(hello) = &envelope.message {
            vm.membership.add_entry(&hello.entry, now);
        }
        let status = vm.membership.observe_sender(&envelope.sender, envelope.incarnation, now);
        if status == SenderStatus::Outdated {
            if let PeerMessage::Hello(hello) = &envelope.message
                && hello.answer_wanted
                && let Some(known) = vm.membership.newer_incarnation(&hello.entry.vm)
            {
                let answer = PeerEnvelope::direct(&vm.entry.vm, PeerMessage::Outdated(known));
                self.send_all(index, &answer, &[sender.exchange_address]);
            }
            return;
        }
        let next = match &envelope.origin {
            Some(origin) => vm.membership.receive_broadcast(origin, &envelope.sender, now),
            None => Some(Vec::new()),
        };
        if status == SenderStatus::Unknown {
            self.send_hello(index, sender.exchange_address, true);
        }
        let Some(next) = next else { return };
        match &envelope.message {
            PeerMessage::Hello(hello) if hello.answer_wanted => {
                self.send_hello(index, sender.exchange_address, false);
            }
            PeerMessage::Directory(message) => {
                let reader = envelope.origin.as_ref().map_or(&envelope.sender, |origin| &origin.vm);
                self.apply_peer_rows(index, reader, message);
            }
            PeerMessage::Outdated(known) => {
                let vm = &mut self.vms[index];
                if vm.membership.raise_incarnation(*known, now) {
                    vm.entry = vm.membership.own().clone();
                    vm.hellos = [None, None];
                    self.rows.insert(vm.entry.vm.name.clone(), vm.entry.clone());
                    self.announce_presence(index);
                }
            }
            PeerMessage::Losses(message) => {
                for loss in &message.vms {
                    if self.vms[index].membership.record_loss_report(loss, now) {
                        self.announce_presence(index);
                    }
                }
            }
            _ => {}
        }
        if !next.is_empty() {
            let own = &self.vms[index].entry.vm;
            let envelope = envelope.clone().forwarded(own, ClockSpan::ZERO);
            self.send_all(index, &envelope, &next);
        }
    }

    fn apply_peer_rows(&mut self, index: usize, reader: &SharedName, message: &DirectoryMessage) {
        let now = self.now();
        let vm = &mut self.vms[index];
        let DirectoryMessage { from, position, age_ms, rows, rows_omitted, .. } = message;
        let made_at = now - ClockSpan::from_millis(u64::from(*age_ms));
        vm.membership.record_peer_read(reader, *position, now);
        let page = RowPage { rows: rows.clone(), position: *position, ..RowPage::default() };
        let followed =
            vm.directory.apply_peer_changes::<ModelCodec>(*from, &page, !rows_omitted, now);
        match followed {
            Ok(_) => vm.membership.record_read(*position, made_at),
            Err(_) => vm.read_wanted = true,
        }
    }

    /// Asserts that every running VM knows every other in its present incarnation and does not
    /// count it as lost, that a broadcast of each reaches all of them through the neighbours, and
    /// that each pair for which `separated` is true has had contact since `since`.
    pub fn assert_connected(
        &mut self,
        since: ClockTime,
        separated: impl Fn(&ModelVm, &ModelVm) -> bool,
        name: &str,
    ) {
        self.assert_broadcasts_reach_all(name);
        let live: Vec<_> = self.vms.iter().filter(|vm| vm.alive).collect();
        let mut missing = Vec::new();
        for vm in &live {
            let present: Vec<_> =
                vm.membership.live_entries().map(|entry| entry.exchange_address).collect();
            for other in live.iter().filter(|other| other.entry != vm.entry) {
                let known = vm.membership.entry(&other.entry.vm.name) == Some(&other.entry);
                let last_contact = vm.membership.last_contact(&other.entry.vm.name);
                let contacted = last_contact.is_some_and(|at| at >= since || !separated(vm, other));
                let is_live = present.contains(&other.entry.exchange_address);
                if !(known && contacted && is_live) {
                    missing.push((vm.entry.vm.name.clone(), other.entry.vm.name.clone()));
                }
            }
        }
        assert!(missing.is_empty(), "{name}: {} pairs, {:?}", missing.len(), missing.first());
    }

    fn assert_broadcasts_reach_all(&mut self, name: &str) {
        let now = self.now();
        let live = self.vms.iter_mut().filter(|vm| vm.alive);
        let next: BTreeMap<_, _> =
            live.map(|vm| (vm.entry.exchange_address, vm.membership.neighbours(now))).collect();
        for source in next.keys() {
            let (mut reached, mut open) = (BTreeSet::from([*source]), vec![*source]);
            while let Some(vm) = open.pop() {
                let live = next[&vm].iter().filter(|to| next.contains_key(to));
                open.extend(live.filter(|to| reached.insert(**to)));
            }
            assert_eq!(reached.len(), next.len(), "{name}: VMs that broadcasts of {source} reach");
        }
    }

    pub fn reads_since(&self, since: ClockTime) -> usize {
        self.vms.iter().flat_map(|vm| &vm.reads).filter(|at| **at >= since).count()
    }

    /// Returns the pairs of a running VM and a VM that it counts as lost.
    pub fn lost_pairs(&self) -> BTreeSet<(SharedName, SharedName)> {
        let mut pairs = BTreeSet::new();
        for vm in self.vms.iter().filter(|vm| vm.alive) {
            let present: BTreeSet<_> =
                vm.membership.live_entries().map(|entry| &entry.vm.name).collect();
            let others = self.vms.iter().map(|other| &other.entry.vm.name);
            let lost = others.filter(|other| !present.contains(other));
            pairs.extend(lost.map(|other| (vm.entry.vm.name.clone(), other.clone())));
        }
        pairs
    }

    /// Returns the bytes per second of the average VM and of the busiest VM since `since`.
    pub fn mean_and_peak_bytes(&self, since: ClockTime) -> (f64, f64) {
        let first = (since.as_millis() / SAMPLE_MS) as usize;
        let seconds = (self.now_ms / SAMPLE_MS) as usize - first;
        let sum = |vm: &ModelVm| vm.bytes.iter().skip(first).take(seconds).sum::<u64>();
        let sums: Vec<_> = self.vms.iter().map(sum).collect();
        let (total, most) = (sums.iter().sum::<u64>(), sums.iter().max().copied().unwrap_or(0));
        let rate = |bytes: u64| bytes as f64 / seconds as f64;
        (rate(total) / sums.len() as f64, rate(most))
    }

    /// Moves the VMs of one data centre to the given partition.
    pub fn cut_centre(&mut self, partition: usize) {
        self.vms.iter_mut().step_by(CENTRES.len()).for_each(|vm| vm.partition = partition);
    }

    /// Returns whether every running VM knows that an upstream is draining.
    pub fn all_know_draining(&self, name: &SharedName) -> bool {
        let knows = |vm: &ModelVm| {
            vm.directory.position().is_some()
                && !vm.directory.servers().any(|server| server.name == *name)
        };
        self.vms.iter().filter(|vm| vm.alive).all(knows)
    }
}
