//! What one table concludes from evidence, and start-up and shutdown.

use std::net::SocketAddr;

use base::prelude::*;
use member::message::PeerReport;
use member::prelude::*;
use world::prelude::*;

#[allow(dead_code)]
mod model;

use model::ModelNews;

const START: ClockTime = ClockTime::from_millis(10_000_000);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7400))
}

fn identity(name: &str, incarnation: u64) -> VmIdentity {
    VmIdentity { name: name.into(), incarnation, centre: "north-a".into() }
}

fn table(tuning: PeerTuning) -> PeerTable {
    let tuning = MemberTuning { peer: tuning, ..MemberTuning::default() };
    PeerTable::new(identity("own", 5), address(1), tuning, START)
}

fn notice(name: &str, incarnation: u64, phase: VmPhase, beat: u64, silent_ms: u64) -> PeerNotice {
    let identity = identity(name, incarnation);
    PeerNotice { identity, address: address(2), phase, beat, silent_ms }
}

enum Evidence {
    /// The VM itself says so.
    Own(VmPhase, u64, u64),
    /// Another VM says so, after the VM was silent for some milliseconds.
    Other(VmPhase, u64, u64, u64),
    /// The list names it, with incarnation, whether it is leaving, and the list's age in seconds.
    Listed(u64, bool, u64),
    /// The list does not name it.
    Unlisted,
    /// Seconds pass.
    Wait(u64),
}

fn deliver(table: &PeerTable, message: PeerReport, now: ClockTime) -> Vec<PeerEvent> {
    let plan: GossipPlan<ModelNews> =
        GossipPlan::new(GossipTuning::default(), ClockSpan::from_secs(1), now);
    let message = ExchangeMessage { peers: message, digest: None, held: None, news: Vec::new() };
    plan.answer(table, &message, now).1.events
}

fn report(sender: PeerNotice, notices: Vec<PeerNotice>) -> PeerReport {
    PeerReport { sender, notices, beats: Vec::new(), held: None, digest: None }
}

impl Evidence {
    fn apply(&self, table: &PeerTable, now: &mut ClockTime) {
        match *self {
            Self::Own(phase, incarnation, beat) => {
                let sender = notice("peer", incarnation, phase, beat, 0);
                deliver(table, report(sender, Vec::new()), *now);
            }
            Self::Other(phase, incarnation, beat, silent_ms) => {
                let sender = notice("other", 1, VmPhase::Live, now.as_millis(), 0);
                let about = notice("peer", incarnation, phase, beat, silent_ms);
                deliver(table, report(sender, vec![about]), *now);
            }
            Self::Listed(incarnation, leaving, age) => {
                let identity = identity("peer", incarnation);
                let members = vec![ListedVm { identity, address: address(2), leaving }];
                table.apply_list(&MembershipList { members, age: ClockSpan::from_secs(age) }, *now);
            }
            Self::Unlisted => {
                table.apply_list(&MembershipList::default(), *now);
            }
            Self::Wait(seconds) => *now = *now + ClockSpan::from_secs(seconds),
        }
    }
}

struct EvidenceCase {
    name: &'static str,
    evidence: Vec<Evidence>,
    state: Option<PeerState>,
    incarnation: u64,
}

