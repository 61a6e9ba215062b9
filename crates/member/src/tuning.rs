//! Parameters of start-up, shutdown, membership and the reads of the table of upstreams. Tests use
//! them to turn parts of these off.

use base::prelude::*;

/// Parameters of the start-up of a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct StartTuning {
    /// Longest random delay before the first datagrams and the first reads of the store.
    pub jitter: ClockSpan,
    /// Longest time for which a VM waits for its peers before it is ready.
    pub join_limit: ClockSpan,
    /// Time from readiness to a full share of calls.
    pub warmup: ClockSpan,
    /// Share of calls at the start of the warm-up, `0.0..1.0`.
    pub first_share: f64,
}

impl Default for StartTuning {
    fn default() -> Self {
        Self {
            jitter: ClockSpan::from_millis(2000),
            join_limit: ClockSpan::from_millis(5000),
            warmup: ClockSpan::from_secs(30),
            first_share: 0.1,
        }
    }
}

/// Parameters of the graceful shutdown of a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct ShutdownTuning {
    /// Time for which the platform's load balancer may still send new calls after the VM reports
    /// that it is not ready.
    pub drain_delay: ClockSpan,
    /// Longest wait for calls in flight after the VM has stopped accepting calls. Must exceed the
    /// longest deadline in the environment's document, or calls are interrupted.
    pub finish_limit: ClockSpan,
    /// Longest wait for the leases on deferred work to be released.
    pub release_limit: ClockSpan,
}

impl Default for ShutdownTuning {
    fn default() -> Self {
        Self {
            drain_delay: ClockSpan::from_secs(10),
            finish_limit: ClockSpan::from_secs(60),
            release_limit: ClockSpan::from_secs(2),
        }
    }
}

/// Parameters of the hellos that VMs exchange and of the broadcasts that they pass on.
///
/// "Contact" is a datagram or broadcast received from a VM, and "silence" the time since the last
/// one. A VM is *lost* after [`lost_after`](Self::lost_after) without an answer to several hellos:
/// it gets no messages other than hellos. A VM is *given up* after
/// [`give_up_after`](Self::give_up_after): it gets hellos only rarely.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipTuning {
    /// Silence after which a neighbour is sent a hello, and the longest time between two hellos to
    /// a VM that does not answer and has not been given up. Required by
    /// `docs/platform-deployment.md`.
    pub hello_period: ClockSpan,
    /// This duration times the number of known VMs is the mean silence after which a VM that is not
    /// a neighbour is sent a hello. Because the silence grows with their number, a VM exchanges
    /// three hellos a second with all of them together, which is 0.7 KB/s, whatever their number.
    pub hello_spacing: ClockSpan,
    /// Largest random share that is added to the time between hellos, `0.0..1.0`. Without it, both
    /// VMs of a pair send hellos at the same time, and each of the two hellos is answered.
    pub hello_jitter: f64,
    /// Time after which the first unanswered hello is repeated; doubles up to `retry_cap`.
    pub first_retry: ClockSpan,
    /// Longest time between two of the first `fast_tries` hellos.
    pub retry_cap: ClockSpan,
    /// Unanswered hellos that are sent at intervals of up to `retry_cap` before `hello_period`
    /// applies. They take just under the 3 s within which VMs must have contact with one another.
    /// With 10% of the datagrams lost, a hello or its answer is lost in 19% of the tries, so that
    /// 12 tries leave less than 1 pair in 10^8 without contact.
    pub fast_tries: u32,
    /// Hellos to a VM that is new or was lost, even after contact in the meantime, because
    /// datagrams may arrive in one direction only. All three are lost in 1 of 1,000 cases.
    pub initial_hellos: u32,
    /// Silence after which a VM is lost if `lost_tries` hellos had no answer. A silence of this
    /// length indicates a broken network rather than single lost datagrams.
    pub lost_after: ClockSpan,
    /// Unanswered hellos after which a VM is lost. With 10% of the datagrams lost, six hellos or
    /// their answers are lost in 1 of 20,000 cases. Six hellos take 1.05 s.
    pub lost_tries: u32,
    /// Time after which the broadcast about a lost VM is repeated. If a third of the VMs fail at
    /// once, the first broadcast goes to neighbours of which some have failed; these are replaced
    /// before the second one.
    pub loss_repeat: ClockSpan,
    /// Time without an answer after which a VM is given up, and silence after which a VM that is
    /// shutting down is lost.
    pub give_up_after: ClockSpan,
    /// Longest time between two hellos to a VM that was given up.
    pub given_up_period: ClockSpan,
    /// Time between two hellos to any of the VMs that were given up. The time between two hellos to
    /// one of them stays between `hello_period` and `given_up_period`. The first contact after a
    /// partition is then made in about 1 s, for 300 bytes a second.
    pub given_up_spacing: ClockSpan,
    /// Neighbours in the own data centre, to which a VM passes broadcasts on: its predecessor and
    /// successor on each ring, an order of the VMs by a hash of their names. With 10% of the
    /// datagrams lost, a VM misses fewer than 1 in 1,000 messages (`docs/decisions/membership.md`).
    pub neighbours: usize,
    /// VMs of each data centre that pass broadcasts on to a given other one. With 10% of the
    /// datagrams lost, all three lose 1 in 1,000 messages, and each data centre gets them from every
    /// other one.
    pub bridges: usize,
    /// Up to this number of known VMs, a VM sends hellos to each new one. With more, it relies on
    /// the lists of its peers and on broadcasts: hellos between all of 472 VMs took 0.2 GB between
    /// data centres at the start, and most of the processor time of small VMs.
    pub direct_vms: usize,
    /// After its first contact with a peer, a VM asks one for the VMs that it knows, this often
    /// within a few seconds. What one VM knows reaches about twice as many with each round.
    pub query_rounds: u32,
    /// Mean time between these requests.
    pub query_spacing: ClockSpan,
    /// This duration for each known VM is the longest delay of the broadcast with which a VM tells
    /// all others that it is alive, after its start or after a partition. Small VMs pass on 200 of
    /// them a second.
    pub presence_spacing: ClockSpan,
    /// Mean time between later ones, which only correct what broadcasts have missed.
    pub query_period: ClockSpan,
    /// Time after its start for which a VM raises its incarnation if its peers know a higher one.
    /// After that time it does not, because a process that was suspended, replaced and then resumed
    /// must not compete with its successor.
    pub raise_window: ClockSpan,
    /// Most hellos at a time. 32 hellos and their answers fit into the usual socket buffer of
    /// 200 KB several times over.
    pub hello_batch: usize,
    /// Silence after which a VM is removed from the table. Longer than a partition of one hour.
    pub forget_after: ClockSpan,
    /// Most VMs in the table; the one with the longest silence is removed first.
    pub max_vms: usize,
    /// This duration times the number of known VMs is the mean time for which a VM that starts asks
    /// its peers before it reads the store.
    pub start_spacing: ClockSpan,
    /// The longest such time is this duration for each known VM, which is about the time in which
    /// what one VM has read reaches the others, and `start_delay_max` at most. A VM that starts
    /// serves no calls meanwhile.
    pub start_delay_step: ClockSpan,
    /// The longest such time, whatever the number of VMs.
    pub start_delay_max: ClockSpan,
    /// Parameters of the reads of the table of upstreams.
    pub read: ReadTuning,
}

