//! The credits that this VM holds, and which owner it asks for more.

use std::collections::VecDeque;

use base::prelude::*;

/// How long a credit may be used. Longer, and credits from before a window would be used in it.
const CREDIT_LIFETIME: ClockSpan = ClockSpan::from_millis(300);
/// A VM asks for the credits that it expects to use in this time.
const DEMAND_TIME_MS: f64 = 200.0;
/// The time constant of the mean rate of an account's calls.
const DEMAND_DECAY_MS: f64 = 1000.0;
/// The most credits that a VM asks for at once.
const MAX_WANTED: u32 = 16;
/// For this long, an owner that did not answer is not asked again. It has probably failed, and the
/// next one is known after a few seconds.
const SILENT_OWNER_TIME: ClockSpan = ClockSpan::from_millis(400);
/// For this long, a VM that does not own a part is not asked again.
const NOT_OWNER_TIME: ClockSpan = ClockSpan::from_millis(150);
/// Accounts that this VM has not served for this long are forgotten.
const IDLE_TIME: ClockSpan = ClockSpan::from_secs(30);
/// The number of accounts above which idle ones are forgotten.
const MAX_ACCOUNTS: usize = 1024;

/// What to do for a call that needs a credit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CreditStep {
    /// There is a credit for it.
    Run,
    /// Ask the owner in this data centre for so many credits.
    Ask {
        /// The data centre.
        centre: SharedName,
        /// How many credits are of use.
        count: u32,
    },
    /// The quota is used up. There may be a credit after `retry_in`.
    Exhausted {
        /// The time until then.
        retry_in: ClockSpan,
    },
    /// No owner answers, so that it is unknown whether there is a credit.
    Unknown {
        /// The time until an owner may be asked again.
        retry_in: ClockSpan,
    },
}

/// Why an owner is not asked for a time.
#[derive(Clone, Copy, Debug)]
struct PartRefusal {
    until: ClockTime,
    exhausted: bool,
}

#[derive(Debug, Default)]
struct AccountCredits {
    /// When each credit ends, oldest first.
    credits: VecDeque<ClockTime>,
    refusals: NameMap<PartRefusal>,
    /// Decaying number of recent calls.
    demand: f64,
    demand_at: ClockTime,
}

impl AccountCredits {
    fn take(&mut self, now: ClockTime) -> bool {
        while self.credits.front().is_some_and(|until| *until <= now) {
            self.credits.pop_front();
        }
        self.credits.pop_front().is_some()
    }

    fn add_demand(&mut self, now: ClockTime) {
        let elapsed = now.since(self.demand_at).as_millis_f64();
        self.demand = self.demand * (-elapsed / DEMAND_DECAY_MS).exp() + 1.0;
        self.demand_at = now;
    }

    fn wanted(&self) -> u32 {
        let expected = self.demand * DEMAND_TIME_MS / DEMAND_DECAY_MS;
        (expected as u32 + 1).min(MAX_WANTED)
    }
}

/// The credits of all accounts that this VM holds.
#[derive(Debug, Default)]
pub struct CreditStore {
    accounts: NameMap<AccountCredits>,
}

impl CreditStore {
    /// Counts a call of an account, so that the VM asks for as many credits as it will need.
    pub fn record_call(&mut self, account: &SharedName, now: ClockTime) {
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.retain(|_, credits| now.since(credits.demand_at) < IDLE_TIME);
        }
        self.accounts.entry(account.clone()).or_default().add_demand(now);
    }

    /// Returns the next step for a call of an account. `untried` are the data centres whose owners
    /// were not asked for this call, in the order in which they are asked, and `parts` are all.
    pub fn next_step(
        &mut self,
        account: &SharedName,
        untried: &[SharedName],
        parts: &[SharedName],
        now: ClockTime,
    ) -> CreditStep {
        let credits = self.accounts.entry(account.clone()).or_default();
        if credits.take(now) {
            return CreditStep::Run;
        }
        let count = credits.wanted();
        let is_refused = |centre: &&SharedName| {
            credits.refusals.get(*centre).is_some_and(|refusal| refusal.until > now)
        };
        if let Some(centre) = untried.iter().find(|centre| !is_refused(centre)) {
            return CreditStep::Ask { centre: centre.clone(), count };
        }
        let refusals: Vec<PartRefusal> =
            parts.iter().filter_map(|centre| credits.refusals.get(centre).copied()).collect();
        let exhausted = refusals.iter().filter(|refusal| refusal.exhausted);
        let waits = refusals.iter().map(|refusal| refusal.until.since(now));
        match exhausted.map(|refusal| refusal.until.since(now)).min() {
            Some(retry_in) => CreditStep::Exhausted { retry_in },
            None => CreditStep::Unknown { retry_in: waits.min().unwrap_or(SILENT_OWNER_TIME) },
        }
    }

    /// Records credits that were granted, or given back by a call that was not run.
    pub fn add(&mut self, account: &SharedName, count: u32, now: ClockTime) {
        let credits = self.accounts.entry(account.clone()).or_default();
        credits.credits.extend((0..count).map(|_| now + CREDIT_LIFETIME));
    }

    /// Records that an owner has no credit before `retry_in` has passed.
    pub fn record_exhausted(
        &mut self,
        account: &SharedName,
        centre: &SharedName,
        retry_in: ClockSpan,
        now: ClockTime,
    ) {
        self.refuse(account, centre, PartRefusal { until: now + retry_in, exhausted: true });
    }

    /// Records that the VM that was asked does not own the part.
    pub fn record_not_owner(&mut self, account: &SharedName, centre: &SharedName, now: ClockTime) {
        let until = now + NOT_OWNER_TIME;
        self.refuse(account, centre, PartRefusal { until, exhausted: false });
    }

    /// Records that an owner did not answer.
    pub fn record_silence(&mut self, account: &SharedName, centre: &SharedName, now: ClockTime) {
        let until = now + SILENT_OWNER_TIME;
        self.refuse(account, centre, PartRefusal { until, exhausted: false });
    }

    fn refuse(&mut self, account: &SharedName, centre: &SharedName, refusal: PartRefusal) {
        let credits = self.accounts.entry(account.clone()).or_default();
        credits.refusals.insert(centre.clone(), refusal);
    }
}
