//! Decides whether calls leave the data centre of this VM, and which share of them.
//!
//! A call to another data centre takes a round trip longer and its bytes cost money, so that calls
//! stay at home while the upstreams there have room. When they do not, the expected latencies at home
//! and away tell whether leaving pays, and the share that leaves is the one at which both are equal.
//!
//! All VMs of a data centre see the same load at about the same time. The share therefore changes at a
//! bounded rate, and leaving starts at a higher advantage than it ends, so that they neither all
//! leave nor all return at once.

use base::prelude::*;

use crate::estimate::DecayingMean;

/// Parameters of [`RemoteShare`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteTuning {
    /// Cost of the bytes of a call to another data centre, in milliseconds of latency.
    pub transfer_ms: f64,
    /// Share of the service's mean latency by which leaving must pay before it starts. It ends when
    /// it no longer pays at all.
    pub start_advantage: f64,
    /// A call leaves whatever the share is if its best upstream at home is expected to take longer
    /// than the best one away by this share of the service's mean latency, or is full.
    pub call_advantage: f64,
    /// The most by which the share rises in a second.
    pub rise_per_second: f64,
    /// The most by which the share falls in a second.
    pub fall_per_second: f64,
    /// Time constant of the mean load at home and away.
    pub load_decay: ClockSpan,
    /// Share of occupied slots from which calls take longer.
    pub busy_threshold: f64,
    /// Factor on the latency of a call when all slots are occupied.
    pub full_factor: f64,
}

impl RemoteTuning {
    /// The production values.
    pub const STANDARD: Self = Self {
        // The same as the fixed cost of a call to another data centre in `PacedTuning`.
        transfer_ms: 10.0,
        // The reported load of a few upstreams is uncertain by about as much.
        start_advantage: 0.1,
        // A pace a quarter above the usual one is what noisy neighbours cause at the least.
        call_advantage: 0.25,
        // Bursts last a few seconds, and their first second counts most.
        rise_per_second: 1.0,
        fall_per_second: 0.5,
        load_decay: ClockSpan::from_millis(500),
        // As in `PacedTuning`.
        busy_threshold: 0.8,
        full_factor: 1.7,
    };
}

impl Default for RemoteTuning {
    fn default() -> Self {
        Self::STANDARD
    }
}

/// What is known of a service's upstreams that can take calls, at home and away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteLoad {
    /// Slots of the upstreams at home.
    pub home_slots: f64,
    /// Slots of the upstreams in other data centres.
    pub away_slots: f64,
    /// Share of the slots at home that are occupied; above 1.0 if calls wait.
    pub home_load: f64,
    /// Share of the slots away that are occupied.
    pub away_load: f64,
    /// Mean latency of the service without the round trip.
    pub latency_ms: f64,
    /// Round-trip time to the nearest other data centre with such an upstream.
    pub round_trip_ms: f64,
}

/// Why a call may use upstreams in other data centres.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RemoteReason {
    /// It stays at home.
    #[default]
    Home,
    /// It is among the share of calls that leaves, because the upstreams at home are too busy.
    Share,
    /// Its best upstream at home is much slower than the best one away.
    Slow,
    /// No upstream at home can take it.
    NoRoom,
    /// Costs alone decide, because no share is computed.
    Cost,
}

impl RemoteReason {
    /// Every reason, in the order of the enum values.
    pub const ALL: [Self; 5] = [Self::Home, Self::Share, Self::Slow, Self::NoRoom, Self::Cost];

    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Share => "share",
            Self::Slow => "slow",
            Self::NoRoom => "no_room",
            Self::Cost => "cost",
        }
    }
}

/// The share of a service's calls that leave the data centre.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteShare {
    share: f64,
    updated_at: Option<ClockTime>,
    home: DecayingMean,
    away: DecayingMean,
}

/// The largest weight of one load report in the means.
const SAMPLE_WEIGHT_MAX: f64 = 0.3;
/// Steps of the bisection for the share; the result is within 0.001.
const BISECTION_STEPS: u32 = 10;
/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1000.0;

impl RemoteShare {
    /// Records the calls for each slot that an upstream reported.
    pub fn record_load(&mut self, load: f64, at_home: bool, tuning: &RemoteTuning, now: ClockTime) {
        let mean = if at_home { &mut self.home } else { &mut self.away };
        mean.add(load, now, tuning.load_decay, SAMPLE_WEIGHT_MAX);
    }

    /// Returns the recent mean load at home or away. Old evidence decays to `default`, the mean of
    /// the service.
    pub fn mean_load(
        &self,
        at_home: bool,
        default: f64,
        tuning: &RemoteTuning,
        now: ClockTime,
    ) -> f64 {
        let mean = if at_home { &self.home } else { &self.away };
        let Some(sampled_at) = mean.sampled_at else { return default };
        let weight = crate::estimate::decay_weight(now.since(sampled_at), tuning.load_decay);
        default + weight * (mean.value - default)
    }

    /// Updates the share for the present load and returns it.
    pub fn update(&mut self, load: &RemoteLoad, tuning: &RemoteTuning, now: ClockTime) -> f64 {
        let elapsed = self.updated_at.map_or(ClockSpan::ZERO, |before| now.since(before));
        self.updated_at = Some(now);
        let seconds = elapsed.as_millis_f64() / MILLIS_PER_SECOND;
        let wanted = self.wanted(load, tuning);
        let highest = self.share + tuning.rise_per_second * seconds;
        let lowest = self.share - tuning.fall_per_second * seconds;
        self.share = wanted.clamp(lowest.max(0.0), highest.min(1.0));
        self.share
    }

    /// Returns the share at which calls take equally long at home and away.
    fn wanted(&self, load: &RemoteLoad, tuning: &RemoteTuning) -> f64 {
        if load.away_slots <= 0.0 || load.latency_ms <= 0.0 {
            return 0.0;
        }
        if load.home_slots <= 0.0 {
            return 1.0;
        }
        // The present load is that at the present share.
        let stayed = 1.0 - self.share;
        let demand = if stayed > 0.0 { load.home_load / stayed.max(0.1) } else { load.home_load };
        let demand = demand.max(load.home_load);
        let slots_ratio = load.home_slots / load.away_slots;
        let advantage = |share: f64| {
            let home = demand * (1.0 - share);
            let away = load.away_load + demand * (share - self.share) * slots_ratio;
            let extra_ms = load.round_trip_ms + tuning.transfer_ms;
            let gained = slowdown(home, tuning) - slowdown(away.max(0.0), tuning);
            gained - extra_ms / load.latency_ms
        };
        let threshold = if self.share > 0.0 { 0.0 } else { tuning.start_advantage };
        if advantage(0.0) <= threshold {
            return 0.0;
        }
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..BISECTION_STEPS {
            let middle = 0.5 * (low + high);
            if advantage(middle) > 0.0 { low = middle } else { high = middle }
        }
        low
    }
}

/// Returns the expected latency of a call at a load, divided by the usual one.
fn slowdown(load: f64, tuning: &RemoteTuning) -> f64 {
    let busy = (load.min(1.0) - tuning.busy_threshold).max(0.0) / (1.0 - tuning.busy_threshold);
    let waiting = (load - 1.0).max(0.0);
    (1.0 + (tuning.full_factor - 1.0) * busy) * (1.0 + waiting)
}
