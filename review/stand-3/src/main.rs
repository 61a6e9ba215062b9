//! The stand-ins of the review's cases from 11 on: `stand-3 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

use std::path::PathBuf;

mod caller;
mod cases;
mod fleet;
mod http;
mod record;
mod store;
mod upstream;

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next().unwrap_or_default(), arguments.next());
    let folder = PathBuf::from(folder.unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match cases::run(&case, &folder, trouble).await {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
