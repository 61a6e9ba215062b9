//! Named constants of the decisions, with units. Tests switch single mechanisms off here.

use base::prelude::*;

/// When evidence about a peer is believed.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerTuning {
    /// Period of a VM's own life sign counter.
    pub beat_period: ClockSpan,
    /// Silence after which a peer is suspected gone.
    pub suspect_after: ClockSpan,
    /// Silence after which a peer is gone.
    pub gone_after: ClockSpan,
    /// Silence after which an unlisted peer is removed. Longer than the hour for which regions
    /// may be partitioned, so that their peers can be reached again without the membership list.
    pub forget_after: ClockSpan,
    /// How long a VM count is kept after it was last seen. Covers an hour's partition.
    pub count_hold: ClockSpan,
    /// Transit time assumed for counts reported by peers. Without it, peers that repeat each
    /// other's count could keep it alive for ever.
    pub delay_allowance: ClockSpan,
    /// Most peers kept; the one silent longest is removed first.
    pub max_peers: usize,
    /// Whether the silence that a peer states about third parties is taken into account.
    pub distrust_aged: bool,
}

impl Default for PeerTuning {
    fn default() -> Self {
        Self {
            beat_period: ClockSpan::from_millis(250),
            suspect_after: ClockSpan::from_secs(20),
            gone_after: ClockSpan::from_secs(60),
            forget_after: ClockSpan::from_secs(2 * 3600),
            count_hold: ClockSpan::from_secs(2 * 3600),
            delay_allowance: ClockSpan::from_secs(1),
            max_peers: 512,
            distrust_aged: true,
        }
    }
}

/// Who talks to whom, how often, and with how many bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipTuning {
    /// Period of exchanges without news.
    pub routine_period: ClockSpan,
    /// Period of exchanges while there is urgent news to pass on.
    pub urgent_period: ClockSpan,
    /// Peers that one urgent round is sent to. Zero switches rumours off.
    pub urgent_fanout: usize,
    /// Share of a period by which it varies in either direction, `0.0..1.0`.
    pub jitter: f64,
    /// Retransmissions of a news item by one VM, as a multiple of log2 of the VM count.
    /// `f64::INFINITY` switches the bound off.
    pub resend_factor: f64,
    /// Sends of one item by one VM while less than half of the burst is left.
    pub short_sends: u32,
    /// Age from which news found by anti-entropy gets half of the retransmissions.
    pub fresh_age: ClockSpan,
    /// Whether digests are exchanged and differing news is sent.
    pub anti_entropy: bool,
    /// Life signs of third parties in one routine message.
    pub beats_per_message: usize,
    /// Peer records in a message to a peer whose view of the peers differs.
    pub records_per_message: usize,
    /// Most bytes of payload in one message.
    pub message_bytes: usize,
    /// Bytes a second that one VM sends. The 10 KB/s of the design page covers both directions,
    /// and a VM receives on average what it sends.
    pub bytes_per_second: f64,
    /// Bytes that may be sent at once after a quiet time.
    pub burst_bytes: f64,
    /// Bytes around a request: HTTP head, JSON-RPC envelope, packet headers and acknowledgement.
    pub request_overhead: usize,
    /// Bytes around a response.
    pub response_overhead: usize,
    /// Most news items kept.
    pub max_news: usize,
    /// Times that a load sample is sent by the VM that took it.
    pub sample_sends: u32,
}

impl Default for GossipTuning {
    fn default() -> Self {
        Self {
            routine_period: ClockSpan::from_millis(1000),
            urgent_period: ClockSpan::from_millis(200),
            urgent_fanout: 2,
            jitter: 0.2,
            resend_factor: 2.5,
            short_sends: 5,
            fresh_age: ClockSpan::from_secs(10),
            anti_entropy: true,
            beats_per_message: 16,
            records_per_message: 8,
            message_bytes: 1200,
            bytes_per_second: 3800.0,
            burst_bytes: 9000.0,
            request_overhead: 320,
            response_overhead: 200,
            max_news: 2048,
            sample_sends: 3,
        }
    }
}

/// How peers that do not answer are tried again.
#[derive(Clone, Debug, PartialEq)]
pub struct ReconnectTuning {
    /// Failed exchanges in a row after which a peer is only tried with back-off. Higher than one
    /// because a single message may be lost.
    pub failures: u32,
    /// Back-off after the first failures; doubles with each further one.
    pub base: ClockSpan,
    /// Longest back-off.
    pub cap: ClockSpan,
    /// Reconnects of one VM that may be in progress at once. Zero switches reconnecting off.
    pub concurrent: usize,
    /// Least time between two reconnects of one VM.
    pub spacing: ClockSpan,
    /// Longest delay before a peer that others hear again is tried.
    pub hasten: ClockSpan,
    /// Time after which an exchange without an answer counts as failed.
    pub timeout: ClockSpan,
}

impl Default for ReconnectTuning {
    fn default() -> Self {
        Self {
            failures: 3,
            base: ClockSpan::from_secs(1),
            cap: ClockSpan::from_secs(30),
            concurrent: 2,
            spacing: ClockSpan::from_millis(500),
            hasten: ClockSpan::from_secs(10),
            timeout: ClockSpan::from_millis(500),
        }
    }
}

/// Start-up of a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct StartTuning {
    /// Longest random delay before the first exchange and the first reads of the store.
    pub jitter: ClockSpan,
    /// Longest time for which a VM waits for its peers before it serves.
    pub join_limit: ClockSpan,
    /// Time from the first call to a full share of calls.
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

