//! Detection of changes of the configuration that no read has delivered.

mod support;

use base::prelude::*;
use directory::prelude::*;
use store::prelude::*;
use support::*;

const POLLED_AT: ClockTime = ClockTime::from_millis(1_000);
const DETECTED_AT: ClockTime = ClockTime::from_millis(2_000);

/// A read of this VM, at `DETECTED_AT`.
#[derive(Clone, Copy, Debug)]
enum TableRead {
    /// The changes of upstreams after a position: the new position and the versions of the rows.
    Changes(u64, u64, &'static [u64]),
    /// The whole table of upstreams.
    Upstreams(u64),
    /// The configuration, by a long poll or a check.
    Config(u64),
}

impl TableRead {
    fn record(self, detector: &mut ChangeDetector) {
        match self {
            Self::Changes(from, position, versions) => {
                let rows = versions.iter().enumerate().map(|(index, version)| TableRow {
                    key: format!("u{index}").into(),
                    version: *version,
                    value: None,
                });
                detector.record_changes(from, &page(position, rows.collect()), DETECTED_AT);
            }
            Self::Upstreams(position) => detector.record_table(position, DETECTED_AT),
            Self::Config(position) => detector.record_config(position),
        }
    }
}

struct ReadCase {
    name: &'static str,
    reads: &'static [TableRead],
    pending: bool,
}

/// Guards against a missed change of the configuration that is never noticed, and against checks, each
/// of which has a price, for changes that are known.
#[test]
fn versions_without_a_row_are_detected() {
    use TableRead::{Changes, Config, Upstreams};
    let cases = [
        ReadCase { name: "no change", reads: &[Changes(0, 0, &[])], pending: false },
        ReadCase { name: "rows", reads: &[Changes(0, 3, &[1, 2, 3])], pending: false },
        ReadCase { name: "unordered rows", reads: &[Changes(0, 3, &[2, 3, 1])], pending: false },
        ReadCase { name: "rows of one write", reads: &[Changes(0, 2, &[1, 2, 2])], pending: false },
        ReadCase { name: "no row", reads: &[Changes(0, 1, &[])], pending: true },
        ReadCase { name: "first missing", reads: &[Changes(0, 3, &[2, 3])], pending: true },
        ReadCase { name: "last missing", reads: &[Changes(0, 3, &[1, 2])], pending: true },
        ReadCase { name: "middle missing", reads: &[Changes(0, 3, &[1, 3])], pending: true },
        ReadCase {
            name: "delivered before",
            reads: &[Config(2), Changes(0, 4, &[1, 3, 4])],
            pending: false,
        },
        ReadCase {
            name: "delivered later",
            reads: &[Changes(0, 4, &[1, 3, 4]), Config(2)],
            pending: false,
        },
        ReadCase {
            name: "the next change is missed",
            reads: &[Config(2), Changes(0, 4, &[1, 3, 4]), Changes(4, 5, &[])],
            pending: true,
        },
        ReadCase {
            name: "an earlier change is delivered",
            reads: &[Changes(0, 5, &[2, 4]), Config(3)],
            pending: true,
        },
        ReadCase {
            name: "peers have read in between",
            reads: &[Changes(0, 1, &[1]), Changes(4, 5, &[5])],
            pending: true,
        },
        ReadCase {
            name: "peers have read what the configuration covers",
            reads: &[Changes(0, 1, &[1]), Config(4), Changes(4, 5, &[5])],
            pending: false,
        },
        ReadCase { name: "whole table", reads: &[Upstreams(9)], pending: true },
        ReadCase {
            name: "versions that the store has lost",
            reads: &[Changes(0, 9, &[]), Upstreams(5), Config(5)],
            pending: false,
        },
        ReadCase {
            name: "changes after the whole table",
            reads: &[Upstreams(9), Config(9), Changes(9, 10, &[10])],
            pending: false,
        },
    ];
    for case in cases {
        let mut detector = ChangeDetector::default();
        for read in case.reads {
            read.record(&mut detector);
        }
        assert_eq!(detector.is_pending(), case.pending, "{}", case.name);
        assert_eq!(detector.next_check(POLLED_AT).is_some(), case.pending, "{}", case.name);
    }
}

struct TimeCase {
    name: &'static str,
    polled_ms: u64,
    checked_ms: Option<u64>,
    due_ms: u64,
}

/// Guards against a check that is sent before the long poll could deliver the change, and against one
/// check for each of many changes.
#[test]
fn checks_wait_for_the_long_poll_and_for_the_last_check() {
    let cases = [
        TimeCase { name: "old poll", polled_ms: 1_000, checked_ms: None, due_ms: 2_100 },
        TimeCase { name: "new poll", polled_ms: 2_300, checked_ms: None, due_ms: 2_400 },
        TimeCase { name: "old check", polled_ms: 1_000, checked_ms: Some(1_200), due_ms: 2_100 },
        TimeCase { name: "new check", polled_ms: 1_000, checked_ms: Some(1_900), due_ms: 2_400 },
    ];
    for case in cases {
        let mut detector = ChangeDetector::default();
        if let Some(checked_ms) = case.checked_ms {
            detector.record_check(ClockTime::from_millis(checked_ms));
        }
        TableRead::Changes(0, 1, &[]).record(&mut detector);
        let due = detector.next_check(ClockTime::from_millis(case.polled_ms));
        assert_eq!(due, Some(ClockTime::from_millis(case.due_ms)), "{}", case.name);
    }
}

/// The events of a run of the model.
const EVENTS: usize = 300;
const SEEDS: u64 = 200;
const KEYS: [&str; 4] = ["a", "b", "c", "d"];

/// A store with one counter for the upstreams, the configuration and a table of the VMs, and a VM
/// that reads it. The long polls of the VM for the configuration may get no answer.
#[derive(Default)]
struct ReaderModel {
    upstreams: Vec<TableRow>,
    config_versions: Vec<u64>,
    newest: u64,
    position: u64,
    config_position: u64,
    detector: ChangeDetector,
    checks: u64,
}

impl ReaderModel {
    fn write_upstream(&mut self, key: &str) {
        self.newest += 1;
        self.upstreams.retain(|row| *row.key != *key);
        self.upstreams.push(TableRow { key: key.into(), version: self.newest, value: None });
    }

