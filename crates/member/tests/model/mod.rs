//! A seeded model of many VMs that exchange messages over a lossy, delayed network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

use base::prelude::*;
use member::prelude::*;
use world::prelude::*;

/// Bytes of a drain mark: upstream, age and punctuation.
pub const NEWS_BYTES: usize = 64;
const CENTRES: [&str; 4] = ["north-a", "north-b", "south-a", "south-b"];
/// Latency in one direction within a data centre, a region, and between regions.
const DELAYS_MS: [f64; 3] = [0.2, 1.0, 40.0];
const SAMPLE_PERIOD: ClockSpan = ClockSpan::from_millis(1000);
const LIST_PERIOD: ClockSpan = ClockSpan::from_secs(10);

#[derive(Clone, Debug)]
pub struct ModelNews {
    pub id: u64,
    pub revision: u64,
    pub priority: NewsPriority,
    pub lifetime: Option<ClockSpan>,
    pub size: usize,
}

impl ModelNews {
    pub fn drain_mark(id: u64) -> Self {
        Self {
            id,
            revision: 1,
            priority: NewsPriority::DrainMark,
            lifetime: Some(ClockSpan::from_secs(2 * 3600)),
            size: NEWS_BYTES,
        }
    }
}

impl NewsItem for ModelNews {
    type Key = u64;

    fn key(&self) -> u64 {
        self.id
    }

    fn revision(&self) -> u64 {
        self.revision
    }

    fn priority(&self) -> NewsPriority {
        self.priority
    }

    fn encoded_size(&self) -> usize {
        self.size
    }

    fn lifetime(&self) -> Option<ClockSpan> {
        self.lifetime
    }
}

type Message = ExchangeMessage<ModelNews>;

#[derive(Debug)]
enum ModelEvent {
    Wake(usize),
    Request(u64, Box<Message>),
    Response(u64, Box<Message>),
    Timeout(u64),
    List(usize),
    Sample,
}

struct Outstanding {
    from: usize,
    to: usize,
    starts: u32,
}

pub struct ModelVm {
    pub table: PeerTable,
    pub plan: GossipPlan<ModelNews>,
    pub start: StartPlan,
    pub alive: bool,
    /// Counts the process starts, so that messages to a predecessor are dropped.
    pub starts: u32,
    pub events: Vec<PeerEvent>,
    address: SocketAddr,
    offset: ClockSpan,
    wake_at: ClockTime,
    /// Traffic of processes before the last start.
    earlier: ByteUsage,
    samples: Vec<(u64, u64)>,
}

#[derive(Clone)]
pub struct ModelSetup {
    pub vms: usize,
    pub seed: u64,
    pub loss: f64,
    pub tuning: MemberTuning,
    pub start: StartTuning,
    pub list_age: ClockSpan,
}

impl ModelSetup {
    pub fn new(vms: usize, seed: u64) -> Self {
        Self {
            vms,
            seed,
            loss: 0.1,
            tuning: MemberTuning::default(),
            start: StartTuning::default(),
            list_age: ClockSpan::from_secs(30),
        }
    }
}

pub struct Model {
    pub setup: ModelSetup,
    pub vms: Vec<ModelVm>,
    pub now: ClockTime,
    pub partitioned: bool,
    pub random: RandomSource,
    /// Entries that the platform lists in addition to, or instead of, the true ones.
    pub wrong_list: Option<Vec<ListedVm>>,
    queue: BinaryHeap<Reverse<(ClockTime, u64)>>,
    events: HashMap<u64, ModelEvent>,
    outstanding: HashMap<u64, Outstanding>,
    pub arrivals: HashMap<(u64, usize), ClockTime>,
    history: Vec<(ClockTime, Vec<ListedVm>)>,
    next: u64,
}

pub fn vm_name(index: usize) -> SharedName {
    SharedName::from(format!("gateway-{index:03}"))
}

pub fn centre_of(index: usize) -> SharedName {
    SharedName::from(CENTRES[index % CENTRES.len()])
}

fn region_of(index: usize) -> usize {
    index % CENTRES.len() / 2
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7400))
}

