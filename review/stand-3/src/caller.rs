//! Clients: each request on a new connection, or several on a kept one.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http;

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
}

/// A connection to a gateway.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let opening = timeout(Duration::from_secs(1), TcpStream::connect(address));
        let stream = opening.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::with_capacity(64 * 1024, stream) })
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes).await
    }

    /// Reads an answer.
    pub async fn answer(&mut self, limit: Duration) -> io::Result<Answer> {
        let reading = async {
            let head = http::read_head(&mut self.reader).await?;
            let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
            http::read_body(&mut self.reader, &head, true).await?;
            Ok(Answer { status: head.status() })
        };
        timeout(limit, reading).await.map_err(|_| io::ErrorKind::TimedOut)?
    }
}

/// Sends one request on a new connection. `head` is the request line and the header fields, without
/// the empty line.
pub async fn call(address: SocketAddr, head: &str, limit: Duration) -> io::Result<Answer> {
    let mut connection = Connection::open(address).await?;
    connection.send(format!("{head}\r\n\r\n").as_bytes()).await?;
    connection.answer(limit).await
}

/// Returns whether a gateway says that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let head = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close";
    let answer = call(address, head, Duration::from_secs(1)).await;
    answer.is_ok_and(|answer| answer.status == 200)
}
