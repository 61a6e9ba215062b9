//! The connection of a caller: detects requests that have both `content-length` and
//! `transfer-encoding`, and closes the connection without losing the last answer.
//!
//! Such a request must be refused, because other readers of the same bytes may see another end of
//! its body. hyper drops the `content-length` of such a request before the gateway sees its head,
//! so the bytes that a caller's connection carried recently are kept and the head is looked up
//! there.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use base::prelude::*;
use bytes::BytesMut;
use http::header;
use http::request::Parts;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

/// The longest request head. Also the size of the read buffer of a caller's connection.
pub(crate) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most header fields of a request.
pub(crate) const MAX_HEADERS: usize = 64;
/// How many bytes are kept. When hyper takes a head from its buffer, the buffer begins with that
/// head and holds at most twice the longest head, because one read adds at most its length.
const HISTORY_BYTES: usize = 2 * MAX_HEAD_BYTES;

/// How long the gateway reads on after its last bytes to a caller. In this time a caller with a link
/// of 10 Mbit/s receives 2.5 MB.
const LINGER_SPAN: ClockSpan = ClockSpan::from_secs(2);
/// The most bytes that are read at once while a connection is closed.
const DISCARD_BYTES: usize = 4096;

/// The answer to a head that did not arrive in time.
const HEAD_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The bytes that were read from a connection recently.
#[derive(Debug, Default)]
struct HistoryState {
    bytes: BytesMut,
    /// Whether bytes were read since hyper took the last head.
    read_since_head: bool,
}

/// The bytes that were read from a connection recently. The connection adds to them, and the server
/// looks up heads in them.
#[derive(Clone, Debug)]
pub struct ReadHistory {
    state: Arc<RankedMutex<HistoryState>>,
    /// Whether a head did not arrive in time.
    timed_out: Arc<AtomicBool>,
}

impl ReadHistory {
    fn new() -> Self {
        let state = RankedMutex::new(LockRank::ConnectionPool, HistoryState::default());
        Self { state: Arc::new(state), timed_out: Arc::default() }
    }

    /// Records that hyper has stopped waiting for a head. If a part of one was read, its caller
    /// gets an error answer when the connection is closed.
    pub fn time_out_head(&self) {
        self.timed_out.store(true, Ordering::Relaxed);
    }

    /// Returns whether the wait for a head timed out after a part of it was read.
    fn needs_timeout_answer(&self) -> bool {
        self.timed_out.load(Ordering::Relaxed) && self.state.lock().read_since_head
    }

    fn add(&self, bytes: &[u8]) {
        let mut state = self.state.lock();
        state.read_since_head = true;
        state.bytes.extend_from_slice(bytes);
        let surplus = state.bytes.len().saturating_sub(HISTORY_BYTES);
        let _ = state.bytes.split_to(surplus);
    }

    /// Returns whether the head that hyper has just taken, as `parts`, had a content length beside
    /// a transfer coding. Without a transfer coding, hyper drops nothing from `parts`.
    pub fn check_head(&self, parts: &Parts) -> bool {
        let mut state = self.state.lock();
        state.read_since_head = false;
        let has_both = parts.headers.contains_key(header::TRANSFER_ENCODING)
            && has_length(&state.bytes, parts);
        // A history that consists of exactly one head is not needed any more. Otherwise heads of
        // later requests may have been read already and are kept.
        if is_one_head(&state.bytes) {
            state.bytes = BytesMut::new();
        }
        has_both
    }
}

/// Returns whether the head of `parts` has a content length in the history.
///
/// The position of the head is not known, and its target may be formatted in another way than it
/// was sent. So every position is tried at which a head with the method can start, and heads are
/// compared by their header fields. A head that is not found counts as one with a length, so that
/// the request is refused.
fn has_length(history: &[u8], parts: &Parts) -> bool {
    let start = format!("{} ", parts.method);
    let windows = history.windows(start.len()).enumerate();
    let positions = windows.filter(|(_, window)| *window == start.as_bytes());
    let mut lengths = positions.filter_map(|(position, _)| {
        read_head(&history[position..], |_, fields| {
            let (lengths, others): (Vec<_>, Vec<_>) = fields.iter().partition(|field| {
                field.name.eq_ignore_ascii_case(header::CONTENT_LENGTH.as_str())
            });
            has_same_fields(&others, parts).then_some(!lengths.is_empty())
        })
    });
    match lengths.next() {
        Some(first) => first || lengths.any(|has_length| has_length),
        None => true,
    }
}

fn has_same_fields(fields: &[&httparse::Header<'_>], parts: &Parts) -> bool {
    fields.len() == parts.headers.len()
        && fields.iter().all(|field| {
            let mut values = parts.headers.get_all(field.name).iter();
            values.any(|value| value.as_bytes() == field.value)
        })
}

fn is_one_head(history: &[u8]) -> bool {
    read_head(history, |length, _| Some(length == history.len())).unwrap_or(false)
}

/// Parses the head at the start of `bytes` as hyper does. Returns the result of `check`, or
/// `None` if there is no complete head.
fn read_head<R>(
    bytes: &[u8],
    check: impl FnOnce(usize, &[httparse::Header<'_>]) -> Option<R>,
) -> Option<R> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => check(length, request.headers),
        Ok(httparse::Status::Partial) | Err(_) => None,
    }
}

/// A caller's connection that keeps the bytes that were read recently.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    history: ReadHistory,
    clock: RealClock,
    /// When bytes were last sent to the caller.
    last_write: Option<ClockTime>,
}

impl CallerStream {
    /// Returns the connection and its history.
    pub fn new(stream: TcpStream, clock: RealClock) -> (Self, ReadHistory) {
        let history = ReadHistory::new();
        (Self { stream, history: history.clone(), clock, last_write: None }, history)
    }

    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(_)) = result {
            self.last_write = Some(self.clock.now());
        }
    }

    /// Closes the connection. If something was sent a short time ago, this first closes only the
    /// sending side, and discards what arrives until the caller closes its own.
    ///
    /// The system resets a connection that is closed while bytes of the caller are unread or still
    /// arrive, and drops the part of the last answer that the caller has not received.
    pub async fn close(mut self) {
        if self.history.needs_timeout_answer() {
            // A failed write changes nothing, because the connection closes in any case.
            let _ = self.write_all(HEAD_TIMEOUT_ANSWER).await;
        }
        let Some(last_write) = self.last_write else { return };
        let rest = LINGER_SPAN.saturating_sub(self.clock.now().since(last_write));
        if self.stream.shutdown().await.is_ok() {
            let _ = tokio::time::timeout(rest.to_duration(), discard(&mut self.stream)).await;
        }
    }
}

/// Reads and discards what arrives until the other side closes the connection.
async fn discard(stream: &mut TcpStream) {
    let mut buffer = [0; DISCARD_BYTES];
    while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = &buffer.filled()[before..];
        if !read.is_empty() {
            self.history.add(read);
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_write(&result);
        result
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