impl Model {
    /// Returns VMs that all start at the same time and know each other only from the list.
    pub fn new(setup: ModelSetup) -> Self {
        println!("model: {} VMs, seed {}, loss {}", setup.vms, setup.seed, setup.loss);
        let mut model = Self {
            random: RandomSource::from_seed(setup.seed),
            vms: Vec::new(),
            now: ClockTime::from_millis(1_000_000),
            partitioned: false,
            wrong_list: None,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            outstanding: HashMap::new(),
            arrivals: HashMap::new(),
            history: Vec::new(),
            next: 0,
            setup,
        };
        for index in 0..model.setup.vms {
            model.vms.push(model_vm(&model.setup, index, 1, model.now, &mut model.random));
        }
        let all = model.vms.iter().map(listed).collect();
        model.history.push((ClockTime::ZERO, all));
        for index in 0..model.setup.vms {
            model.begin(index);
        }
        model.schedule(model.now + SAMPLE_PERIOD, ModelEvent::Sample);
        model
    }

    fn begin(&mut self, index: usize) {
        let first = self.vms[index].start.first_at();
        let global = self.to_global(index, first);
        self.vms[index].wake_at = global;
        self.schedule(global, ModelEvent::Wake(index));
        self.schedule(self.now, ModelEvent::List(index));
    }

    pub fn local(&self, index: usize) -> ClockTime {
        self.now + self.vms[index].offset
    }

    fn to_global(&self, index: usize, local: ClockTime) -> ClockTime {
        (local - self.vms[index].offset).max(self.now)
    }

    fn schedule(&mut self, time: ClockTime, event: ModelEvent) {
        self.next += 1;
        self.queue.push(Reverse((time, self.next)));
        self.events.insert(self.next, event);
    }

    pub fn run(&mut self, span: ClockSpan) {
        let end = self.now + span;
        while let Some(Reverse((time, id))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(time);
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Wake(index) => self.wake(index),
            ModelEvent::Request(id, message) => self.request(id, &message),
            ModelEvent::Response(id, message) => self.response(id, &message),
            ModelEvent::Timeout(id) => self.timeout(id),
            ModelEvent::List(index) => self.list(index),
            ModelEvent::Sample => self.sample(),
        }
    }

    fn wake(&mut self, index: usize) {
        if !self.vms[index].alive || self.vms[index].wake_at != self.now {
            return;
        }
        let local = self.local(index);
        let vm = &mut self.vms[index];
        vm.start.advance(&vm.table, true, local);
        let targets = vm.plan.due(&vm.table, local, &mut self.random);
        for target in targets {
            let message = self.vms[index].plan.request(&self.vms[index].table, &target, local);
            self.send(index, &target, message);
        }
        self.rearm(index);
    }

    fn rearm(&mut self, index: usize) {
        let vm = &self.vms[index];
        let due = self.to_global(index, vm.plan.next_due(&vm.table));
        let time = due.max(self.now + ClockSpan::from_millis(1));
        self.vms[index].wake_at = time;
        self.schedule(time, ModelEvent::Wake(index));
    }

    fn send(&mut self, from: usize, target: &ExchangeTarget, message: Message) {
        let to = (0..self.vms.len())
            .find(|index| self.vms[*index].address == target.address)
            .expect("targets are VMs of the model");
        let id = self.next + 1;
        let starts = self.vms[from].starts;
        self.outstanding.insert(id, Outstanding { from, to, starts });
        let arrival = self.now + self.delay(from, to);
        self.schedule(arrival, ModelEvent::Request(id, Box::new(message)));
        let limit = self.now + self.setup.tuning.reconnect.timeout;
        self.schedule(limit, ModelEvent::Timeout(id));
    }

    fn delay(&mut self, from: usize, to: usize) -> ClockSpan {
        let distance = if from % CENTRES.len() == to % CENTRES.len() {
            0
        } else {
            1 + usize::from(region_of(from) != region_of(to))
        };
        ClockSpan::from_millis_f64(DELAYS_MS[distance] * (1.0 + 0.5 * self.random.unit()))
    }

    fn dropped(&mut self, from: usize, to: usize) -> bool {
        let cut = self.partitioned && region_of(from) != region_of(to);
        cut || self.random.chance(self.setup.loss)
    }

