//! What a caller's connection carried, for rules that the HTTP library does not leave to its user.
//!
//! The library drops `content-length` from a request that has `transfer-encoding` as well. Such a
//! request must be refused, because other readers of the same bytes may understand it differently.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use base::prelude::*;
use bytes::BytesMut;
use http::request::Parts;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are remembered: a head of the longest size and as much of the body before it.
const RECORD_BYTES: usize = 32 * 1024;

/// The answer to a head that did not arrive in time.
const LATE_HEAD_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The bytes that a connection carried lately.
#[derive(Clone, Debug)]
pub struct ReadRecord {
    bytes: Arc<RankedMutex<BytesMut>>,
    late: Arc<AtomicBool>,
}

impl ReadRecord {
    fn new() -> Self {
        let bytes = RankedMutex::new(LockRank::ConnectionPool, BytesMut::new());
        Self { bytes: Arc::new(bytes), late: Arc::default() }
    }

    /// Records that the library has given up waiting for a head. If a part of one was read, its
    /// caller is told when the connection is dropped.
    pub fn refuse_late_head(&self) {
        self.late.store(true, Ordering::Relaxed);
    }

    fn is_refused(&self) -> bool {
        self.late.load(Ordering::Relaxed) && !self.bytes.lock().is_empty()
    }

    fn add(&self, bytes: &[u8]) {
        let mut record = self.bytes.lock();
        record.extend_from_slice(bytes);
        let surplus = record.len().saturating_sub(RECORD_BYTES);
        let _ = record.split_to(surplus);
    }

    /// Returns whether the head of a request as it was sent has a content length. Forgets what was
    /// read up to now.
    pub fn take_length(&self, parts: &Parts) -> bool {
        let record = std::mem::take(&mut *self.bytes.lock());
        has_length(&record, parts)
    }
}

/// Looks for the last head with the method and target of `parts`.
fn has_length(record: &[u8], parts: &Parts) -> bool {
    let text = String::from_utf8_lossy(record);
    let start = format!("{} {} ", parts.method, parts.uri);
    let Some(position) = text.rfind(&start) else { return false };
    let lines = text[position..].split("\r\n").skip(1);
    let mut names =
        lines.take_while(|line| !line.is_empty()).filter_map(|line| line.split_once(':'));
    names.any(|(name, _)| name.trim().eq_ignore_ascii_case("content-length"))
}

/// A caller's connection that remembers what was read lately.
#[derive(Debug)]
pub struct RecordedStream {
    stream: TcpStream,
    record: ReadRecord,
}

impl RecordedStream {
    /// Returns the connection and its record.
    pub fn new(stream: TcpStream) -> (Self, ReadRecord) {
        let record = ReadRecord::new();
        (Self { stream, record: record.clone() }, record)
    }
}

impl Drop for RecordedStream {
    fn drop(&mut self) {
        if self.record.is_refused() {
            // The connection closes in any case.
            let _ = self.stream.try_write(LATE_HEAD_ANSWER);
        }
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = &buffer.filled()[before..];
        if !read.is_empty() {
            self.record.add(read);
        }
        result
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
