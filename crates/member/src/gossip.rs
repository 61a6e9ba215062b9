//! Who talks to whom, how often, and with what.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use base::prelude::*;

use crate::budget::ByteBudget;
use crate::message::{ExchangeMessage, NewsEnvelope};
use crate::news::{HeldSlice, NewsDigest, NewsItem, NewsStore};
use crate::peer::PeerEvent;
use crate::table::{PeerTable, ReportRoom, TableState};
use crate::tuning::GossipTuning;

/// Payload of a short message, for deciding whether the budget allows another request.
const SHORT_PAYLOAD_BYTES: usize = 120;
/// Share of a message that news may fill, so that life signs are not crowded out.
const NEWS_SHARE: f64 = 0.75;
/// Bytes of a digest and a sender's record, reserved before news is added.
const HEAD_BYTES: usize = 220;
/// Payload that a message may have even if the budget is spent. Without it, lasting news leaves no
/// room for life signs, so that living peers are suspected, and responses pass on no news.
const LEAST_BYTES: usize = 640;

/// Items in one response that show that this VM has missed a lot, for instance because it has just
/// started. It then continues without waiting for the routine period.
const BACKLOG_ITEMS: usize = 3;

/// Why an exchange takes place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangePurpose {
    /// Life signs and digests, periodically.
    Routine,
    /// Urgent news; a short message.
    Urgent,
    /// A peer that did not answer is tried again.
    Reconnect,
}

/// A peer to send a request to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExchangeTarget {
    /// The peer.
    pub name: SharedName,
    /// Where it accepts peers.
    pub address: SocketAddr,
    /// Why.
    pub purpose: ExchangePurpose,
}

/// Traffic of one VM, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ByteUsage {
    /// Bytes sent, overhead included.
    pub sent_bytes: u64,
    /// Bytes received, overhead included.
    pub received_bytes: u64,
    /// Requests and responses sent.
    pub sent_messages: u64,
    /// Requests and responses received.
    pub received_messages: u64,
    /// News items left out of a message for lack of room.
    pub cut_items: u64,
    /// Requests not sent because the budget was spent.
    pub held_requests: u64,
}

/// What a message brought.
#[derive(Clone, Debug)]
pub struct ExchangeResult<N> {
    /// Items that were not known before, for the crates that own them.
    pub fresh: Vec<N>,
    /// Changes of peers, for the log.
    pub events: Vec<PeerEvent>,
}

/// Decides on exchanges and their contents. Its lock has the rank of the peer table and is never
/// held together with the table's.
pub struct GossipPlan<N: NewsItem> {
    state: RankedMutex<PlanState<N>>,
}

struct PlanState<N: NewsItem> {
    tuning: GossipTuning,
    spacing: ClockSpan,
    news: NewsStore<N>,
    budget: ByteBudget,
    usage: ByteUsage,
    routine_at: ClockTime,
    urgent_at: ClockTime,
    reconnect_at: ClockTime,
    order: Vec<SharedName>,
    /// The slice to name in the next routine request.
    held: Option<HeldSlice>,
}

/// The exchanges that are due.
struct ExchangeRound {
    routine: bool,
    urgent: usize,
    reconnect: bool,
}

impl<N: NewsItem> GossipPlan<N> {
    /// Returns a plan whose first exchanges are due at `first`, which a VM delays by a random time
    /// after its start.
    pub fn new(tuning: GossipTuning, spacing: ClockSpan, first: ClockTime) -> Self {
        let budget = ByteBudget::new(tuning.bytes_per_second, tuning.burst_bytes, first);
        let news = NewsStore::new(tuning.max_news);
        let state = PlanState {
            tuning,
            spacing,
            news,
            budget,
            usage: ByteUsage::default(),
            routine_at: first,
            urgent_at: first,
            reconnect_at: first,
            order: Vec::new(),
            held: None,
        };
        Self { state: RankedMutex::new(LockRank::PeerTable, state) }
    }

    fn with<R>(&self, use_state: impl FnOnce(&mut PlanState<N>) -> R) -> R {
        use_state(&mut self.state.lock())
    }

    /// Adds news of this VM and returns whether it was new.
    pub fn publish(&self, table: &PeerTable, item: N, now: ClockTime) -> bool {
        let resends = table.with(|state| state.resend_limit());
        self.with(|state| state.learn(item, ClockSpan::ZERO, resends, now))
    }