    fn request(&mut self, id: u64, message: &Message) {
        let Some(Outstanding { from, to, .. }) = self.outstanding.get(&id) else { return };
        let (from, to) = (*from, *to);
        if !self.vms[to].alive || self.dropped(from, to) {
            return;
        }
        let local = self.local(to);
        let vm = &mut self.vms[to];
        let (response, result) = vm.plan.answer(&vm.table, message, local);
        self.learnt(to, &result.fresh, result.events);
        if !self.dropped(to, from) {
            let arrival = self.now + self.delay(to, from);
            self.schedule(arrival, ModelEvent::Response(id, Box::new(response)));
        }
    }

    fn response(&mut self, id: u64, message: &Message) {
        let Some(exchange) = self.outstanding.get(&id) else { return };
        let (from, starts) = (exchange.from, exchange.starts);
        if !self.vms[from].alive || self.vms[from].starts != starts {
            return;
        }
        self.outstanding.remove(&id);
        let local = self.local(from);
        let vm = &mut self.vms[from];
        let result = vm.plan.accept(&vm.table, message, local);
        self.learnt(from, &result.fresh, result.events);
    }

    fn timeout(&mut self, id: u64) {
        let Some(Outstanding { from, to, starts }) = self.outstanding.remove(&id) else { return };
        if self.vms[from].alive && self.vms[from].starts == starts {
            let local = self.local(from);
            let vm = &self.vms[from];
            vm.plan.failed(&vm.table, &vm_name(to), local, &mut self.random);
        }
    }

    fn learnt(&mut self, index: usize, fresh: &[ModelNews], events: Vec<PeerEvent>) {
        for item in fresh {
            self.arrivals.entry((item.id, index)).or_insert(self.now);
        }
        self.vms[index].events.extend(events);
        let vm = &self.vms[index];
        let due = self.to_global(index, vm.plan.next_due(&vm.table));
        if due < vm.wake_at {
            self.rearm(index);
        }
    }

    pub fn publish(&mut self, index: usize, item: ModelNews) {
        let id = item.id;
        let local = self.local(index);
        let vm = &self.vms[index];
        vm.plan.publish(&vm.table, item, local);
        self.arrivals.insert((id, index), self.now);
        self.learnt(index, &[], Vec::new());
    }

    /// Returns the time from `start` until the last living VM knew the item.
    pub fn spread(&self, id: u64, start: ClockTime) -> Option<ClockSpan> {
        (0..self.vms.len())
            .filter(|index| self.vms[*index].alive)
            .map(|index| self.arrivals.get(&(id, index)).map(|time| time.since(start)))
            .max_by_key(|span| span.unwrap_or(ClockSpan::MAX))
            .flatten()
    }

    fn list(&mut self, index: usize) {
        if !self.vms[index].alive {
            return;
        }
        let local = self.local(index);
        let as_of = self.now - self.setup.list_age;
        let newest = self.history.iter().rev().find(|(time, _)| *time <= as_of);
        let members = match (&self.wrong_list, newest) {
            (Some(wrong), _) => wrong.clone(),
            (None, Some((_, members))) => members.clone(),
            (None, None) => Vec::new(),
        };
        let list = MembershipList { members, age: self.setup.list_age };
        let vm = &mut self.vms[index];
        let events = vm.table.apply_list(&list, local);
        vm.events.extend(events);
        self.schedule(self.now + LIST_PERIOD, ModelEvent::List(index));
    }

    fn sample(&mut self) {
        for vm in &mut self.vms {
            let usage = vm.plan.usage();
            let sent = vm.earlier.sent_bytes + usage.sent_bytes;
            let received = vm.earlier.received_bytes + usage.received_bytes;
            let messages = vm.earlier.sent_messages + usage.sent_messages;
            vm.samples.push((sent + received, messages));
        }
        self.schedule(self.now + SAMPLE_PERIOD, ModelEvent::Sample);
    }

    /// Returns the number of samples so far; one is taken each second.
    pub fn sample_count(&self) -> usize {
        self.vms[0].samples.len()
    }

    /// Returns the most bytes a second, sent and received, of any VM in any window of `width`
    /// seconds from sample `first` on.
    pub fn peak_bytes(&self, first: usize, width: usize) -> f64 {
        self.peak(first, width, |sample| sample.0)
    }

