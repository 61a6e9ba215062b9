//! Every request to an upstream names the upstream that it is for.

use std::fs;
use std::path::Path;

struct WriterCase {
    /// The file whose code writes a request to an upstream.
    file: &'static str,
    /// The call that names the upstream.
    naming: &'static str,
}

/// Where requests to upstreams are written.
const WRITERS: [WriterCase; 2] = [
    WriterCase { file: "probe.rs", naming: "C::set_upstream(request.headers_mut()" },
    WriterCase { file: "send.rs", naming: "C::set_attempt_headers(headers" },
];

/// Guards against a new kind of request without the name of its upstream, which another server runs
/// once it has taken over the address (review/2).
#[test]
fn every_request_to_an_upstream_names_it() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut writers = Vec::new();
    for entry in fs::read_dir(&folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let Ok(code) = fs::read_to_string(&path) else { continue };
        // httparse's type reads the heads of callers.
        let code = code.replace("httparse::Request::new(", "");
        let written = ["Request::new(", "Request::builder("];
        let written: usize = written.iter().map(|text| code.matches(text).count()).sum();
        if written == 0 {
            continue;
        }
        let file = path.file_name().expect("a name").to_string_lossy().into_owned();
        let case = WRITERS.iter().find(|case| case.file == file);
        let case = case.unwrap_or_else(|| panic!("{file} writes a request; list it here"));
        assert_eq!(
            written,
            code.matches(case.naming).count(),
            "{file}: a request names no upstream"
        );
        writers.push(file);
    }
    writers.sort();
    assert_eq!(writers, WRITERS.map(|case| case.file));
}
