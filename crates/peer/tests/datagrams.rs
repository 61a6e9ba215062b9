//! Datagrams between VMs: their contents, their length, and the datagrams that are rejected.

use std::net::SocketAddr;

use base::prelude::*;
use directory::prelude::{DrainMark, VmEntry};
use hmac::{Hmac, Mac};
use member::prelude::LostVm;
use peer::datagram::DATAGRAM_BYTES;
use peer::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sha2::Sha256;
use store::prelude::TableRow;
use suspect::prelude::*;
use world::prelude::VmIdentity;

const SEED: u64 = 17;
const HEAD_BYTES: usize = 17;
const FORMAT: u8 = 2;

fn codec() -> DatagramCodec {
    DatagramCodec::new(["new secret", "old secret"])
}

fn envelope(message: PeerMessage) -> PeerEnvelope {
    PeerEnvelope {
        sender: SharedName::from("gateway-007"),
        incarnation: 1_790_000_000_000,
        origin: None,
        message,
    }
}

fn hello(name: &str) -> PeerEnvelope {
    let name = SharedName::from(name);
    let centre = SharedName::from("medeu");
    let entry = VmEntry {
        vm: VmIdentity { name, incarnation: 1_790_000_000_000, centre },
        exchange_address: SocketAddr::from(([10, 0, 0, 7], 7400)),
        control_address: "[fd00::7]:7401".parse().expect("an address"),
    };
    let message =
        HelloMessage { entry, leaving: true, answer_wanted: false, config_version: u64::MAX };
    envelope(PeerMessage::Hello(message))
}

/// Returns rows as upstreams on the platform write them; every fourth one was removed.
fn directory(rows: u64) -> PeerEnvelope {
    let row = |number| {
        let value = format!(
            r#"{{"service":"phase-desk","address":"10.0.1.{number}:8000","zone":"bostandyk","version":"3","slots":6,"state":"ready","warmUpTime":0,"seq":{},"born":1790000000000}}"#,
            number + 4000
        );
        let value = (number % 4 != 3).then(|| value.into());
        let key = SharedName::from(format!("phase-desk-{number}"));
        TableRow { key, version: 120_000 + number, value }
    };
    envelope(PeerMessage::Directory(DirectoryMessage {
        from: 119_999,
        position: 120_000 + rows,
        age_ms: 7,
        rows: (0..rows).map(row).collect(),
        rows_omitted: false,
        config_version: 530,
    }))
}

/// Gives all rows one version, as those of one transaction have it.
fn one_version(mut envelope: PeerEnvelope) -> PeerEnvelope {
    if let PeerMessage::Directory(directory) = &mut envelope.message {
        directory.rows.iter_mut().for_each(|row| row.version = 120_000);
    }
    envelope
}

fn drains(count: u64) -> PeerEnvelope {
    let mark = |number| DrainMark {
        upstream: SharedName::from(format!("phase-desk-{number}")),
        incarnation: 1_790_000_000_000 + number,
    };
    envelope(PeerMessage::Drains(DrainMessage { marks: (0..count).map(mark).collect() }))
}

fn load(samples: u64) -> PeerEnvelope {
    let sample = |number| LoadSample {
        upstream: SharedName::from(format!("phase-desk-{number}")),
        incarnation: 1_790_000_000_000 + number,
        age_ms: number as u16,
        in_flight: 3,
        queued: u16::MAX,
        slots: 6,
        pace_percent: (number % 2 == 0).then_some(140),
        failures: u8::MAX,
    };
    envelope(PeerMessage::Load(LoadMessage { samples: (0..samples).map(sample).collect() }))
}

fn suspects(notices: u64, incidents: u64) -> PeerEnvelope {
    let incident = |number| CrashIncident {
        upstream: SharedName::from(format!("phase-desk-{number}")),
        count: number + 1,
        age: ClockSpan::from_millis(number),
        proven: number % 2 == 0,
        isolated: number % 3 == 0,
    };
    let notice = |fingerprint| SuspectNotice {
        fingerprint: u64::MAX - fingerprint,
        epoch: 2,
        cleared_age: ClockSpan::MAX,
        incidents: (0..incidents).map(incident).collect(),
        renewals: 4,
        renewed_age: ClockSpan::from_secs(3),
    };
    envelope(PeerMessage::Suspects(SuspectMessage { notices: (0..notices).map(notice).collect() }))
}

fn losses(vms: u64) -> PeerEnvelope {
    let loss = |number| LostVm {
        vm: SharedName::from(format!("gateway-{number}")),
        incarnation: 1_790_000_000_000 + number,
        silent_ms: 3000,
    };
    envelope(PeerMessage::Losses(LossMessage { vms: (0..vms).map(loss).collect() }))
}