    /// Returns the same for messages sent.
    pub fn peak_messages(&self, first: usize, width: usize) -> f64 {
        self.peak(first, width, |sample| sample.1)
    }

    fn peak(&self, first: usize, width: usize, part: impl Fn(&(u64, u64)) -> u64) -> f64 {
        let windows = self.vms.iter().flat_map(|vm| vm.samples[first..].windows(width + 1));
        let most = windows.map(|window| part(&window[width]) - part(&window[0])).max();
        most.unwrap_or(0) as f64 / width as f64
    }

    /// Returns the mean bytes and messages a second of all VMs from sample `first` on.
    pub fn mean_rates(&self, first: usize) -> (f64, f64) {
        let seconds = (self.sample_count() - 1 - first) as f64 * self.vms.len() as f64;
        let sum = |part: fn(&(u64, u64)) -> u64| -> f64 {
            let each = self.vms.iter().map(|vm| {
                part(vm.samples.last().expect("samples were taken")) - part(&vm.samples[first])
            });
            each.sum::<u64>() as f64 / seconds
        };
        (sum(|sample| sample.0), sum(|sample| sample.1))
    }

    pub fn kill(&mut self, index: usize) {
        self.vms[index].alive = false;
        self.note_list();
    }

    /// Starts a new process on a VM that was killed.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.vms[index].table.identity().incarnation + 1000;
        let mut vm = model_vm(&self.setup, index, incarnation, self.now, &mut self.random);
        let previous = &mut self.vms[index];
        vm.starts = previous.starts + 1;
        vm.samples = std::mem::take(&mut previous.samples);
        let usage = previous.plan.usage();
        vm.earlier = ByteUsage {
            sent_bytes: previous.earlier.sent_bytes + usage.sent_bytes,
            received_bytes: previous.earlier.received_bytes + usage.received_bytes,
            sent_messages: previous.earlier.sent_messages + usage.sent_messages,
            ..ByteUsage::default()
        };
        self.vms[index] = vm;
        self.note_list();
        self.begin(index);
    }

    /// Records the membership as it is now in the platform's history.
    pub fn note_list(&mut self) {
        let members = self.vms.iter().filter(|vm| vm.alive).map(listed).collect();
        self.history.push((self.now, members));
    }

    /// Counts the pairs of living VMs of which one concludes `state` about the other.
    pub fn pairs_in(&self, states: &[PeerState]) -> usize {
        let mut pairs = 0;
        for index in (0..self.vms.len()).filter(|index| self.vms[*index].alive) {
            let views = self.vms[index].table.views(self.local(index));
            let by_name: BTreeMap<&str, PeerState> =
                views.iter().map(|view| (view.identity.name.as_str(), view.state)).collect();
            pairs += (0..self.vms.len())
                .filter(|other| *other != index && self.vms[*other].alive)
                .filter(|other| {
                    by_name
                        .get(vm_name(*other).as_str())
                        .is_some_and(|state| states.contains(state))
                })
                .count();
        }
        pairs
    }
}

fn listed(vm: &ModelVm) -> ListedVm {
    ListedVm { identity: vm.table.identity(), address: vm.address, leaving: false }
}

fn model_vm(
    setup: &ModelSetup,
    index: usize,
    incarnation: u64,
    now: ClockTime,
    random: &mut RandomSource,
) -> ModelVm {
    // Every process has its own clock, which started at another time.
    let offset = ClockSpan::from_millis(random.below(100_000_000) as u64);
    let identity = VmIdentity { name: vm_name(index), incarnation, centre: centre_of(index) };
    let address = address_of(index);
    let start = StartPlan::new(setup.start.clone(), now + offset, random);
    let tuning = setup.tuning.clone();
    let spacing = tuning.reconnect.spacing;
    ModelVm {
        plan: GossipPlan::new(tuning.gossip.clone(), spacing, start.first_at()),
        table: PeerTable::new(identity, address, tuning, now + offset),
        start,
        alive: true,
        starts: 0,
        events: Vec::new(),
        address,
        offset,
        wake_at: ClockTime::ZERO,
        earlier: ByteUsage::default(),
        samples: Vec::new(),
    }
}