/// Guards against conclusions that trust the lagging list, or an old report, more than a VM.
#[test]
fn states_follow_the_evidence() {
    use Evidence::{Listed, Other, Own, Unlisted, Wait};
    use VmPhase::{Joining, Leaving, Live};
    let case = |name, evidence, state, incarnation| EvidenceCase {
        name,
        evidence,
        state: Some(state),
        incarnation,
    };
    let cases = [
        case("listed, not yet heard", vec![Listed(1, false, 0)], PeerState::Joining, 1),
        case("says it is joining", vec![Own(Joining, 1, 1)], PeerState::Joining, 1),
        case("heard, not listed", vec![Own(Live, 1, 1), Unlisted], PeerState::Live, 1),
        case(
            "leaving although listed",
            vec![Own(Live, 1, 1), Own(Leaving, 1, 2), Listed(1, false, 0)],
            PeerState::Leaving,
            1,
        ),
        case(
            "leave is not undone by an old message",
            vec![Own(Leaving, 1, 2), Other(Live, 1, 1, 0)],
            PeerState::Leaving,
            1,
        ),
        case(
            "listed as leaving, heard since",
            vec![Listed(1, true, 30), Own(Live, 1, 1)],
            PeerState::Live,
            1,
        ),
        case(
            "listed as leaving, not heard since",
            vec![Own(Live, 1, 1), Wait(5), Listed(1, true, 0)],
            PeerState::Leaving,
            1,
        ),
        case("silent", vec![Own(Live, 1, 1), Wait(20)], PeerState::Suspected, 1),
        case(
            "silent for long although listed",
            vec![Own(Live, 1, 1), Wait(60), Listed(1, false, 0)],
            PeerState::Gone,
            1,
        ),
        case(
            "repeated life sign does not count",
            vec![Own(Live, 1, 1), Wait(20), Other(Live, 1, 1, 0)],
            PeerState::Suspected,
            1,
        ),
        case(
            "new life sign counts",
            vec![Own(Live, 1, 1), Wait(20), Other(Live, 1, 2, 0)],
            PeerState::Live,
            1,
        ),
        case("restarted", vec![Own(Leaving, 1, 9), Own(Joining, 2, 1)], PeerState::Joining, 2),
        case(
            "predecessor is ignored",
            vec![Own(Live, 2, 1), Own(Leaving, 1, 9), Listed(1, true, 0)],
            PeerState::Live,
            2,
        ),
        case(
            "restart on the list",
            vec![Own(Live, 1, 9), Listed(2, false, 0)],
            PeerState::Joining,
            2,
        ),
        EvidenceCase {
            name: "reported by a VM that was out of touch",
            evidence: vec![Other(Live, 1, 9, 70_000)],
            state: None,
            incarnation: 0,
        },
    ];
    for case in cases {
        let table = table(PeerTuning::default());
        let mut now = START;
        for evidence in &case.evidence {
            evidence.apply(&table, &mut now);
        }
        let view = table.view("peer", now);
        assert_eq!(view.as_ref().map(|view| view.state), case.state, "{}", case.name);
        let incarnation = view.map_or(0, |view| view.identity.incarnation);
        assert_eq!(incarnation, case.incarnation, "{}", case.name);
    }
}

/// Shows that the silence stated by peers is needed: without it, a VM that is long gone is live.
#[test]
fn aged_reports_are_believed_when_distrust_is_off() {
    let table = table(PeerTuning { distrust_aged: false, ..PeerTuning::default() });
    let mut now = START;
    Evidence::Other(VmPhase::Live, 1, 9, 70_000).apply(&table, &mut now);
    assert_eq!(table.view("peer", now).map(|view| view.state), Some(PeerState::Live));
}

/// Guards against a VM that peers ignore because its wall clock was set back, and against two
/// processes under one name.
#[test]
fn own_incarnation_is_defended() {
    let table = table(PeerTuning::default());
    let mut own = notice("own", 9, VmPhase::Live, 1, 0);
    own.address = address(1);
    let other = notice("other", 1, VmPhase::Live, 1, 0);
    let events = deliver(&table, report(other.clone(), vec![own.clone()]), START);
    assert!(events.contains(&PeerEvent::IncarnationRaised(10)));
    assert_eq!(table.identity().incarnation, 10);
    own.identity.incarnation = 11;
    own.address = address(9);
    let events = deliver(&table, report(other, vec![own.clone()]), START);
    assert!(events.contains(&PeerEvent::Superseded(own.identity)));
}

/// Guards against a new VM that overspends global budgets because it has not heard of all VMs,
/// and against peers that keep a count alive for ever by repeating it.
#[test]
fn counts_are_passed_on_and_expire() {
    let own = table(PeerTuning::default());
    let sender = notice("other", 1, VmPhase::Live, 1, 0);
    let mut message = report(sender, Vec::new());
    message.held = Some(HeldCount { count: 40, age_ms: 3_600_000 });
    deliver(&own, message, START);
    assert_eq!(own.vm_count(START), 40);
    let hold = PeerTuning::default().count_hold;
    assert_eq!(own.vm_count(START + hold), 2, "the two VMs known at the start");
    assert_eq!(own.vm_count(START + hold + hold + ClockSpan::from_secs(60)), 1);

    let tables = [table(PeerTuning::default()), table(PeerTuning::default())];
    let plans: [GossipPlan<ModelNews>; 2] = std::array::from_fn(|_| {
        GossipPlan::new(GossipTuning::default(), ClockSpan::from_secs(1), START)
    });
    let members = (0..40)
        .map(|vm| ListedVm {
            identity: identity(&format!("vm-{vm}"), 1),
            address: address(vm),
            leaving: false,
        })
        .collect();
    tables[0].apply_list(&MembershipList { members, age: ClockSpan::ZERO }, START);
    tables[0].apply_list(&MembershipList::default(), START + ClockSpan::from_millis(1));
    let target = ExchangeTarget {
        name: "other".into(),
        address: address(2),
        purpose: ExchangePurpose::Routine,
    };
    let mut now = START;
    for step in 0..1000 {
        now = now + ClockSpan::from_secs(10);
        let (from, to) = (step % 2, (step + 1) % 2);
        let request = plans[from].request(&tables[from], &target, now);
        plans[to].answer(&tables[to], &request, now + ClockSpan::from_millis(500));
    }
    assert!(tables.iter().all(|table| table.vm_count(now) < 40));
}

