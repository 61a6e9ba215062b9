//! Bytes that a stand-in sends in place of an ordinary answer.

use std::fmt;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of further requests that are read and ignored at once.
const DISCARD_BYTES: usize = 4096;

/// What happens to the connection after the last byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScriptEnd {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It stays open and silent until the other side closes it.
    Hold,
}

/// The rest of a connection. As an error of a request handler it ends the HTTP exchange and takes
/// the connection over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawScript {
    /// Bytes that are sent at once.
    first: Bytes,
    /// Bytes that are sent when the other side has sent something again, or empty.
    second: Bytes,
    end: ScriptEnd,
}

impl RawScript {
    /// Sends bytes and ends the connection.
    pub fn new(bytes: impl Into<Bytes>, end: ScriptEnd) -> Self {
        Self { first: bytes.into(), second: Bytes::new(), end }
    }

    /// Sends nothing and ends the connection.
    pub fn ending(end: ScriptEnd) -> Self {
        Self::new(Bytes::new(), end)
    }

    /// Sends further bytes in place of the next answer.
    #[must_use]
    pub fn then(self, second: impl Into<Bytes>) -> Self {
        Self { second: second.into(), ..self }
    }

    /// Plays the script to its end. A connection that fails ends it early.
    pub async fn play(&self, mut stream: TcpStream) {
        if self.send(&mut stream).await.is_none() {
            return;
        }
        match self.end {
            ScriptEnd::Close => {
                // A failure means that the connection has ended already.
                let _ = stream.shutdown().await;
            }
            ScriptEnd::Reset => {
                // Without the option the close is an ordinary one, which callers must survive too.
                let _ = stream.set_zero_linger();
            }
            ScriptEnd::Hold => while receive(&mut stream).await.is_some() {},
        }
    }

    async fn send(&self, stream: &mut TcpStream) -> Option<()> {
        stream.write_all(&self.first).await.ok()?;
        if !self.second.is_empty() {
            receive(stream).await?;
            stream.write_all(&self.second).await.ok()?;
        }
        Some(())
    }
}

impl fmt::Display for RawScript {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the connection is taken over and then ends with {:?}", self.end)
    }
}

impl std::error::Error for RawScript {}

/// Reads and ignores some bytes. Returns `None` if the other side has closed.
async fn receive(stream: &mut TcpStream) -> Option<()> {
    let mut buffer = [0; DISCARD_BYTES];
    match stream.read(&mut buffer).await {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(()),
    }
}