/// Graceful shutdown of a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainTuning {
    /// Time for which the platform's load balancer may still send new calls after readiness is
    /// turned off.
    pub balancer_lag: ClockSpan,
    /// Longest wait for calls in flight after the last accept. Must exceed the longest deadline
    /// in the document, or calls are interrupted.
    pub finish_limit: ClockSpan,
    /// Longest wait for leases to be released.
    pub release_limit: ClockSpan,
}

impl Default for DrainTuning {
    fn default() -> Self {
        Self {
            balancer_lag: ClockSpan::from_secs(10),
            finish_limit: ClockSpan::from_secs(60),
            release_limit: ClockSpan::from_secs(2),
        }
    }
}

/// Who is sent hellos and other datagrams, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct MeshTuning {
    /// Silence after which a VM is sent a hello, and the longest time between two hellos to a VM
    /// that has not been given up. The deployment page sets it.
    pub hello_period: ClockSpan,
    /// Share of the period that is added at random, `0.0..1.0`. Otherwise both VMs of a pair send
    /// at once, and each hello is answered as well.
    pub hello_jitter: f64,
    /// Time until the first hello without an answer is repeated; doubles up to `retry_cap`.
    pub first_retry: ClockSpan,
    /// Longest time between two of the quick tries.
    pub retry_cap: ClockSpan,
    /// Tries before the longer period counts. They take just under the 3 s within which VMs have
    /// to know one another: with 10% of the datagrams lost, a question and its answer fail in 19%
    /// of the tries, so that 12 tries leave less than 1 pair in 10^8 without contact.
    pub quick_tries: u32,
    /// Hellos to a VM that is new or was lost, even if it is heard meanwhile: to hear a VM does not
    /// mean to be heard by it. All three are lost in 1 of 1,000 cases.
    pub introductions: u32,
    /// Silence that shows a broken network rather than lost datagrams: at least two hellos in each
    /// direction had no answer.
    pub lost_after: ClockSpan,
    /// Silence after which a VM is sent no messages other than hellos.
    pub give_up: ClockSpan,
    /// Longest time between two hellos to a VM that was given up.
    pub lost_period: ClockSpan,
    /// Time between two hellos to any of the VMs that were given up, as far as `lost_period` and
    /// `hello_period` allow. The first contact after a partition is then made in about 1 s, for
    /// 300 bytes a second.
    pub lost_spacing: ClockSpan,
    /// Most hellos at a time. 32 fit into a socket buffer of the usual 200 KB several times over,
    /// with the answers.
    pub hello_batch: usize,
    /// Silence after which a VM is forgotten. Covers an hour's partition.
    pub forget_after: ClockSpan,
    /// Most VMs kept; the one silent longest is removed first.
    pub max_vms: usize,
    /// Reads of the table of upstreams.
    pub read: ReadTuning,
}

impl Default for MeshTuning {
    fn default() -> Self {
        Self {
            hello_period: ClockSpan::from_secs(2),
            hello_jitter: 0.25,
            first_retry: ClockSpan::from_millis(100),
            retry_cap: ClockSpan::from_millis(250),
            quick_tries: 12,
            introductions: 3,
            lost_after: ClockSpan::from_secs(3),
            give_up: ClockSpan::from_secs(10),
            lost_period: ClockSpan::from_secs(30),
            lost_spacing: ClockSpan::from_millis(500),
            hello_batch: 32,
            forget_after: ClockSpan::from_secs(2 * 3600),
            max_vms: 512,
            read: ReadTuning::default(),
        }
    }
}

/// When a VM reads the table of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadTuning {
    /// Age of the newest known read before which no VM reads. The deployment page sets it.
    pub earliest: ClockSpan,
    /// Mean time from then on until the first of all VMs reads. Reads are then 0.5 s apart; within
    /// the 5 ms until a read is known elsewhere, 1 in 20 is made twice.
    pub mean_extra: ClockSpan,
    /// Start of the range from which the latest age is drawn. 1.8% of the intervals get that long.
    pub latest_from: ClockSpan,
    /// End of that range. Leaves time for the read itself within the second in which a VM without
    /// peers has to read.
    pub latest_to: ClockSpan,
    /// Delay after the first failed read; doubles with each further one.
    pub failure_base: ClockSpan,
    /// Longest delay after a failed read.
    pub failure_cap: ClockSpan,
    /// Share by which a delay after a failure varies in either direction, `0.0..1.0`, so that VMs
    /// do not return together after an outage.
    pub failure_jitter: f64,
    /// Time after which a read without a result no longer keeps the next one back. Longer than the
    /// store's 4 ms by far, and short against the drain bound of 2 s.
    pub answer_limit: ClockSpan,
}

impl Default for ReadTuning {
    fn default() -> Self {
        Self {
            earliest: ClockSpan::from_millis(400),
            mean_extra: ClockSpan::from_millis(100),
            latest_from: ClockSpan::from_millis(800),
            latest_to: ClockSpan::from_millis(950),
            failure_base: ClockSpan::from_millis(500),
            failure_cap: ClockSpan::from_secs(2),
            failure_jitter: 0.2,
            answer_limit: ClockSpan::from_secs(1),
        }
    }
}

/// Everything that a VM's membership decisions are tuned by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberTuning {
    /// Evidence about peers.
    pub peer: PeerTuning,
    /// Exchanges.
    pub gossip: GossipTuning,
    /// Peers that do not answer.
    pub reconnect: ReconnectTuning,
}
