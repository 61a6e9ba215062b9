//! The upstreams of a run: stand-ins with a fault proxy in front and a row in the store.

use base::prelude::*;
use directory::prelude::*;
use platform::stand::{ServerStand, UpstreamWriter};
use stand::prelude::*;
use stand::service::ServiceTime;
use world::prelude::*;

use crate::fault::UpstreamFault;
use crate::ledger::RequestObservation;
use crate::schedule::UPSTREAMS;
use crate::setup::{ANSWER_BYTES, CENTRE, SERVICES, SoakStore, shown_version};

/// The service time without faults, in milliseconds. Short compared with the timeouts, so that
/// queues stay short.
const SERVICE_TIME_MS: f64 = 15.0;
/// The number of slots of an upstream, as in the environment almaty.
const SLOTS: u32 = 6;
/// The time from a crash to the restart in milliseconds.
const RESTART_MS: u64 = 600;
/// The time for which health checks and calls succeed on a draining upstream, in milliseconds.
/// Longer than any drain lasts, so that only its row shows that it is draining.
const DRAIN_GRACE_MS: u64 = 600_000;

/// An upstream with the proxy in front of it and its row in the store.
#[derive(Debug)]
pub struct SoakUpstream {
    /// The proxy in front of the upstream. The row has its address.
    pub proxy: FaultProxy,
    stand: ServerStand,
    writer: UpstreamWriter,
    draining: bool,
}

impl SoakUpstream {
    /// Starts the upstream with this index and writes its row.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start(index: usize, seed: u64, store: &SoakStore) -> Result<Self, StandError> {
        let service = SERVICES[index * SERVICES.len() / UPSTREAMS];
        let name = format!("{service}-{index}");
        let plan = UpstreamPlan {
            name: name.as_str().into(),
            seed: seed.wrapping_add(index as u64),
            slots: SLOTS,
            service: ServiceTime::Fixed { ms: SERVICE_TIME_MS },
            restart_ms: Some(RESTART_MS),
            answer_bytes: ANSWER_BYTES,
            ends_with_caller: true,
            record_requests: true,
            ..UpstreamPlan::default()
        };
        let stand = ServerStand::start_with_dialect(plan).await?;
        let proxy_plan = ProxyPlan { target: stand.address(), ..ProxyPlan::default() };
        let proxy = FaultProxy::start(proxy_plan).await?;
        let server = UpstreamServer {
            name: name.as_str().into(),
            service: service.into(),
            centre: CENTRE.into(),
            address: proxy.address(),
            slots: SLOTS,
            connections: 0,
            incarnation: 1,
            warm_up: ClockSpan::ZERO,
        };
        let entry = UpstreamEntry { server, draining: false };
        let writer = UpstreamWriter::start(store.stand.handle(), entry);
        Ok(Self { proxy, stand, writer, draining: false })
    }

    /// Crashes the upstream. It restarts after `RESTART_MS`.
    pub fn crash(&self) {
        self.stand.crash();
    }

    /// Replaces the faults in force. If that starts a drain, returns the time of its start and the
    /// time at which the store acknowledged the row.
    pub fn set_faults(
        &mut self,
        faults: &[UpstreamFault],
        clock: &RealClock,
    ) -> Option<(ClockTime, ClockTime)> {
        self.stand.update(|plan| apply_faults(plan, faults));
        let is_draining = faults.contains(&UpstreamFault::Drain);
        if std::mem::replace(&mut self.draining, is_draining) == is_draining {
            return None;
        }
        if is_draining {
            let started_at = clock.now();
            let drain =
                DrainPlan { health_fails_after_ms: DRAIN_GRACE_MS, grace_ms: DRAIN_GRACE_MS };
            self.stand.update(|plan| plan.drain = Some(drain));
            self.writer.drain();
            return Some((started_at, clock.now()));
        }
        self.stand.update(|plan| plan.drain = None);
        // After a drain, the upstream returns as a new incarnation.
        self.writer.change(|entry| {
            entry.draining = false;
            entry.server.incarnation += 1;
        });
        None
    }

    /// Returns what the upstream has observed of each call, by the id of the call.
    pub fn observations(&self) -> Vec<(SharedName, RequestObservation)> {
        let records = self.stand.counts().by_request;
        let observation = |record: RequestRecord| RequestObservation {
            arrivals: record.arrived,
            runs: record.runs,
            version: record.remaining_ms.iter().find_map(|remaining| shown_version(*remaining)),
            drain_ages: record.draining_ms.into_iter().map(ClockSpan::from_millis).collect(),
        };
        records.into_iter().map(|(id, record)| (id, observation(record))).collect()
    }
}

fn apply_faults(plan: &mut UpstreamPlan, faults: &[UpstreamFault]) {
    plan.faults.clear();
    plan.mode = UpstreamMode::Serve;
    plan.service = ServiceTime::Fixed { ms: SERVICE_TIME_MS };
    for fault in faults {
        match *fault {
            UpstreamFault::Answers { fault, share } => {
                plan.faults.push(FaultRule { fault, share, ..FaultRule::default() });
            }
            UpstreamFault::Checks { fault, share } => {
                let on = FaultTarget::Checks;
                plan.faults.push(FaultRule { fault, share, on, ..FaultRule::default() });
            }
            UpstreamFault::Slow { ms } => plan.service = ServiceTime::Fixed { ms },
            UpstreamFault::Freeze => plan.mode = UpstreamMode::Freeze,
            UpstreamFault::FailFast => plan.mode = UpstreamMode::FailFast,
            UpstreamFault::Drain | UpstreamFault::Crash => {}
        }
    }
}