    /// Returns the revision known for a key.
    pub fn revision(&self, key: &N::Key) -> Option<u64> {
        self.with(|state| state.news.revision(key))
    }

    /// Returns the number of news items known.
    pub fn news_count(&self) -> usize {
        self.with(|state| state.news.len())
    }

    /// Returns the traffic so far.
    pub fn usage(&self) -> ByteUsage {
        self.with(|state| state.usage)
    }

    /// Charges other control traffic to the byte budget, or the difference by which a message was
    /// longer than estimated.
    pub fn charge(&self, bytes: usize, now: ClockTime) {
        self.with(|state| {
            state.usage.sent_bytes += bytes as u64;
            state.budget.spend(bytes, now);
        });
    }

    /// Returns when [`GossipPlan::due`] should next be called, if no news arrives before.
    pub fn next_due(&self, table: &PeerTable) -> ClockTime {
        let rumours = table.with(|state| state.has_rumours());
        self.with(|state| {
            let calm = state.routine_at.min(state.reconnect_at);
            if rumours || state.news.has_rumours(u32::MAX) {
                calm.min(state.urgent_at)
            } else {
                calm
            }
        })
    }

    /// Returns the peers to send a request to now.
    pub fn due(
        &self,
        table: &PeerTable,
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Vec<ExchangeTarget> {
        let rumours = table.with(|state| state.has_rumours());
        let Some(round) = self.with(|state| state.start_round(rumours, now, random)) else {
            return Vec::new();
        };
        let candidates = table.with(|state| {
            state.expire(now);
            state.reachable(now)
        });
        let mut targets = self.with(|state| state.pick(&round, &candidates, random));
        if round.reconnect {
            targets.extend(table.with(|state| state.reconnect(now, random)));
        }
        table.with(|state| {
            for target in &targets {
                state.mark_pending(&target.name, now);
            }
        });
        targets
    }

    /// Returns the request for a target and charges it to the budget.
    pub fn request(
        &self,
        table: &PeerTable,
        target: &ExchangeTarget,
        now: ClockTime,
    ) -> ExchangeMessage<N> {
        let full = target.purpose != ExchangePurpose::Urgent;
        let overhead = self.with(|state| state.tuning.request_overhead);
        self.compose(table, None, full, overhead, now)
    }

    /// Takes in a request and returns the response, charged to the budget, and what was learnt.
    pub fn answer(
        &self,
        table: &PeerTable,
        request: &ExchangeMessage<N>,
        now: ClockTime,
    ) -> (ExchangeMessage<N>, ExchangeResult<N>) {
        let overhead = self.with(|state| state.tuning.request_overhead);
        let result = self.absorb(table, request, overhead, now);
        let full = request.peers.digest.is_some();
        let overhead = self.with(|state| state.tuning.response_overhead);
        (self.compose(table, Some(request), full, overhead, now), result)
    }

    /// Takes in a response and returns what was learnt.
    pub fn accept(
        &self,
        table: &PeerTable,
        response: &ExchangeMessage<N>,
        now: ClockTime,
    ) -> ExchangeResult<N> {
        let overhead = self.with(|state| state.tuning.response_overhead);
        let result = self.absorb(table, response, overhead, now);
        self.with(|state| {
            if let Some(digest) = &response.digest {
                state.held = state.news.held_slice(digest, now);
            }
            if result.fresh.len() >= BACKLOG_ITEMS {
                state.hasten_routine(now);
            }
        });
        result
    }

    /// Records that a request was not answered. Unless the peer is lost, the message may have been,
    /// and the next exchange is due soon.
    pub fn failed(&self, table: &PeerTable, name: &str, now: ClockTime, random: &mut RandomSource) {
        let lost = table.with(|state| state.exchange_failed(name, now, random));
        if !lost {
            self.with(|state| state.hasten_routine(now));
        }
    }

    fn absorb(
        &self,
        table: &PeerTable,
        message: &ExchangeMessage<N>,
        overhead: usize,
        now: ClockTime,
    ) -> ExchangeResult<N> {
        let (events, resends) = table.with(|state| {
            let events = state.absorb(&message.peers, now);
            (events, state.resend_limit())
        });
        let fresh = self.with(|state| {
            state.usage.received_messages += 1;
            state.usage.received_bytes += (message.encoded_size() + overhead) as u64;
            state.learn_all(&message.news, resends, now)
        });
        ExchangeResult { fresh, events }
    }

    fn compose(
        &self,
        table: &PeerTable,
        request: Option<&ExchangeMessage<N>>,
        full: bool,
        overhead: usize,
        now: ClockTime,
    ) -> ExchangeMessage<N> {
        let (room, digest, mut news) = self.with(|state| state.start_message(request, full, now));
        let used: usize = news.iter().map(NewsEnvelope::encoded_size).sum();
        let differing = |state: &TableState| {
            let digest = request.and_then(|message| message.peers.digest);
            digest.is_some_and(|other| other != state.digest(now))
        };
        let peers = table.with(|state| {
            let differing = differing(state);
            let asked = request.map_or(&[][..], |message| &message.peers.beats);
            let bytes = room.saturating_sub(used);
            state.report(ReportRoom { bytes, full, differing }, asked, now)
        });
        let left = room.saturating_sub(used + peers.encoded_size());
        self.with(|state| {
            let held = state.held.take_if(|_| full && request.is_none());
            if full {
                news.extend(state.take(left, false, request, now));
            }
            let message = ExchangeMessage { peers, digest, held, news };
            state.count_sent(message.encoded_size() + overhead, now);
            message
        })
    }
}

impl<N: NewsItem> PlanState<N> {
    fn hasten_routine(&mut self, now: ClockTime) {
        self.routine_at = self.routine_at.min(now + self.tuning.urgent_period);
    }