    fn write_config(&mut self) {
        self.newest += 1;
        self.config_versions.push(self.newest);
    }

    fn read_upstreams(&mut self, now: ClockTime) {
        let rows = self.upstreams.iter().filter(|row| row.version > self.position);
        let changes = page(self.newest, rows.cloned().collect());
        self.detector.record_changes(self.position, &changes, now);
        self.position = self.newest;
    }

    fn read_config(&mut self) {
        self.config_position = self.newest;
        self.detector.record_config(self.newest);
    }

    /// Returns whether the configuration has changed up to the position of the upstreams without a
    /// read by this VM.
    fn has_missed_change(&self) -> bool {
        let missed = self.config_position + 1..=self.position;
        self.config_versions.iter().any(|version| missed.contains(version))
    }
}

/// Guards against an order of writes, lost long polls and reads by peers in which a change of the
/// configuration stays unnoticed after the upstreams were read.
#[test]
fn no_missed_change_stays_unnoticed() {
    for seed in 0..SEEDS {
        let mut random = RandomSource::from_seed(seed);
        let mut model = ReaderModel::default();
        for event in 0..EVENTS {
            let now = ClockTime::from_millis(100 * event as u64);
            match random.below(8) {
                0..=2 => model.write_upstream(KEYS[random.below(KEYS.len())]),
                3 => model.write_config(),
                // A row of a VM.
                4 => model.newest += 1,
                // A peer reports rows up to its position.
                5 => {
                    let behind = random.below((model.newest - model.position) as usize + 1);
                    model.position += behind as u64;
                }
                6 if random.chance(0.3) => model.read_config(),
                _ => {
                    model.read_upstreams(now);
                    let pending = model.detector.is_pending();
                    assert!(pending || !model.has_missed_change(), "seed {seed}, event {event}");
                    let due = model.detector.next_check(ClockTime::ZERO);
                    if due.is_some_and(|due| due <= now) {
                        model.detector.record_check(now);
                        model.checks += 1;
                        model.read_config();
                        assert!(!model.detector.is_pending(), "seed {seed}, event {event}");
                    }
                }
            }
        }
        assert!(model.checks > 0, "seed {seed} made no check");
    }
}
