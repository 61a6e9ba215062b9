//! Changes by operators and their propagation to VMs, with a store in memory.

use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::prelude::*;
use parking_lot::Mutex;
use store::prelude::*;

/// Accepts documents that begin with a brace.
struct BraceCheck;

impl DocumentCheck for BraceCheck {
    fn check(&self, document: &[u8]) -> Result<(), Vec<DocumentProblem>> {
        if document.starts_with(b"{") {
            return Ok(());
        }
        Err(vec![DocumentProblem {
            path: "$".to_owned(),
            reason: "not an object".to_owned(),
            remedy: "write an object".to_owned(),
        }])
    }
}

fn operator(store: &MemoryStore, name: &str) -> ConfigOperator<MemoryStore, VirtualClock> {
    ConfigOperator::new(store.clone(), VirtualClock::default(), name.into(), name.into(), 1000)
}

fn document(number: u64) -> Bytes {
    Bytes::from(format!("{{\"number\":{number}}}"))
}

/// Guards against a document that reaches production untried or changed, an operator who loses a
/// race without a report of which change was made, and a rollback that lowers the version number.
#[tokio::test]
async fn documents_go_from_trial_to_production_and_back() {
    let store = MemoryStore::new();
    let (trial, production) = (SharedName::from("trial"), SharedName::from("production"));
    let (anna, beka) = (operator(&store, "anna"), operator(&store, "beka"));
    let invalid = anna.try_document(&BraceCheck, &trial, Bytes::from_static(b"x"), None).await;
    assert!(matches!(invalid, Err(ConfigError::Invalid { .. })));
    let digests = [document(1), document(2), document(3)].map(|bytes| content_digest(&bytes));
    let untried = anna.promote(&production, &trial, &digests[0], None).await;
    let refusal = ConfigError::NotTried { digest: digests[0].clone(), trial: trial.clone() };
    assert_eq!(untried, Err(refusal));
    let early = anna.rollback(&production, 1, None).await;
    assert_eq!(early, Err(ConfigError::NoVersion { environment: production.clone() }));
    for number in 1..=3 {
        let tried = anna.try_document(&BraceCheck, &trial, document(number), None).await.unwrap();
        assert_eq!(tried.version, number);
    }
    // Nothing was promoted that the change could build on, for example because of a wrong name.
    let unbased = anna.promote(&production, &trial, &digests[0], Some(1)).await;
    assert_eq!(unbased, Err(ConfigError::NoVersion { environment: production.clone() }));
    store.lose_responses(1);
    let first = anna.promote(&production, &trial, &digests[0], None).await.unwrap();
    assert_eq!((first.version, &first.digest), (1, &digests[0]));
    let second = beka.promote(&production, &trial, &digests[1], Some(1)).await.unwrap();
    let lost = anna.promote(&production, &trial, &digests[2], Some(1)).await;
    assert_eq!(lost, Err(ConfigError::LostRace { winner: Box::new(second.clone()) }));
    let text = lost.unwrap_err().to_string();
    for part in ["version 2", "beka", digests[1].as_str()] {
        assert!(text.contains(part), "{text}");
    }
    let again = beka.promote(&production, &trial, &digests[1], None).await.unwrap();
    assert_eq!(again, second, "a document in force gets no new version");
    let back = anna.rollback(&production, 1, None).await.unwrap();
    assert_eq!((back.version, &back.digest), (3, &digests[0]));
    assert!(matches!(
        anna.rollback(&production, 9, None).await,
        Err(ConfigError::NeverInForce { version: 9, .. })
    ));
    let history = beka.history(&production, None, 10).await.unwrap();
    let versions: Vec<u64> = history.iter().map(|row| row.version).collect();
    assert_eq!(versions, [3, 2, 1]);
    assert_eq!(beka.history(&production, Some(3), 1).await.unwrap(), [second]);
    assert_eq!(beka.status(&production).await.unwrap(), Some(back));
    store.set_outage(true);
    let down = anna.promote(&production, &trial, &digests[2], None).await;
    assert!(matches!(down, Err(ConfigError::Store { .. })));
}

/// Records the versions that a VM has applied.
#[derive(Clone, Default)]
struct TestTarget {
    applied: Arc<Mutex<Vec<u64>>>,
}

impl DocumentTarget for TestTarget {
    fn apply(&self, id: &VersionId, document: &Bytes) -> Result<(), String> {
        assert_eq!(content_digest(document), id.digest);
        self.applied.lock().push(id.version);
        Ok(())
    }
}

/// Peers that report versions and have a document, which may be damaged.
#[derive(Clone, Default)]
struct TestPeers {
    ids: Vec<VersionId>,
    document: Option<Bytes>,
}

impl PeerSource for TestPeers {
    async fn versions(&self) -> Vec<VersionId> {
        self.ids.clone()
    }

    async fn document(&self, _digest: &SharedName) -> Option<Bytes> {
        self.document.clone()
    }
}

struct FollowCase {
    name: &'static str,
    store_down: bool,
    peer_versions: &'static [u64],
    peer_document: Option<u64>,
    applied: &'static [u64],
    starts: bool,
}