/// Joins the parts of a message, as a receiver does that accepts all of them.
fn joined(parts: Vec<PeerEnvelope>) -> Option<PeerEnvelope> {
    let mut parts = parts.into_iter();
    let mut whole = parts.next()?;
    for part in parts {
        match (&mut whole.message, part.message) {
            (PeerMessage::Load(all), PeerMessage::Load(part)) => all.samples.extend(part.samples),
            (PeerMessage::Suspects(all), PeerMessage::Suspects(part)) => {
                for notice in part.notices {
                    match all.notices.last_mut() {
                        Some(last) if last.fingerprint == notice.fingerprint => {
                            last.incidents.extend(notice.incidents);
                        }
                        _ => all.notices.push(notice),
                    }
                }
            }
            (PeerMessage::Losses(all), PeerMessage::Losses(part)) => all.vms.extend(part.vms),
            (PeerMessage::Drains(all), PeerMessage::Drains(part)) => all.marks.extend(part.marks),
            (PeerMessage::Directory(all), PeerMessage::Directory(part)) => {
                assert_eq!(all.position, part.from, "each part starts where the last one ends");
                assert!(all.rows.iter().all(|row| row.version <= part.from));
                assert!(part.rows.iter().all(|row| row.version > part.from));
                all.position = part.position;
                all.rows.extend(part.rows);
            }
            (all, part) => panic!("{part:?} follows {all:?}"),
        }
    }
    Some(whole)
}

struct LengthCase {
    name: &'static str,
    sent: PeerEnvelope,
    result: LengthResult,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LengthResult {
    Whole,
    Split,
    WithoutRows,
    NotSent,
}

fn case(name: &'static str, sent: PeerEnvelope, result: LengthResult) -> LengthCase {
    LengthCase { name, sent, result }
}

impl LengthCase {
    fn run(self) {
        let Self { name, sent: mut expected, result } = self;
        let codec = codec();
        let datagrams = codec.encode(&expected);
        let bytes: Vec<_> = datagrams.iter().map(Vec::len).collect();
        println!("{name}: {bytes:?} bytes");
        assert!(bytes.iter().all(|length| *length <= DATAGRAM_BYTES), "{name}");
        // The contents of two consecutive datagrams do not fit into one.
        assert!(bytes.windows(2).all(|pair| pair[0] + pair[1] > DATAGRAM_BYTES), "{name}");
        let parts = datagrams.iter().map(|datagram| codec.decode(datagram));
        let received = joined(parts.collect::<Result<_, _>>().expect("signed by the codec"));
        if result == LengthResult::NotSent {
            assert_eq!((received, codec.oversized()), (None, 1), "{name}");
            return;
        }
        assert_eq!(datagrams.len() > 1, result == LengthResult::Split, "{name}");
        if let (LengthResult::WithoutRows, PeerMessage::Directory(directory)) =
            (result, &mut expected.message)
        {
            directory.rows.clear();
            directory.rows_omitted = true;
        }
        assert_eq!((received, codec.oversized()), (Some(expected), 0), "{name}");
    }
}

/// Guards against datagrams above the length limit, entries that are lost or changed when a list is
/// split, more datagrams than the content needs, and rows that are left out without `rows_omitted`.
#[test]
fn datagrams_keep_the_length_limit_and_the_content() {
    use LengthResult::{NotSent, Split, Whole, WithoutRows};
    let long_name = "n".repeat(2 * DATAGRAM_BYTES);
    let cases = [
        case("hello", hello("gateway-007"), Whole),
        case("a hello longer than a datagram", hello(&long_name), NotSent),
        case("no rows", directory(0), Whole),
        case("six rows", directory(6), Whole),
        case("twelve rows, the changes of 29 upstreams in 0.6 s", directory(12), Split),
        case("sixty rows", directory(60), Split),
        case("twelve rows of one version", one_version(directory(12)), WithoutRows),
        case("no drains", drains(0), Whole),
        case("200 drains", drains(200), Split),
        case("a thousand rows", directory(1000), WithoutRows),
        case("no samples", load(0), Whole),
        case("29 samples", load(29), Whole),
        case("60 samples", load(60), Split),
        case("2000 samples", load(2000), Split),
        case("no suspects", suspects(0, 0), Whole),
        case("three suspects with three crashes", suspects(3, 3), Whole),
        case("40 suspects with three crashes", suspects(40, 3), Split),
        case("300 suspects without a crash", suspects(300, 0), Split),
        case("two suspects with 300 crashes", suspects(2, 300), Split),
        case("an incarnation", envelope(PeerMessage::Outdated(u64::MAX)), Whole),
        case("three losses", losses(3), Whole),
        case("300 losses", losses(300), Split),
    ];
    for case in cases {
        case.run();
    }
}

struct SecretCase {
    name: &'static str,
    sender: &'static [&'static str],
    receiver: &'static [&'static str],
    accepted: bool,
}

