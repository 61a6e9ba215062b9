//! Runs the byte relay as a process of its own, with two threads.
//!
//! The argument is the address to relay to. The relay's own address is printed as one JSON line.
//! The process ends when its standard input is closed.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::TcpListener;

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<(), Box<dyn Error>> {
    let target: SocketAddr = std::env::args().nth(1).ok_or("give the target address")?.parse()?;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    println!("{}", serde_json::json!({ "address": listener.local_addr()? }));
    let copy = || std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
    let relay = tokio::spawn(bench::relay::serve(listener, target));
    // An unreadable input counts as closed.
    let _ = tokio::task::spawn_blocking(copy).await;
    relay.abort();
    Ok(())
}
