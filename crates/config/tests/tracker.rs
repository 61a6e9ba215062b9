//! What a VM knows of versions.

use base::prelude::*;
use config::prelude::*;
use config::tracker::TrackerTuning;

fn mark(version: u64) -> VersionMark {
    VersionMark { version, digest: SharedName::from(format!("d{version}")) }
}

fn random_run(seed: u64, tuning: TrackerTuning) -> Result<(), String> {
    let mut random = RandomSource::from_seed(seed);
    let mut now = ClockTime::ZERO;
    let mut tracker = VersionTracker::new(tuning, seed, now);
    let (mut highest_known, mut last_active) = (0, 0);
    for _ in 0..300 {
        let mark = mark(1 + random.below(40) as u64);
        now = now + ClockSpan::from_millis(random.below(3000) as u64);
        match random.below(5) {
            0 => {
                tracker.store_read(Some(&mark), now);
                highest_known = highest_known.max(mark.version);
            }
            1 => {
                tracker.learn(&mark, LearnSource::Peer);
                highest_known = highest_known.max(mark.version);
            }
            2 => tracker.failed(now),
            // A document that was fetched before the VM learnt of a newer version.
            3 => drop(tracker.activate(&mark)),
            _ => {
                if let Some(wanted) = tracker.wanted().cloned() {
                    tracker.activate(&wanted);
                }
            }
        }
        let active = tracker.active().map_or(0, |active| active.version);
        if active < last_active {
            return Err(format!("seed {seed}: version fell from {last_active} to {active}"));
        }
        if tracker.may_start() && active < highest_known {
            return Err(format!("seed {seed}: starts with {active} and knows {highest_known}"));
        }
        last_active = active;
    }
    Ok(())
}

/// Guards against a version that falls and a VM that starts with an older version than it has
/// learnt of. With the safeguard off, the run sees the fault.
#[test]
fn versions_never_fall() {
    const SEEDS: u64 = 200;
    println!("seeds 0..{SEEDS}");
    let tuning = TrackerTuning::default();
    for seed in 0..SEEDS {
        assert_eq!(random_run(seed, tuning), Ok(()));
    }
    let unguarded = TrackerTuning { only_rises: false, ..tuning };
    assert!((0..SEEDS).any(|seed| random_run(seed, unguarded).is_err()));
}

struct StartCase {
    name: &'static str,
    store: Option<u64>,
    peers: Option<&'static [u64]>,
    fetched: &'static [u64],
    starts: bool,
}

/// Guards against a VM that takes requests before it has asked for the newest version, or with an
/// older one than it could learn of.
#[test]
fn starting_vms_serve_the_newest_version_that_they_can_learn() {
    let case =
        |name, store, peers, fetched, starts| StartCase { name, store, peers, fetched, starts };
    let cases = [
        case("knows nothing", None, None, &[] as &[u64], false),
        case("store read, not fetched", Some(5), None, &[], false),
        case("store read and fetched", Some(5), None, &[5], true),
        case("peers asked, none knows", None, Some(&[] as &[u64]), &[], false),
        case("highest of the peers", None, Some(&[4, 6, 5]), &[6], true),
        case("older than a peer's", None, Some(&[4, 6, 5]), &[5], false),
        case("peer newer than the store", Some(5), Some(&[6]), &[5], false),
        case("store newer than the peer", Some(6), Some(&[5]), &[6], true),
    ];
    for case in cases {
        let mut tracker = VersionTracker::new(TrackerTuning::default(), 1, ClockTime::ZERO);
        if let Some(version) = case.store {
            tracker.store_read(Some(&mark(version)), ClockTime::ZERO);
        }
        if let Some(peers) = case.peers {
            tracker.failed(ClockTime::ZERO);
            for version in peers {
                tracker.learn(&mark(*version), LearnSource::Peer);
            }
            tracker.peers_asked();
        }
        for version in case.fetched {
            tracker.activate(&mark(*version));
        }
        assert_eq!(tracker.may_start(), case.starts, "{}", case.name);
    }
}

/// Guards against one version number with two documents replacing the active one, and against an
/// unusable document being fetched without end.
#[test]
fn strange_versions_are_left_alone() {
    let mut tracker = VersionTracker::new(TrackerTuning::default(), 1, ClockTime::ZERO);
    tracker.store_read(Some(&mark(5)), ClockTime::ZERO);
    tracker.activate(&mark(5));
    let twin = VersionMark { version: 5, digest: "other".into() };
    assert!(!tracker.learn(&twin, LearnSource::Peer));
    assert!(!tracker.activate(&twin));
    assert_eq!(tracker.wanted(), None);
    tracker.learn(&mark(6), LearnSource::Store);
    tracker.reject(&mark(6));
    assert_eq!(tracker.wanted(), None);
    assert_eq!(tracker.active(), Some(&mark(5)));
    tracker.learn(&mark(7), LearnSource::Store);
    assert_eq!(tracker.wanted(), Some(&mark(7)));
}

/// Guards against a change that takes longer than 5 s to reach a VM although one read in between
/// fails, and against polling that costs more than the platform's reads allow.
#[test]
fn changes_are_seen_in_time_at_low_cost() {
    const VMS: u64 = 170;
    const HOUR_MS: u64 = 3_600_000;
    let tuning = TrackerTuning::default();
    let (mut reads, mut longest) = (0_u64, ClockSpan::ZERO);
    for seed in 0..VMS {
        let mut tracker = VersionTracker::new(tuning, seed, ClockTime::ZERO);
        let mut now = ClockTime::ZERO;
        let mut last_success = ClockTime::ZERO;
        while now < ClockTime::from_millis(HOUR_MS) {
            now = tracker.next_poll();
            reads += 1;
            // Every tenth read fails, and the one after it succeeds.
            if reads.is_multiple_of(10) {
                tracker.failed(now);
            } else {
                tracker.store_read(None, now);
                longest = longest.max(now.since(last_success));
                last_success = now;
            }
        }
    }
    let per_second = reads as f64 * 1000.0 / HOUR_MS as f64;
    println!("{VMS} VMs: {per_second:.1} reads/s, longest time between answers {longest}");
    // 2 s remain for the fetch, its retry and the change itself.
    assert!(longest <= ClockSpan::from_millis(3000), "{longest}");
    // A tenth of the platform's two thousand reads a second.
    assert!(per_second <= 200.0);
}
