//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};

/// The payload of a packet.
const PACKET_BYTES: usize = 1460;

/// A message head: its first line and its header fields, with names in lower case.
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the fields as a map of the `http` crate.
    pub fn map(&self) -> HeaderMap {
        let fields = self.fields.iter().filter_map(|(name, value)| {
            Some((name.parse::<HeaderName>().ok()?, value.parse::<HeaderValue>().ok()?))
        });
        fields.collect()
    }

    /// Returns the bytes of the message with this head and a body, which has a length.
    pub fn bytes(&self, body: &[u8]) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.first_line);
        let framing = ["content-length", "transfer-encoding"];
        for (name, value) in
            self.fields.iter().filter(|(name, _)| !framing.contains(&name.as_str()))
        {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Returns the n-th word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }
}

/// A connection and the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
    /// The most bytes that are read in a second.
    rate: Option<f64>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // A failure only makes the connection slower.
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new(), rate: None }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    /// Makes the receive window small. Call it before the first answer arrives.
    pub fn set_window(&self, bytes: i32) -> io::Result<()> {
        unsafe extern "C" {
            fn setsockopt(
                socket: i32,
                level: i32,
                name: i32,
                value: *const i32,
                length: u32,
            ) -> i32;
        }
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        // SAFETY: the socket is open, and the value is a number of four bytes.
        let result =
            unsafe { setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
        if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    }

    /// Makes this end read at most so many bytes a second.
    pub fn set_rate(&mut self, bytes_per_s: f64) {
        self.rate = Some(bytes_per_s);
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes. Returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0_u8; 16384];
        // A slow link delivers single packets.
        let most = if self.rate.is_some() { PACKET_BYTES } else { part.len() };
        let length = self.stream.read(&mut part[..most])?;
        if let Some(rate) = self.rate {
            std::thread::sleep(Duration::from_secs_f64(length as f64 / rate));
        }
        self.ahead.extend_from_slice(&part[..length]);
        Ok(length > 0)
    }

    /// Returns the number of bytes that have been read and not used.
    pub fn waiting_bytes(&self) -> usize {
        self.ahead.len()
    }

    /// Drops what arrives. Returns false at the end of the stream.
    pub fn skip(&mut self) -> bool {
        self.ahead.clear();
        self.fill().unwrap_or(false)
    }

    /// Reads a head, or returns `None` if the stream ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                let is_clean = self.ahead.is_empty();
                return if is_clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        });
        Ok(Some(Head { first_line, fields: fields.collect() }))
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|part| part == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that follows a head with a length, in chunks, or without either (none).
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.take_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size =
                    usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                body.extend(self.take(size)?);
                self.take_line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.take(length)
    }
}
