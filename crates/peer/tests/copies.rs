//! Names and contents of the copies that VMs fetch from one another.

use base::prelude::*;
use peer::prelude::*;
use store::prelude::TableRow;

struct NameCase {
    text: &'static str,
    name: Option<CopyName>,
}

/// Guards against a request for a copy that the peer takes for another one, or for a digest.
#[test]
fn names_of_copies_survive_the_round_trip() {
    let case = |text, name| NameCase { text, name };
    let cases = [
        case("configuration:7", Some(CopyName::Configuration { at_least: 7 })),
        case("upstreams:0", Some(CopyName::Upstreams { at_least: 0 })),
        case("changes:3:9", Some(CopyName::Changes { after: 3, at_least: 9 })),
        case("members", Some(CopyName::Members)),
        case("suspects", Some(CopyName::Suspects)),
        case("members:1", None),
        case("configuration", None),
        case("configuration:", None),
        case("configuration:-1", None),
        case("configuration:18446744073709551616", None),
        case("changes:3", None),
        case("upstreams:1:2", None),
        case("0b1c4d", None),
        case("", None),
    ];
    for case in cases {
        assert_eq!(case.text.parse().ok(), case.name, "{:?}", case.text);
        if let Some(name) = case.name {
            assert_eq!(name.to_string(), case.text);
        }
    }
}

struct RowCase {
    name: &'static str,
    value: Option<&'static [u8]>,
    received: Option<&'static [u8]>,
}

/// Guards against rows that change on their way to another VM, and against one that is no text and
/// keeps a VM from receiving the others.
#[test]
fn rows_survive_the_way_to_a_peer() {
    let case = |name, value, received| RowCase { name, value, received };
    let cases = [
        case("text", Some(&b"{\"slots\":6}"[..]), Some(&b"{\"slots\":6}"[..])),
        case("quotes and controls", Some(b"\"\\\x00\n"), Some(b"\"\\\x00\n")),
        case("removed", None, None),
        case("no text", Some(b"\xff\xfe"), Some(b"")),
    ];
    for case in cases {
        let row = TableRow { key: "a".into(), version: 4, value: case.value.map(Into::into) };
        let copy = TableCopy {
            since: Some(3),
            position: 5,
            read_age_ms: 10,
            rows: vec![RowCopy::from(row)],
            drains: Vec::new(),
        };
        let text = serde_json::to_string(&copy).expect("a text");
        let page = serde_json::from_str::<TableCopy>(&text).expect("a copy").into_page();
        assert_eq!(page.position, 5);
        let key: &SharedName = &page.rows[0].key;
        assert_eq!((key.as_str(), page.rows[0].version), ("a", 4), "{}", case.name);
        assert_eq!(page.rows[0].value.as_deref(), case.received, "{}", case.name);
    }
}

struct TextCase {
    name: &'static str,
    text: &'static str,
}

/// Guards against a peer that sends something else than a copy, and against a short text that takes
/// all memory when it is decompressed.
#[test]
fn copies_survive_compression_and_others_are_errors() {
    let rows: String = (0..1_000).map(|row| format!("{{\"slots\":6,\"id\":{row}}}")).collect();
    let text = copy_text(rows.as_bytes());
    assert_eq!(copy_of_text(&text).expect("a copy"), rows.as_bytes());
    assert!(text.len() * 4 < rows.len(), "{} of {} bytes", text.len(), rows.len());
    let case = |name, text| TextCase { name, text };
    let cases = [case("no base64", "{\"a\":1}"), case("not compressed", "AAECAwQF")];
    for TextCase { name, text } in cases {
        assert!(copy_of_text(text).is_err(), "{name}");
    }
    let bomb = copy_text(&vec![b' '; 17 * 1024 * 1024]);
    let error = copy_of_text(&bomb).expect_err("a copy that is too long");
    assert!(matches!(error, CopyError::TooLong), "{error}");
}
