//! Scripts of raw bytes that a stand-in sends instead of an answer by its HTTP server.

use std::fmt;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The most bytes of further requests that are read at once and discarded.
const DISCARD_BYTES: usize = 4096;

/// What happens to the connection after the last byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScriptEnd {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It stays open without answers until the other side closes it.
    Hold,
    /// These bytes are sent again and again until the other side closes it.
    Repeat(&'static [u8]),
    /// The HTTP server goes on with the next request, which the script has not read.
    Resume,
}

/// The bytes that are still sent on a connection, and its end. A request handler returns the script
/// as an error, which stops the HTTP server and hands the connection over to the script.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawScript {
    /// Bytes that are sent at once.
    first: Bytes,
    /// Bytes that are sent once the other side has sent more bytes; may be empty.
    second: Bytes,
    end: ScriptEnd,
}

impl RawScript {
    /// Returns a script that sends bytes and then ends the connection.
    pub fn new(bytes: impl Into<Bytes>, end: ScriptEnd) -> Self {
        Self { first: bytes.into(), second: Bytes::new(), end }
    }

    /// Returns a script that ends the connection without sending bytes.
    pub fn ending(end: ScriptEnd) -> Self {
        Self::new(Bytes::new(), end)
    }

    /// Adds bytes that are sent instead of the next answer.
    #[must_use]
    pub fn then(self, second: impl Into<Bytes>) -> Self {
        Self { second: second.into(), ..self }
    }

    /// Runs the script on a connection. It stops early if the connection fails. Returns the
    /// connection if the HTTP server is to go on with it.
    pub async fn run(&self, mut stream: TcpStream) -> Option<TcpStream> {
        self.send(&mut stream).await?;
        match self.end {
            ScriptEnd::Close => {
                // An error means that the connection has already ended.
                let _ = stream.shutdown().await;
            }
            ScriptEnd::Reset => {
                // If the option cannot be set, the connection is closed without a reset, which
                // callers must handle too.
                let _ = stream.set_zero_linger();
            }
            ScriptEnd::Repeat(bytes) => while stream.write_all(bytes).await.is_ok() {},
            ScriptEnd::Hold => while receive(&mut stream).await.is_some() {},
            ScriptEnd::Resume => return Some(stream),
        }
        None
    }

    async fn send(&self, stream: &mut TcpStream) -> Option<()> {
        stream.write_all(&self.first).await.ok()?;
        if !self.second.is_empty() {
            if self.end == ScriptEnd::Resume {
                stream.peek(&mut [0]).await.ok().filter(|length| *length > 0)?;
            } else {
                receive(stream).await?;
            }
            stream.write_all(&self.second).await.ok()?;
        }
        Some(())
    }
}

impl fmt::Display for RawScript {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a script takes the connection over and ends it with {:?}", self.end)
    }
}

impl std::error::Error for RawScript {}

/// Reads and discards some bytes. Returns `None` if the connection was closed or failed.
async fn receive(stream: &mut TcpStream) -> Option<()> {
    let mut buffer = [0; DISCARD_BYTES];
    match stream.read(&mut buffer).await {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(()),
    }
}