    fn learn(&mut self, item: N, age: ClockSpan, resends: u32, now: ClockTime) -> bool {
        let urgent = item.priority().is_urgent();
        let sends = if urgent { resends } else { self.tuning.sample_sends };
        self.news.insert(item, age, sends, now)
    }

    fn learn_all(&mut self, news: &[NewsEnvelope<N>], resends: u32, now: ClockTime) -> Vec<N> {
        let mut fresh = Vec::new();
        for envelope in news {
            let item = &envelope.item;
            let old = envelope.age() >= self.tuning.fresh_age;
            let sends = if old { resends / 2 } else { resends };
            // Samples of other VMs are handed on to the caller but not to other peers.
            let sample = !item.priority().is_urgent();
            if sample || self.news.insert(item.clone(), envelope.age(), sends, now) {
                fresh.push(item.clone());
            }
        }
        fresh
    }

    /// Returns the sends of one item allowed now. While the budget is short, each send of an item
    /// that was sent often delays one that was not.
    fn most_sends(&mut self, now: ClockTime) -> u32 {
        let short = (self.budget.room(now) as f64) < self.tuning.burst_bytes / 2.0;
        if short { self.tuning.short_sends } else { u32::MAX }
    }

    fn jittered(&self, period: ClockSpan, random: &mut RandomSource) -> ClockSpan {
        period.scaled(1.0 + self.tuning.jitter * (2.0 * random.unit() - 1.0))
    }

    fn start_round(
        &mut self,
        rumours: bool,
        now: ClockTime,
        random: &mut RandomSource,
    ) -> Option<ExchangeRound> {
        self.news.expire(now);
        let most_sends = self.most_sends(now);
        let mut round = ExchangeRound { routine: false, urgent: 0, reconnect: false };
        round.routine = now >= self.routine_at;
        if now >= self.urgent_at && (rumours || self.news.has_rumours(most_sends)) {
            self.urgent_at = now + self.jittered(self.tuning.urgent_period, random);
            round.urgent = self.tuning.urgent_fanout.saturating_sub(usize::from(round.routine));
        }
        if now >= self.reconnect_at {
            self.reconnect_at = now + self.jittered(self.spacing, random);
            round.reconnect = true;
        }
        let due = round.routine;
        self.afford(&mut round, now);
        if due {
            let held = !round.routine;
            let period = if held { self.tuning.urgent_period } else { self.tuning.routine_period };
            self.routine_at = now + self.jittered(period, random);
        }
        (round.routine || round.urgent > 0 || round.reconnect).then_some(round)
    }

    /// Reduces a round to what the budget allows. A routine exchange that is held back stays due
    /// and goes first, and urgent ones leave room for it.
    fn afford(&mut self, round: &mut ExchangeRound, now: ClockTime) {
        let cost = self.tuning.request_overhead + SHORT_PAYLOAD_BYTES;
        let room = self.budget.room(now);
        let wanted = round.urgent + usize::from(round.routine) + usize::from(round.reconnect);
        round.routine &= room >= cost;
        let reserve = self.tuning.request_overhead + LEAST_BYTES;
        let mut affordable = room.saturating_sub(reserve) / cost;
        round.urgent = round.urgent.min(affordable);
        affordable -= round.urgent;
        round.reconnect &= affordable > 0;
        let granted = round.urgent + usize::from(round.routine) + usize::from(round.reconnect);
        self.usage.held_requests += (wanted - granted) as u64;
    }

