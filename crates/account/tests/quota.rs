//! Quotas over all VMs: grants of owners, and the credits that a VM holds.

use account::prelude::*;
use base::prelude::*;
use proptest::prelude::*;
use world::prelude::*;

const QUOTA: AccountQuota = AccountQuota { rate: 30.0, burst: 30.0 };
const PARTS: u32 = 3;
/// The window, and the tolerance, in which the calls of an account are counted.
const WINDOW_MS: u64 = 5_000;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
const TICK_MS: u64 = 100;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn name(text: &str) -> SharedName {
    SharedName::from(text)
}

fn settled(now: u64) -> QuotaOwner {
    let mut owner = QuotaOwner::new();
    for millis in (0..=now).step_by(TICK_MS as usize) {
        owner.tick(true, at(millis));
    }
    owner
}

fn granted(owner: &mut QuotaOwner, wanted: u32, now: u64) -> u32 {
    match owner.grant(&name("school"), QUOTA, PARTS, wanted, true, at(now)) {
        CreditGrant::Granted(count) => count,
        CreditGrant::Exhausted { .. } | CreditGrant::NotOwner => 0,
    }
}

struct OwnerCase {
    name: &'static str,
    prepare: fn(&mut QuotaOwner),
    owns: bool,
    grants: bool,
}

/// Guards against a VM that grants credits although another one may have granted them: one that has
/// just started, was paused, is cut off, or has just become the owner.
#[test]
fn only_a_settled_owner_grants() {
    let cases = [
        OwnerCase { name: "settled", prepare: |_| {}, owns: true, grants: true },
        OwnerCase { name: "not the owner", prepare: |_| {}, owns: false, grants: false },
        OwnerCase {
            name: "started",
            prepare: |own| *own = QuotaOwner::new(),
            owns: true,
            grants: false,
        },
        OwnerCase {
            name: "cut off",
            prepare: |own| own.tick(false, at(9_950)),
            owns: true,
            grants: false,
        },
        OwnerCase {
            name: "new owner",
            prepare: |own| own.observe_members(1, |_| false, at(9_990)),
            owns: true,
            grants: false,
        },
    ];
    for case in cases {
        let mut owner = settled(9_900);
        (case.prepare)(&mut owner);
        let grant = owner.grant(&name("school"), QUOTA, PARTS, 1, case.owns, at(10_000));
        assert_eq!(matches!(grant, CreditGrant::Granted(_)), case.grants, "{}", case.name);
    }
    // Without ticks, the process was paused.
    assert_eq!(granted(&mut settled(10_000), 1, 11_500), 0);
}

/// What happens to the owner of a part.
#[derive(Clone, Debug)]
enum PartEvent {
    /// Calls ask for so many credits each; the answers to every `lost`-th request are lost.
    Ask { count: u32, lost: u32 },
    /// Nothing, for so many milliseconds.
    Pass(u64),
    /// The owner's process ends; a VM that has run for long takes over.
    Replace,
    /// All VMs end and start again.
    RestartAll,
    /// The owner is frozen. Another VM takes over, and the frozen one grants to itself when it wakes.
    Freeze,
}

fn events() -> impl Strategy<Value = Vec<(usize, PartEvent)>> {
    let event = prop_oneof![
        6 => (1_u32..40, 1_u32..5).prop_map(|(count, lost)| PartEvent::Ask { count, lost }),
        6 => (10_u64..900).prop_map(PartEvent::Pass),
        1 => Just(PartEvent::Replace),
        1 => Just(PartEvent::RestartAll),
        1 => Just(PartEvent::Freeze),
    ];
    prop::collection::vec((0..PARTS as usize, event), 1..200)
}

/// The owners of the parts, and when each credit was granted. Credits whose answer is lost are not
/// used, but the sum is checked as if they were.
struct Parts {
    owners: Vec<QuotaOwner>,
    now: u64,
    grants: Vec<(u64, u32)>,
}

