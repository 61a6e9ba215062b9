//! Parameters of the decisions about suspects.

use base::prelude::*;

/// Parameters of the suspect table.
#[derive(Clone, Debug)]
pub struct SuspectTuning {
    /// Number of connections lost within `loss_span` that indicate a crash together with one
    /// refused connect.
    pub losses: usize,
    /// Number of refused connects that indicate a crash together with a single lost connection. A
    /// VM may hold only one connection to an upstream and would otherwise never detect its crashes.
    pub refusals: usize,
    /// Time within which lost connections count together.
    pub loss_span: ClockSpan,
    /// Longest time from a lost connection to the refused connects that follow it.
    pub refusal_span: ClockSpan,
    /// How long a fingerprint is suspected after the newest crash.
    pub suspect_span: ClockSpan,
    /// How long a fingerprint stays confirmed after the newest crash or renewal.
    pub confirmed_span: ClockSpan,
    /// A confirmed fingerprint may run in isolation once its newest crash is older than this.
    /// Longer than `confirmed_span`; each such test can crash an upstream.
    pub retest_span: ClockSpan,
    /// A refused request renews the confirmed status, at most once in this time.
    pub renewal_span: ClockSpan,
    /// No isolated run starts sooner than this after a crash, so that simultaneous crashes by
    /// copies of the same request on other VMs become known first. Longer than the time in which
    /// notices reach every VM, shorter than the restart of an upstream.
    pub settle_span: ClockSpan,
    /// Crashes of one upstream that are reported within this time of each other are one crash.
    pub same_crash_span: ClockSpan,
    /// An isolated run that has not ended after this time no longer blocks the next one.
    pub isolation_span: ClockSpan,
    /// Number of successful isolated runs after which a suspect is cleared.
    pub clear_runs: u32,
    /// Number of successful runs after which a fingerprint is proven.
    pub proven_runs: u32,
    /// A fingerprint is no longer proven when its last successful run is older than this.
    pub proven_span: ClockSpan,
    /// Maximum number of fingerprints in each of the two generations of the table of proven ones.
    pub proven_entries: usize,
    /// Whether a fingerprint that is not proven may run only on the upstreams of its shuffle shard.
    /// Where every request has a path of its own, nearly all fingerprints are new and would be
    /// limited to a few upstreams.
    pub shard_unproven: bool,
    /// Size of the shard of a suspect, and of every shard within `guard_span` of a crash of an
    /// upstream of the service.
    pub guarded_shard_size: usize,
    /// Size of the shard otherwise. Copies of a request that arrive through all VMs at once crash
    /// no more upstreams than these, which the limit of 3 crashes allows.
    pub shard_size: usize,
    /// How long shards have `guarded_shard_size` after a crash of an upstream of the service.
    pub guard_span: ClockSpan,
    /// An upstream whose crash is older than `settle_span` is left out of shards until the crash is
    /// older than this or a call on the upstream succeeds.
    pub down_span: ClockSpan,
    /// Maximum number of records in the table. The oldest cleared ones are evicted first.
    pub entries: usize,
    /// Maximum number of records in a copy for a VM that starts. With up to eight crashes of about
    /// 90 bytes each, a copy has less than 256 KiB before compression.
    pub copied: usize,
}

impl Default for SuspectTuning {
    fn default() -> Self {
        Self {
            losses: 2,
            refusals: 2,
            loss_span: ClockSpan::from_millis(200),
            refusal_span: ClockSpan::from_secs(1),
            suspect_span: ClockSpan::from_secs(600),
            confirmed_span: ClockSpan::from_secs(3600),
            retest_span: ClockSpan::from_secs(7200),
            renewal_span: ClockSpan::from_secs(60),
            settle_span: ClockSpan::from_secs(1),
            same_crash_span: ClockSpan::from_secs(1),
            isolation_span: ClockSpan::from_secs(30),
            clear_runs: 3,
            proven_runs: 3,
            proven_span: ClockSpan::from_secs(600),
            proven_entries: 16_384,
            shard_unproven: true,
            guarded_shard_size: 2,
            shard_size: 3,
            guard_span: ClockSpan::from_secs(60),
            down_span: ClockSpan::from_secs(30),
            entries: 4096,
            copied: 256,
        }
    }
}

impl SuspectTuning {
    /// Returns parameters for interfaces on which nearly every request is new. Copies of a request
    /// that arrive before the notice of a crash may then crash any upstream.
    pub fn unsharded() -> Self {
        Self { shard_unproven: false, ..Self::default() }
    }
}