/// Guards against a VM that starts without asking its peers while the store is down, and against
/// applying a damaged document.
#[tokio::test]
async fn starting_vms_learn_from_the_store_or_their_peers() {
    let case = |name, store_down, peer_versions, peer_document, applied, starts| FollowCase {
        name,
        store_down,
        peer_versions,
        peer_document,
        applied,
        starts,
    };
    let cases = [
        case("store", false, &[] as &[u64], None, &[1_u64] as &[u64], true),
        case("store down, no peers", true, &[], None, &[], false),
        case("store down, peers", true, &[1, 2], Some(2), &[2], true),
        case("store down, damaged document", true, &[1, 2], Some(9), &[], false),
        case("store down, no document", true, &[2], None, &[], false),
    ];
    for case in cases {
        let store = MemoryStore::new();
        let trial = SharedName::from("trial");
        let anna = operator(&store, "anna");
        anna.try_document(&BraceCheck, &trial, document(1), None).await.unwrap();
        store.set_outage(case.store_down);
        let id = |version: &u64| VersionId {
            version: *version,
            digest: content_digest(&document(*version)),
        };
        let peers = TestPeers {
            ids: case.peer_versions.iter().map(id).collect(),
            document: case.peer_document.map(document),
        };
        let target = TestTarget::default();
        let parts = (store, VirtualClock::default(), peers, target.clone());
        let follower = ConfigFollower::new(parts, trial, TrackerTuning::default(), 1);
        follower.poll().await;
        assert_eq!(*target.applied.lock(), case.applied, "{}", case.name);
        assert_eq!(follower.may_start(), case.starts, "{}", case.name);
    }
}

/// Guards against a running VM that loses its version in a store outage or does not fetch one that
/// a peer reports.
#[tokio::test]
async fn running_vms_keep_their_version_and_follow() {
    let store = MemoryStore::new();
    let trial = SharedName::from("trial");
    let anna = operator(&store, "anna");
    anna.try_document(&BraceCheck, &trial, document(1), None).await.unwrap();
    let target = TestTarget::default();
    let parts = (store.clone(), VirtualClock::default(), NoPeers, target.clone());
    let follower = ConfigFollower::new(parts, trial.clone(), TrackerTuning::default(), 1);
    follower.poll().await;
    store.set_outage(true);
    follower.poll().await;
    assert_eq!(follower.active().map(|id| id.version), Some(1));
    store.set_outage(false);
    let second = anna.try_document(&BraceCheck, &trial, document(2), None).await.unwrap();
    follower.observe_version(&second.to_id());
    follower.poll().await;
    follower.poll().await;
    assert_eq!(*target.applied.lock(), [1, 2]);
}

/// A clock that follows tokio's paused test time.
#[derive(Clone, Copy, Debug)]
struct PausedClock {
    start: tokio::time::Instant,
}

impl ClockSource for PausedClock {
    fn now(&self) -> ClockTime {
        ClockTime::ZERO + ClockSpan::from(self.start.elapsed())
    }
}

/// Guards against a change that some VM does not run 5 s after it was accepted, because polls are
/// too rare or because reads and fetches of a slow store add up.
#[tokio::test(start_paused = true)]
async fn changes_are_in_force_on_every_vm_in_time() {
    const VMS: u64 = 170;
    const CHANGES: u64 = 40;
    // The longest time from an accepted change until every VM runs it.
    const IN_FORCE: ClockSpan = ClockSpan::from_secs(5);
    let store = MemoryStore::new();
    // A slow store: a poll and a fetch take half a second together.
    store.set_latency(ClockSpan::from_millis(250));
    let trial = SharedName::from("trial");
    let anna = operator(&store, "anna");
    let clock = PausedClock { start: tokio::time::Instant::now() };
    let followers: Vec<_> = (0..VMS)
        .map(|seed| {
            let parts = (store.clone(), clock, NoPeers, TestTarget::default());
            let tuning = TrackerTuning::default();
            let follower = ConfigFollower::new(parts, trial.clone(), tuning, seed);
            tokio::spawn(follower.clone().run());
            follower
        })
        .collect();
    let seed = 21;
    let mut random = RandomSource::from_seed(seed);
    for number in 1..=CHANGES {
        let made = anna.try_document(&BraceCheck, &trial, document(number), None).await.unwrap();
        tokio::time::sleep(IN_FORCE.to_duration()).await;
        let late = followers.iter().filter(|follower| follower.active() != Some(made.to_id()));
        assert_eq!(late.count(), 0, "seed {seed}, change {number}");
        tokio::time::sleep(ClockSpan::from_millis(random.below(3000) as u64).to_duration()).await;
    }
    let seconds = clock.now().as_millis_f64() / 1000.0;
    let counts = store.counts();
    println!(
        "seed {seed}: {VMS} VMs, {CHANGES} changes in {seconds:.0} s, {:.1} reads/s, {} fetches",
        counts.reads as f64 / seconds,
        counts.objects
    );
}
