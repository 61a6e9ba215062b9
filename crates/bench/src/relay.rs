//! A relay of bytes without any knowledge of HTTP, the baseline of a gateway.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

/// Relays connections that `listener` accepts to `target`, one for one, until it is dropped.
///
/// # Errors
///
/// Fails if the listener fails.
pub async fn serve(listener: TcpListener, target: SocketAddr) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(async move {
            // A connection that breaks is seen by its two ends.
            let _ = relay(stream, target).await;
        });
    }
}

async fn relay(mut caller: TcpStream, target: SocketAddr) -> io::Result<()> {
    let mut upstream = TcpStream::connect(target).await?;
    caller.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    tokio::io::copy_bidirectional(&mut caller, &mut upstream).await?;
    Ok(())
}