impl Parts {
    fn pass(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + TICK_MS).min(until);
            self.owners.iter_mut().for_each(|owner| owner.tick(true, at(self.now)));
        }
    }

    fn ask(&mut self, part: usize, count: u32) {
        let granted = granted(&mut self.owners[part], count, self.now);
        self.grants.push((self.now, granted));
    }

    fn apply(&mut self, part: usize, event: PartEvent) {
        match event {
            PartEvent::Ask { count, lost } => {
                (0..count).for_each(|index| self.ask(part, 1 + index % lost));
            }
            PartEvent::Pass(span) => self.pass(span),
            PartEvent::Replace => {
                let mut next = settled(self.now);
                next.observe_members(1, |_| false, at(self.now));
                self.owners[part] = next;
            }
            PartEvent::RestartAll => self.owners.fill_with(QuotaOwner::new),
            PartEvent::Freeze => {
                let mut next = settled(self.now);
                next.observe_members(1, |_| false, at(self.now));
                let frozen = std::mem::replace(&mut self.owners[part], next);
                self.pass(2_000);
                let current = std::mem::replace(&mut self.owners[part], frozen);
                self.ask(part, 100);
                self.owners[part] = current;
            }
        }
    }

    /// Returns the most credits that were granted in any window.
    fn most(&self) -> u32 {
        let in_window = |start: u64| {
            let within = |(time, _): &&(u64, u32)| (start..start + WINDOW_MS).contains(time);
            self.grants.iter().filter(within).map(|(_, count)| count).sum()
        };
        self.grants.iter().map(|(time, _)| in_window(*time)).max().unwrap_or(0)
    }
}

/// Guards against owners that together grant more than the quota, whatever fails meanwhile.
#[test]
fn grants_never_exceed_the_quota() {
    let seconds = WINDOW_MS as f64 / 1000.0;
    let limit = (QUOTA.rate * seconds + QUOTA.burst) * (1.0 + OVERSHOOT) + SLACK;
    let config = ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() };
    let seed = [7; 32];
    let random = proptest::test_runner::TestRng::from_seed(
        proptest::test_runner::RngAlgorithm::ChaCha,
        &seed,
    );
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config, random);
    let check = |events: Vec<(usize, PartEvent)>| {
        let owners = (0..PARTS).map(|_| settled(10_000)).collect();
        let mut parts = Parts { owners, now: 10_000, grants: Vec::new() };
        for (part, event) in events {
            parts.apply(part, event);
        }
        prop_assert!(f64::from(parts.most()) <= limit, "{} of {limit}", parts.most());
        Ok(())
    };
    runner.run(&events(), check).expect("the quota holds");
}

/// Guards against an account that is refused below its quota although only its callers are uneven:
/// one part is asked for everything, and the others for what it does not grant.
#[test]
fn uneven_callers_get_the_whole_quota() {
    let mut owners: Vec<_> = (0..PARTS).map(|_| settled(10_000)).collect();
    let mut served = 0;
    let calls = (QUOTA.rate * 20.0) as u64;
    for index in 0..calls {
        let now = 10_000 + index * 20_000 / calls;
        owners.iter_mut().for_each(|owner| owner.tick(true, at(now)));
        served += u64::from(owners.iter_mut().any(|owner| granted(owner, 1, now) > 0));
    }
    assert!(served * 100 >= calls * 99, "{served} of {calls}");
}

fn ask(store: &mut CreditStore, untried: &[&str], now: u64) -> CreditStep {
    let untried: Vec<SharedName> = untried.iter().copied().map(name).collect();
    store.next_step(&name("school"), &untried, &[name("a"), name("b")], at(now))
}

/// Guards against a part that is asked again before it has credits, credits that are used after they
/// end or twice, and a refusal for the quota while it is only unknown whether there are credits.
#[test]
fn credits_are_used_once_and_parts_asked_in_turn() {
    let (mut store, account) = (CreditStore::default(), name("school"));
    let asks = |centre: &str| CreditStep::Ask { centre: name(centre), count: 1 };
    assert_eq!(ask(&mut store, &["a", "b"], 0), asks("a"));
    store.add(&account, 1, at(0));
    assert_eq!(ask(&mut store, &["a", "b"], 10), CreditStep::Run);
    assert_eq!(ask(&mut store, &["a", "b"], 10), asks("a"));
    store.add(&account, 1, at(10));
    assert_eq!(ask(&mut store, &["a", "b"], 400), asks("a"));
    store.record_exhausted(&account, &name("a"), ClockSpan::from_millis(90), at(400));
    assert_eq!(ask(&mut store, &["b"], 400), asks("b"));
    store.record_silence(&account, &name("b"), at(400));
    let retry_in = ClockSpan::from_millis(80);
    assert_eq!(ask(&mut store, &[], 410), CreditStep::Exhausted { retry_in });
    assert_eq!(ask(&mut store, &["a", "b"], 490), asks("a"));
    store.record_not_owner(&account, &name("a"), at(490));
    assert!(matches!(ask(&mut store, &[], 490), CreditStep::Unknown { .. }));
}

/// Guards against a VM that asks once for each call of a busy account.
#[test]
fn busy_accounts_ask_for_several_credits() {
    let (mut store, account) = (CreditStore::default(), name("school"));
    (0..100).for_each(|index| store.record_call(&account, at(index * 20)));
    let CreditStep::Ask { count, .. } = ask(&mut store, &["a"], 2_000) else { panic!("no ask") };
    assert!((8..=12).contains(&count), "{count}");
}