enum DrainStep {
    Event(DrainEvent),
    Wait(u64),
}

struct DrainCase {
    name: &'static str,
    steps: Vec<DrainStep>,
    actions: Vec<DrainAction>,
}

/// Guards against a shutdown that interrupts a call in flight, stops accepting while the load
/// balancer still sends calls, or never ends.
#[test]
fn drain_follows_its_order() {
    use DrainAction::{
        AnnounceLeaving, CloseIdle, Exit, KeepAccepting, ReadinessOff, ReleaseLeases, StopAccepting,
    };
    use DrainEvent::{InFlight, LeasesReleased, Signal, Tick};
    use DrainStep::{Event, Wait};
    let tuning = DrainTuning::default();
    let lag = tuning.balancer_lag.as_millis() / 1000;
    let begun = [ReadinessOff, AnnounceLeaving, KeepAccepting(START + tuning.balancer_lag)];
    let stopped = [begun.as_slice(), &[StopAccepting, CloseIdle]].concat();
    let case = |name, steps, before: &[DrainAction], after: &[DrainAction]| DrainCase {
        name,
        steps,
        actions: [before, after].concat(),
    };
    let cases = [
        case("no signal", vec![Event(InFlight(0)), Wait(100), Event(Tick)], &[], &[]),
        case(
            "accepts during the balancer's lag",
            vec![Event(Signal), Event(InFlight(0)), Wait(lag - 1), Event(Tick)],
            &begun,
            &[],
        ),
        case(
            "an idle count from before the last accept is not enough",
            vec![Event(Signal), Event(InFlight(0)), Wait(lag), Event(Tick), Event(Tick)],
            &stopped,
            &[],
        ),
        case(
            "waits for calls in flight",
            vec![
                Event(Signal),
                Wait(lag),
                Event(Tick),
                Event(InFlight(2)),
                Wait(30),
                Event(Tick),
                Event(InFlight(0)),
                Event(LeasesReleased),
                Event(Tick),
            ],
            &stopped,
            &[ReleaseLeases, Exit { interrupted: 0 }],
        ),
        case(
            "limits end it",
            vec![
                Event(Signal),
                Wait(lag),
                Event(InFlight(2)),
                Wait(60),
                Event(Tick),
                Wait(2),
                Event(Tick),
            ],
            &stopped,
            &[ReleaseLeases, Exit { interrupted: 2 }],
        ),
        case(
            "second signal",
            vec![Event(Signal), Event(InFlight(1)), Event(Signal), Event(Signal)],
            &begun,
            &[ReleaseLeases, Exit { interrupted: 1 }],
        ),
    ];
    for case in cases {
        let mut plan = DrainPlan::new(tuning.clone());
        let mut now = START;
        let mut actions = Vec::new();
        for step in case.steps {
            match step {
                Event(event) => actions.extend(plan.handle(event, now)),
                Wait(seconds) => now = now + ClockSpan::from_secs(seconds),
            }
        }
        assert_eq!(actions, case.actions, "{}", case.name);
    }
}

/// Guards against VMs that start together and act together, serve without a configuration, or
/// take a full share of calls while cold.
#[test]
fn start_is_spread_and_ramped() {
    let mut random = RandomSource::from_seed(3);
    let tuning = StartTuning::default();
    let mut firsts: Vec<u64> = (0..200)
        .map(|_| StartPlan::new(tuning.clone(), START, &mut random).first_at().as_millis())
        .collect();
    firsts.sort_unstable();
    let most = firsts.windows(21).map(|window| window[20] - window[0]).min();
    assert!(most.is_some_and(|span| span > 20), "20 of 200 starts within {most:?} ms");

    let own = table(PeerTuning::default());
    let mut plan = StartPlan::new(tuning.clone(), START, &mut random);
    assert_eq!(plan.advance(&own, true, START), StartStage::Waiting);
    let mut now = plan.first_at();
    assert_eq!(plan.advance(&own, true, now), StartStage::Joining);
    now = now + tuning.join_limit;
    assert_eq!(plan.advance(&own, false, now), StartStage::Joining);
    assert_eq!(plan.advance(&own, true, now), StartStage::Ready);
    assert_eq!(own.phase(), VmPhase::Live);
    let ramp = plan.ramp().expect("the VM is ready");
    let shares = [0, 15, 30, 60].map(|seconds| ramp.share(now + ClockSpan::from_secs(seconds)));
    assert_eq!(shares.map(|share| (share * 100.0).round()), [10.0, 55.0, 100.0, 100.0]);
}