/// Guards against a change of the secret after which VMs reject each other's datagrams, and against
/// datagrams that are accepted without a common secret.
#[test]
fn the_first_secret_signs_and_all_are_accepted() {
    let cases = [
        SecretCase { name: "same", sender: &["a"], receiver: &["a"], accepted: true },
        SecretCase { name: "old sender", sender: &["a"], receiver: &["b", "a"], accepted: true },
        SecretCase {
            name: "new sender",
            sender: &["b", "a"],
            receiver: &["a", "b"],
            accepted: true,
        },
        SecretCase { name: "unknown", sender: &["b", "a"], receiver: &["a"], accepted: false },
        SecretCase {
            name: "no secret at the receiver",
            sender: &["a"],
            receiver: &[],
            accepted: false,
        },
        SecretCase {
            name: "empty at the receiver",
            sender: &["a"],
            receiver: &[""],
            accepted: false,
        },
    ];
    for SecretCase { name, sender, receiver, accepted } in cases {
        let datagrams = DatagramCodec::new(sender.iter().copied()).encode(&hello("gateway-007"));
        let receiver = DatagramCodec::new(receiver.iter().copied());
        let result = receiver.decode(&datagrams[0]);
        assert_eq!(result.is_ok(), accepted, "{name}: {result:?}");
    }
    for secrets in [&[][..], &[""]] {
        let codec = DatagramCodec::new(secrets.iter().copied());
        assert!(codec.encode(&hello("gateway-007")).is_empty());
    }
}

/// Returns a datagram with a valid signature and any bytes as its message.
fn signed(body: &[u8]) -> Vec<u8> {
    let key = Hmac::<Sha256>::new_from_slice(b"new secret").expect("any length is a key");
    let tag = key.chain_update([FORMAT]).chain_update(body).finalize().into_bytes();
    [&[FORMAT], &tag[..16], body].concat()
}

/// Returns a message of each kind except `Config`, each of which fits into a datagram.
fn envelopes() -> Vec<PeerEnvelope> {
    vec![
        hello("gateway-007"),
        directory(5),
        load(20),
        suspects(3, 3),
        losses(3),
        envelope(PeerMessage::Outdated(7)),
    ]
}

/// Returns the datagrams of these messages.
fn samples() -> Vec<Vec<u8>> {
    envelopes().iter().flat_map(|envelope| codec().encode(envelope)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against random bytes that make a VM panic or are accepted as a message.
    #[test]
    fn random_bytes_are_not_accepted(bytes in vec(any::<u8>(), 0..1400), format in any::<bool>()) {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut().filter(|_| format) {
            *first = FORMAT;
        }
        prop_assert!(codec().decode(&bytes).is_err());
    }

    /// Guards against accepting datagrams that were changed, truncated or extended.
    #[test]
    fn altered_datagrams_are_not_accepted(
        sample in 0..6_usize,
        position in any::<prop::sample::Index>(),
        change in 1..=u8::MAX,
        extra in vec(any::<u8>(), 1..8),
    ) {
        let datagram = samples().swap_remove(sample);
        let position = position.index(datagram.len());
        let mut changed = datagram.clone();
        changed[position] ^= change;
        prop_assert!(codec().decode(&changed).is_err());
        prop_assert!(codec().decode(&datagram[..position]).is_err());
        prop_assert!(codec().decode(&[&datagram[..], &extra[..]].concat()).is_err());
    }

    /// Guards against accepting datagrams of VMs with other secrets, and against a datagram that is
    /// decoded differently when it arrives again. A receiver orders messages by the sender's
    /// incarnation and the versions in the message, so these must not change.
    #[test]
    fn datagrams_are_accepted_with_a_common_secret_only(
        sender_secrets in vec("[a-c]{0,2}", 0..4),
        receiver_secrets in vec("[a-c]{0,2}", 0..4),
        sample in 0..6_usize,
    ) {
        let codec = |secrets: &[String]| {
            DatagramCodec::new(secrets.iter().map(String::as_str).collect::<Vec<_>>())
        };
        let envelope = envelopes().swap_remove(sample);
        let signing = sender_secrets.iter().find(|secret| !secret.is_empty());
        let (sender, receiver) = (codec(&sender_secrets), codec(&receiver_secrets));
        let datagrams = sender.encode(&envelope);
        prop_assert_eq!(datagrams.is_empty(), signing.is_none());
        for datagram in datagrams {
            let common = signing.is_some_and(|secret| receiver_secrets.contains(secret));
            let (first, again) = (receiver.decode(&datagram), receiver.decode(&datagram));
            prop_assert_eq!(first.is_ok(), common);
            prop_assert_eq!(&first, &again);
            prop_assert!(first.is_err() || first == Ok(envelope.clone()));
        }
    }

    /// Guards against a VM that panics on signed datagrams of another release that are no messages
    /// of this one, and against ignoring bytes after a message, which another release may have
    /// added.
    #[test]
    fn signed_bytes_that_are_no_message_do_not_panic(
        random in vec(any::<u8>(), 1..1100),
        sample in 0..6_usize,
        position in any::<prop::sample::Index>(),
        change in 1..=u8::MAX,
    ) {
        let _ = codec().decode(&signed(&random));
        let mut body = samples().swap_remove(sample).split_off(HEAD_BYTES);
        prop_assert!(codec().decode(&signed(&body)).is_ok());
        let longer = [&body[..], &[0]].concat();
        prop_assert!(codec().decode(&signed(&longer)).is_err());
        let position = position.index(body.len());
        prop_assert!(codec().decode(&signed(&body[..position])).is_err());
        body[position] ^= change;
        let _ = codec().decode(&signed(&body));
    }
}
