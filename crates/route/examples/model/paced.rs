//! Servers whose pace is drawn at random every few hundred milliseconds, as on the platform.
//!
//! The pace of a server is its service time relative to the usual one: 1.0 is usual, higher is
//! slower.

use std::f64::consts::TAU;

use base::prelude::*;

use super::{ModelCase, ModelRules};

/// One run of the model with a pace. Of the noise of `base`, only `noise_speed` is used.
#[derive(Clone, Copy, Debug)]
pub struct PacedCase {
    pub base: ModelCase,
    pub calls_per_s: f64,
    /// Standard deviation of the logarithm of the work.
    pub sigma: f64,
    /// Share of the servers that are slow at any time.
    pub slow_share: f64,
    /// Time after which the slow servers are drawn again.
    pub redraw_ms: f64,
    pub objective_ms: f64,
    /// Whether the servers report their pace.
    pub reports_pace: bool,
}

/// The servers and the load of the look-up service in the Almaty region.
pub const SIX_SLOTS: PacedCase = PacedCase {
    base: ModelCase {
        name: "six-slot, 12 servers in 3 centres",
        servers: 12,
        slots: 6,
        vms: 15,
        centres: 3,
        round_trip_ms: 1.8,
        load: 0.0,
        work_ms: 73.0,
        noise_every_ms: 0.0,
        noise_ms: 0.0,
        noise_speed: 0.25,
        report_lag_ms: 0.0,
        calls: 60_000,
        seed: 21,
    },
    calls_per_s: 210.0,
    sigma: 0.3,
    slow_share: 0.25,
    redraw_ms: 300.0,
    objective_ms: 200.0,
    reports_pace: true,
};

/// The servers and the load of the service that counts trees in the Viti region.
pub const TWO_SLOTS: PacedCase = PacedCase {
    base: ModelCase {
        name: "two-slot, 10 servers in 3 centres",
        servers: 10,
        slots: 2,
        round_trip_ms: 1.0,
        work_ms: 120.0,
        ..SIX_SLOTS.base
    },
    calls_per_s: 36.0,
    objective_ms: 300.0,
    ..SIX_SLOTS
};

/// Share of occupied slots from which work takes longer.
const BUSY_THRESHOLD: f64 = 0.8;
/// Factor on the work when all slots are occupied.
const FULL_FACTOR: f64 = 1.7;
const USUAL_PERCENT: f64 = 100.0;

impl PacedCase {
    /// Draws the servers that are slow until the next redraw.
    fn draw_slow(&self, random: &mut RandomSource) -> Vec<usize> {
        let mut servers: Vec<usize> = (0..self.base.servers).collect();
        let expected = self.slow_share * servers.len() as f64;
        let count = expected as usize + usize::from(random.chance(expected.fract()));
        for index in 0..count {
            let other = index + random.below(servers.len() - index);
            servers.swap(index, other);
        }
        servers.truncate(count);
        servers
    }
}

impl ModelRules for PacedCase {
    fn case(&self) -> &ModelCase {
        &self.base
    }

    fn calls_per_ms(&self) -> f64 {
        self.calls_per_s / 1000.0
    }

    /// Draws from a log-normal distribution with the mean of the case.
    fn work_ms(&self, random: &mut RandomSource) -> f64 {
        let radius = random.exponential(2.0).sqrt();
        let normal = radius * (TAU * random.unit()).cos();
        self.base.work_ms * (self.sigma * normal - self.sigma * self.sigma / 2.0).exp()
    }

    fn noise_intervals(&self, span_ms: f64, random: &mut RandomSource) -> Vec<Vec<(f64, f64)>> {
        let mut noise_intervals = vec![Vec::new(); self.base.servers];
        let mut at_ms = 0.0;
        while at_ms < span_ms {
            for server in self.draw_slow(random) {
                noise_intervals[server].push((at_ms, at_ms + self.redraw_ms));
            }
            at_ms += self.redraw_ms;
        }
        noise_intervals
    }

    fn load_factor(&self, running: u32) -> f64 {
        let share = f64::from(running) / f64::from(self.base.slots);
        1.0 + (FULL_FACTOR - 1.0)
            * ((share - BUSY_THRESHOLD) / (1.0 - BUSY_THRESHOLD)).clamp(0.0, 1.0)
    }

    fn pace_percent(&self, slowed: bool) -> Option<u32> {
        let pace = if slowed { 1.0 / self.base.noise_speed } else { 1.0 };
        self.reports_pace.then_some((USUAL_PERCENT * pace) as u32)
    }

    fn objective_ms(&self) -> f64 {
        self.objective_ms
    }
}
