//! Options of a gateway process: identity, addresses, timeouts and tuning.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::{SystemTime, UNIX_EPOCH};

use base::prelude::*;
use border::{ProcessSettings, SharedSecret};
use limit::prelude::*;
use route::prelude::*;
use suspect::prelude::*;
use world::prelude::*;

use crate::mechanism::Mechanism;

/// Options of one gateway process.
#[derive(Clone, Debug)]
pub struct GateOptions {
    /// The identity of this VM, with the incarnation of this run.
    pub vm: VmIdentity,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// The number of worker threads.
    pub workers: usize,
    /// How an upstream is chosen.
    pub policy: PolicyKind,
    /// How the share of calls is computed that leave the data centre, or `None` if the cost of each
    /// upstream decides.
    pub remote: Option<RemoteTuning>,
    /// The timeouts that apply until the settings are read again.
    pub initial_timeouts: GateTimeouts,
    /// The key of the fingerprints of requests, the same on all VMs.
    pub fingerprint_key: FingerprintKey,
    /// How calls are admitted, sent to upstreams and answered.
    pub tuning: CallTuning,
}

/// What a probe is charged for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeCharge {
    /// The slot time that it may have used.
    SlotTime,
    /// One unit, because the budget counts probes.
    Count,
}

/// How calls are admitted, sent to upstreams and answered.
#[derive(Clone, Debug)]
pub struct CallTuning {
    /// Whether health checks of upstreams precede a call if there is no recent evidence on them.
    pub precheck: bool,
    /// An upstream without contact for this long is probed in the background. With `None`,
    /// upstreams are probed only by the health checks before calls.
    pub probe_after: Option<ClockSpan>,
    /// Whether the gateway replaces an upstream's refusal, if it proves that the call was not run,
    /// by a refusal of its own, which says when to retry.
    pub replaces_refusals: bool,
    /// Answers of up to this many bytes are buffered completely before they are forwarded. With
    /// zero, every answer is forwarded while it arrives.
    pub buffered_answer_bytes: usize,
    /// What a probe is charged for.
    pub probe_charge: ProbeCharge,
    /// The retry delay in refusals if no better estimate is known.
    pub retry_after: ClockSpan,
    /// The adaptive limits of calls in flight.
    pub limits: AdaptiveTuning,
    /// The queue of calls that wait for a slot.
    pub queue: QueueTuning,
    /// The detection of requests that crash upstreams.
    pub suspects: SuspectTuning,
    /// The mechanisms that a test has turned off.
    pub disabled: Vec<Mechanism>,
}

impl Default for CallTuning {
    fn default() -> Self {
        Self {
            precheck: false,
            // Together with the longest wait for a round of probes, a draining upstream is noticed
            // within the 3 s after which it must get no new calls.
            probe_after: Some(ClockSpan::from_secs(2)),
            replaces_refusals: false,
            buffered_answer_bytes: 0,
            probe_charge: ProbeCharge::SlotTime,
            retry_after: ClockSpan::from_secs(1),
            limits: AdaptiveTuning::default(),
            queue: QueueTuning::default(),
            suspects: SuspectTuning::default(),
            disabled: Vec::new(),
        }
    }
}

impl CallTuning {
    /// Returns whether a mechanism is enabled. All are, outside of tests.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }

    /// Returns the tuning for upstreams on machines that run other work as well, and for callers
    /// that accept retry delays of less than a second.
    pub fn shared_machines() -> Self {
        Self {
            precheck: true,
            // The store reports draining upstreams, and a health check precedes each call, so that
            // the result of a probe between calls is outdated when the next call arrives.
            probe_after: None,
            replaces_refusals: true,
            // Longer than any usual answer; a VM holds few of them at a time.
            buffered_answer_bytes: 256 * 1024,
            probe_charge: ProbeCharge::Count,
            // About the time of one call to the fastest services.
            retry_after: ClockSpan::from_millis(100),
            limits: AdaptiveTuning { enabled: false, ..AdaptiveTuning::default() },
            queue: QueueTuning::short_retry_after(),
            suspects: SuspectTuning::unsharded(),
            disabled: Vec::new(),
        }
    }
}

impl GateOptions {
    /// Returns the options for the given settings. The incarnation is the start time, so that it
    /// grows with each start.
    pub fn from_settings(settings: &ProcessSettings, policy: PolicyKind) -> Self {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let cores = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
        Self {
            vm: VmIdentity {
                name: settings.vm_name.clone(),
                incarnation: started.as_millis() as u64,
                centre: settings.centre.clone(),
            },
            caller_address: settings.caller_address,
            workers: settings.worker_count.map_or(cores, NonZeroUsize::get),
            policy,
            remote: None,
            initial_timeouts: GateTimeouts::from_settings(settings),
            fingerprint_key: fingerprint_key(settings),
            tuning: CallTuning::default(),
        }
    }
}

/// Returns the key of the fingerprints of requests. It depends on the secret with which this VM signs,
/// which all VMs share.
pub fn fingerprint_key(settings: &ProcessSettings) -> FingerprintKey {
    FingerprintKey::new(settings.peer_secrets.first().map_or("", SharedSecret::as_str))
}

impl GateTimeouts {
    /// Returns the timeouts for the given settings.
    pub fn from_settings(settings: &ProcessSettings) -> Self {
        let timeouts = &settings.timeouts;
        Self {
            connect: timeouts.connect,
            request_head: timeouts.head,
            request_body: timeouts.body_idle,
            keep_alive: timeouts.caller_idle,
            connection_idle: timeouts.upstream_idle,
            drain_delay: timeouts.drain_delay,
            ..Self::default()
        }
    }

    /// Returns how long a connection of a caller may be idle. One timer of hyper covers idle
    /// connections and slow heads.
    pub fn caller_idle(&self) -> ClockSpan {
        self.request_head.min(self.keep_alive)
    }
}

/// The timeouts of the gateway. Each step of a call reads the current ones when it starts and keeps
/// them until its end.
#[derive(Clone, Debug)]
pub struct GateTimeouts {
    /// For establishing a connection to an upstream.
    pub connect: ClockSpan,
    /// For receiving a complete request head.
    pub request_head: ClockSpan,
    /// Between two parts of a request body.
    pub request_body: ClockSpan,
    /// For the next request on a caller's connection.
    pub keep_alive: ClockSpan,
    /// How recently a connection must have carried an answer to take non-idempotent work.
    pub verified_within: ClockSpan,
    /// How long an unused connection to an upstream is kept.
    pub connection_idle: ClockSpan,
    /// How long the VM still accepts connections while it shuts down, so that the platform's load
    /// balancer notices that it is not ready.
    pub drain_delay: ClockSpan,
}

impl Default for GateTimeouts {
    fn default() -> Self {
        Self {
            connect: ClockSpan::from_millis(250),
            request_head: ClockSpan::from_secs(10),
            request_body: ClockSpan::from_secs(10),
            keep_alive: ClockSpan::from_secs(60),
            verified_within: ClockSpan::from_secs(1),
            connection_idle: ClockSpan::from_secs(30),
            drain_delay: ClockSpan::from_secs(10),
        }
    }
}
