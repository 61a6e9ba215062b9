//! Parameters of claims.

use base::prelude::*;

/// Safeguards of the protocol. All are on in production; a test turns one off to show that its
/// checks detect the resulting fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimGuards {
    /// A claim is written only if there is no row, or over a released row of a known version.
    pub conditional_claim: bool,
    /// If the outcome of writing a claim is unknown, the row is read before work is dispatched.
    pub read_back: bool,
    /// An attempt whose caller was answered "not run" is never dispatched.
    pub no_dispatch_after_refusal: bool,
    /// A claim of a VM that is no longer on the membership list becomes unknown. Another VM does
    /// not run its work.
    pub no_takeover: bool,
    /// A request whose key was used with another method, path or body is refused.
    pub body_check: bool,
    /// The state unknown is not replaced by the state released.
    pub unknown_is_final: bool,
}

impl ClaimGuards {
    /// All safeguards.
    pub const ALL: Self = Self {
        conditional_claim: true,
        read_back: true,
        no_dispatch_after_refusal: true,
        no_takeover: true,
        body_check: true,
        unknown_is_final: true,
    };
}

/// Parameters of claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimTuning {
    /// The most claims and outcomes in one transaction.
    pub group_size: usize,
    /// The most claims and outcomes that wait for a transaction. Further claims are refused at
    /// once. Without this limit, claims reached their deadline during their transactions, and of
    /// 900 claims a second against a limit of 640 only 337 were dispatched.
    pub queue_limit: usize,
    /// How long a claim waits for others to share its transaction.
    pub claim_linger: ClockSpan,
    /// How long an outcome waits for others to share its transaction. Its caller has been answered
    /// before.
    pub outcome_linger: ClockSpan,
    /// The longest time that a request waits for its claim or for the answer to an earlier request.
    pub request_wait: ClockSpan,
    /// The time between reads of a claim that another VM holds.
    pub poll_gap: ClockSpan,
    /// The mean time between reads that check whether the store is up again, and from a failed call
    /// to the store to its retry.
    pub retry_gap: ClockSpan,
    /// How long an incarnation has to be missing from the membership list before its claims become
    /// unknown. Twice the lag of the list.
    pub gone_after: ClockSpan,
    /// The most keys in memory whose outcome is not stored yet. Cached answers have a limit of
    /// their own, of the same size.
    pub key_limit: usize,
    /// The most bytes of answers that this VM holds in memory.
    pub answer_bytes: usize,
    /// The largest answer body in bytes that is stored in a row.
    pub inline_bytes: usize,
    /// How long a stored answer stays in memory for repeats.
    pub cache_span: ClockSpan,
    /// How long the rows of ended claims are stored. A repeat after that runs again.
    pub retention: ClockSpan,
    /// The safeguards.
    pub guards: ClaimGuards,
}

impl Default for ClaimTuning {
    fn default() -> Self {
        Self {
            group_size: 64,
            // 8 groups, which take 0.4 s at 20 transactions a second.
            queue_limit: 512,
            claim_linger: ClockSpan::from_millis(3),
            outcome_linger: ClockSpan::from_millis(50),
            request_wait: ClockSpan::from_secs(2),
            poll_gap: ClockSpan::from_millis(200),
            retry_gap: ClockSpan::from_millis(200),
            gone_after: ClockSpan::from_secs(60),
            key_limit: 10_000,
            answer_bytes: 4 * 1024 * 1024,
            inline_bytes: 4 * 1024,
            cache_span: ClockSpan::from_secs(30),
            retention: ClockSpan::from_secs(7 * 24 * 3600),
            guards: ClaimGuards::ALL,
        }
    }
}
