//! The stand-ins of the review's cases from 11 on: `stand-3 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

use std::path::PathBuf;
use std::time::Duration;

mod caller;
mod cases;
mod fleet;
mod http;
mod record;
mod store;
mod upstream;

/// A case that has not ended by then could not run. Its processes end with it.
const TIME_LIMIT: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next().unwrap_or_default(), arguments.next());
    let folder = PathBuf::from(folder.unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let running = cases::run(&case, &folder, trouble);
    let code = match tokio::time::timeout(TIME_LIMIT, running).await {
        Ok(Ok(true)) => 1,
        Ok(Ok(false)) => 0,
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            2
        }
        Err(_) => {
            eprintln!("the case did not end in time");
            2
        }
    };
    std::process::exit(code);
}