impl Default for MembershipTuning {
    fn default() -> Self {
        Self {
            hello_period: ClockSpan::from_secs(2),
            hello_spacing: ClockSpan::from_millis(500),
            hello_jitter: 0.25,
            first_retry: ClockSpan::from_millis(100),
            retry_cap: ClockSpan::from_millis(250),
            fast_tries: 12,
            initial_hellos: 3,
            lost_after: ClockSpan::from_secs(3),
            lost_tries: 6,
            loss_repeat: ClockSpan::from_secs(1),
            give_up_after: ClockSpan::from_secs(10),
            given_up_period: ClockSpan::from_secs(30),
            given_up_spacing: ClockSpan::from_millis(500),
            neighbours: 4,
            bridges: 3,
            direct_vms: 32,
            query_rounds: 6,
            query_spacing: ClockSpan::from_millis(500),
            presence_spacing: ClockSpan::from_millis(5),
            query_period: ClockSpan::from_secs(60),
            raise_window: ClockSpan::from_secs(10),
            hello_batch: 32,
            forget_after: ClockSpan::from_secs(2 * 3600),
            max_vms: 2048,
            start_spacing: ClockSpan::from_millis(100),
            start_delay_step: ClockSpan::from_millis(10),
            start_delay_max: ClockSpan::from_millis(1200),
            read: ReadTuning::default(),
        }
    }
}

/// Parameters of the reads of the table of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadTuning {
    /// Longest duration of a long poll of the designated reader: the store answers when there is a
    /// change or when this time is over. Zero if the store answers at once.
    pub long_poll: ClockSpan,
    /// Smallest age, of the newest read by any VM that this one knows of, at which this VM reads.
    /// Required by `docs/platform-deployment.md`.
    pub min_age: ClockSpan,
    /// Mean time from `min_age` to the read of the first VM. Reads are then 0.5 s apart. 1 in 20 is
    /// made twice, because it takes 5 ms until the other VMs know of a read.
    pub mean_extra_age: ClockSpan,
    /// Start of the range from which the maximum age is drawn. 1.8% of the times between reads
    /// reach this length.
    pub max_age_from: ClockSpan,
    /// End of that range. A VM without peers has to read once a second, and this leaves time for
    /// the read itself.
    pub max_age_to: ClockSpan,
    /// Delay after the first failed read; doubles with each further failure up to `failure_cap`.
    pub failure_base: ClockSpan,
    /// Longest delay after a failed read, before jitter.
    pub failure_cap: ClockSpan,
    /// Share by which a delay after a failure varies in either direction, `0.0..1.0`, so that VMs
    /// do not return together after an outage.
    pub failure_jitter: f64,
    /// Time after which an unfinished read no longer delays the next one. Much longer than the 4 ms
    /// of a read, and short compared to the 2 s after which no call may reach a draining upstream.
    pub read_timeout: ClockSpan,
}

impl Default for ReadTuning {
    fn default() -> Self {
        Self {
            long_poll: ClockSpan::ZERO,
            min_age: ClockSpan::from_millis(400),
            mean_extra_age: ClockSpan::from_millis(100),
            max_age_from: ClockSpan::from_millis(800),
            max_age_to: ClockSpan::from_millis(950),
            failure_base: ClockSpan::from_millis(500),
            failure_cap: ClockSpan::from_secs(2),
            failure_jitter: 0.2,
            read_timeout: ClockSpan::from_secs(1),
        }
    }
}

impl ReadTuning {
    /// Returns the parameters for long polls of up to `long_poll`. The other VMs read only if the
    /// designated reader has reported no read for longer than that.
    pub fn for_long_poll(long_poll: ClockSpan) -> Self {
        Self {
            long_poll,
            min_age: long_poll + ClockSpan::from_millis(200),
            max_age_from: long_poll + ClockSpan::from_millis(450),
            max_age_to: long_poll + ClockSpan::from_millis(600),
            ..Self::default()
        }
    }
}