    /// Picks peers in a random order in which each has its turn before any is picked again.
    fn pick(
        &mut self,
        round: &ExchangeRound,
        candidates: &BTreeMap<SharedName, SocketAddr>,
        random: &mut RandomSource,
    ) -> Vec<ExchangeTarget> {
        let wanted = (usize::from(round.routine) + round.urgent).min(candidates.len());
        let mut targets: Vec<ExchangeTarget> = Vec::with_capacity(wanted);
        while targets.len() < wanted {
            let Some(name) = self.order.pop() else {
                self.order = shuffled(candidates, random);
                continue;
            };
            let Some(address) = candidates.get(&name) else { continue };
            if targets.iter().any(|target| target.name == name) {
                continue;
            }
            let first = targets.is_empty() && round.routine;
            let purpose = if first { ExchangePurpose::Routine } else { ExchangePurpose::Urgent };
            targets.push(ExchangeTarget { name, address: *address, purpose });
        }
        targets
    }

    /// Returns the room for payload, the digest, and the urgent news, which comes first.
    fn start_message(
        &mut self,
        request: Option<&ExchangeMessage<N>>,
        full: bool,
        now: ClockTime,
    ) -> (usize, Option<NewsDigest>, Vec<NewsEnvelope<N>>) {
        let digest = (full && self.tuning.anti_entropy).then(|| self.news.digest(now));
        let room = self.tuning.message_bytes.min(self.budget.room(now).max(LEAST_BYTES));
        let share = if full {
            ((room as f64 * NEWS_SHARE) as usize).saturating_sub(HEAD_BYTES)
        } else {
            room.saturating_sub(SHORT_PAYLOAD_BYTES)
        };
        let mut news = self.take(share, true, request, now);
        let used: usize = news.iter().map(NewsEnvelope::encoded_size).sum();
        news.extend(self.repair(request, &news, share.saturating_sub(used), now));
        (room, digest, news)
    }

    /// Returns items that the requester lacks by its digest and that are not in `taken`.
    fn repair(
        &mut self,
        request: Option<&ExchangeMessage<N>>,
        taken: &[NewsEnvelope<N>],
        room: usize,
        now: ClockTime,
    ) -> Vec<NewsEnvelope<N>> {
        let other = request.and_then(|message| message.digest);
        let Some(other) = other.filter(|_| self.tuning.anti_entropy) else { return Vec::new() };
        let skip = |key: &N::Key| taken.iter().any(|sent| sent.item.key() == *key);
        let held = request.and_then(|message| message.held.as_ref());
        let mut news =
            held.map_or_else(Vec::new, |held| self.news.missing(held, room / 2, now, skip));
        let used: usize = news.iter().map(NewsEnvelope::encoded_size).sum();
        let unsent = |key: &N::Key| skip(key) || news.iter().any(|sent| sent.item.key() == *key);
        let others = self.news.repair(&other, room.saturating_sub(used), now, unsent);
        news.extend(others);
        news
    }

    fn take(
        &mut self,
        room: usize,
        urgent: bool,
        request: Option<&ExchangeMessage<N>>,
        now: ClockTime,
    ) -> Vec<NewsEnvelope<N>> {
        let received: HashMap<N::Key, u64> = request
            .into_iter()
            .flat_map(|message| &message.news)
            .map(|envelope| (envelope.item.key(), envelope.item.revision()))
            .collect();
        let most_sends = self.most_sends(now);
        let (news, cut) = self.news.take(room, urgent, most_sends, now, |key, revision| {
            received.get(key).is_some_and(|known| *known >= revision)
        });
        self.usage.cut_items += cut;
        news
    }

    fn count_sent(&mut self, bytes: usize, now: ClockTime) {
        self.usage.sent_messages += 1;
        self.usage.sent_bytes += bytes as u64;
        self.budget.spend(bytes, now);
    }
}

fn shuffled(
    candidates: &BTreeMap<SharedName, SocketAddr>,
    random: &mut RandomSource,
) -> Vec<SharedName> {
    let mut order: Vec<SharedName> = candidates.keys().cloned().collect();
    for last in (1..order.len()).rev() {
        order.swap(last, random.below(last + 1));
    }
    order
}
