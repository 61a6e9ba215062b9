//! The connections of one thread to one target.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::call::PreparedKind;
use crate::tally::{CallEnd, KindTally};

type CallSender = SendRequest<Full<Bytes>>;

/// A call that is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueCall {
    pub(crate) intended: Instant,
    pub(crate) kind: usize,
    pub(crate) nonce: u64,
    pub(crate) number: u64,
    /// Whether it was intended after the warm-up.
    pub(crate) measured: bool,
}

/// What all lanes of a thread share.
#[derive(Debug)]
pub(crate) struct LaneBook {
    pub(crate) kinds: Vec<PreparedKind>,
    pub(crate) timeout: Duration,
    pub(crate) send_within: Duration,
    pub(crate) tallies: RefCell<Vec<KindTally>>,
}

#[derive(Debug)]
struct LaneQueue {
    due: VecDeque<DueCall>,
    idle: Vec<Rc<Notify>>,
    closed: bool,
}

/// Calls that are due at one target, and the workers that make them. Each worker owns at most one
/// connection.
#[derive(Debug)]
pub(crate) struct CallLane {
    target: SocketAddr,
    book: Rc<LaneBook>,
    limit: usize,
    queue: Rc<RefCell<LaneQueue>>,
    workers: JoinSet<()>,
}

impl CallLane {
    pub(crate) fn new(target: SocketAddr, limit: usize, book: Rc<LaneBook>) -> Self {
        let queue = LaneQueue { due: VecDeque::new(), idle: Vec::new(), closed: false };
        Self { target, book, limit, queue: Rc::new(RefCell::new(queue)), workers: JoinSet::new() }
    }

    /// Hands a call to the worker that was busy last, so that as few connections as possible are
    /// used, or to a new worker.
    pub(crate) fn push(&mut self, call: DueCall) {
        let idle = {
            let mut queue = self.queue.borrow_mut();
            queue.due.push_back(call);
            queue.idle.pop()
        };
        if let Some(worker) = idle {
            worker.notify_one();
        } else if self.workers.len() < self.limit {
            let worker = LaneWorker { target: self.target, book: self.book.clone(), sender: None };
            self.workers.spawn_local(worker.run(self.queue.clone()));
        }
    }

    /// Waits until every call has ended.
    pub(crate) async fn finish(mut self) {
        {
            let mut queue = self.queue.borrow_mut();
            queue.closed = true;
            for worker in queue.idle.drain(..) {
                worker.notify_one();
            }
        }
        while self.workers.join_next().await.is_some() {}
    }
}

/// Makes one call after the other.
struct LaneWorker {
    target: SocketAddr,
    book: Rc<LaneBook>,
    sender: Option<CallSender>,
}

impl LaneWorker {
    async fn run(mut self, queue: Rc<RefCell<LaneQueue>>) {
        let wake = Rc::new(Notify::new());
        loop {
            let next = {
                let mut queue = queue.borrow_mut();
                let next = queue.due.pop_front();
                if next.is_none() {
                    if queue.closed {
                        return;
                    }
                    queue.idle.push(wake.clone());
                }
                next
            };
            match next {
                Some(call) => self.make(call).await,
                None => wake.notified().await,
            }
        }
    }

    async fn make(&mut self, call: DueCall) {
        let deadline = call.intended + self.book.timeout;
        let delay = call.intended.elapsed();
        let end = if delay >= self.book.send_within {
            CallEnd::Unsent
        } else {
            if call.measured {
                self.book.tallies.borrow_mut()[call.kind].record_sent(delay);
            }
            // A call that is given up takes its connection along, on which the answer may still come.
            let exchange = tokio::time::timeout_at(deadline.into(), self.exchange(call));
            exchange.await.unwrap_or(CallEnd::TimedOut)
        };
        if call.measured {
            let latency = call.intended.elapsed();
            self.book.tallies.borrow_mut()[call.kind].record_end(end, latency);
        }
    }

    async fn exchange(&mut self, call: DueCall) -> CallEnd {
        let book = self.book.clone();
        let kind = &book.kinds[call.kind];
        let Some(mut sender) = self.connection().await else { return CallEnd::ConnectionError };
        let request = kind.request(call.nonce, call.number);
        let Ok(answer) = sender.send_request(request).await else {
            return CallEnd::ConnectionError;
        };
        let head = kind.judge_head(call.nonce, &answer);
        let mut body = answer.into_body();
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => length += frame.data_ref().map_or(0, Bytes::len) as u64,
                Err(_) => return CallEnd::ShortBody,
            }
        }
        self.sender = Some(sender);
        kind.judge_body(head, length)
    }

    /// Returns the connection if it is still usable, or a new one.
    async fn connection(&mut self) -> Option<CallSender> {
        if let Some(mut sender) = self.sender.take()
            && sender.ready().await.is_ok()
        {
            return Some(sender);
        }
        let stream = TcpStream::connect(self.target).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(connection);
        sender.ready().await.ok()?;
        Some(sender)
    }
}
