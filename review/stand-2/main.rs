//! The cases of the second review that are scripts: `stand CASE RECORD`, run in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod caller;
mod cases;
mod fleet;
mod http;
mod record;
mod store;
mod upstream;

use std::hash::{BuildHasher, Hasher};
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;

use record::Record;

/// Returns a random number in `0.0..1.0`.
pub fn random() -> f64 {
    // Each state has new random keys.
    let number = std::collections::hash_map::RandomState::new().build_hasher().finish();
    (number >> 11) as f64 / (1_u64 << 53) as f64
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand CASE RECORD");
        exit(2);
    };
    if !fleet::has_program() {
        eprintln!("target/release/agateroad is missing: run the build of the deploy file first");
        exit(2);
    }
    let record = match Record::create(&PathBuf::from(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            exit(2);
        }
    };
    fleet::start_watchdog();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match name.as_str() {
        "feed" => cases::feed::run(&record, trouble),
        "pipeline" => cases::pipeline::run(&record, trouble),
        "quota" => cases::quota::run(&record, trouble),
        "refused" => cases::refused::run(&record, trouble),
        "stray" => cases::stray::run(&record, trouble),
        _ => Err(format!("unknown case {name}")),
    };
    match result {
        Ok(true) => {
            record.say("the rule held");
            exit(0);
        }
        Ok(false) => {
            record.say("the rule was broken");
            exit(1);
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            exit(2);
        }
    }
}
