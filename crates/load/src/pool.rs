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
    /// The index of the request kind in the plan.
    pub(crate) kind: usize,
    pub(crate) nonce: u64,
    /// The number that replaces the placeholder in the path.
    pub(crate) number: u64,
    /// Whether its intended time is after the warm-up.
    pub(crate) measured: bool,
}

/// The state that all pools of a thread share.
#[derive(Debug)]
pub(crate) struct PoolContext {
    pub(crate) kinds: Vec<PreparedKind>,
    pub(crate) timeout: Duration,
    pub(crate) send_within: Duration,
    pub(crate) tallies: RefCell<Vec<KindTally>>,
}

#[derive(Debug)]
struct CallQueue {
    due: VecDeque<DueCall>,
    idle: Vec<Rc<Notify>>,
    closed: bool,
}

/// The calls that are due at one target, and the workers that make them. Each worker has at most
/// one connection.
#[derive(Debug)]
pub(crate) struct WorkerPool {
    target: SocketAddr,
    context: Rc<PoolContext>,
    limit: usize,
    queue: Rc<RefCell<CallQueue>>,
    workers: JoinSet<()>,
}

impl WorkerPool {
    pub(crate) fn new(target: SocketAddr, limit: usize, context: Rc<PoolContext>) -> Self {
        let queue = CallQueue { due: VecDeque::new(), idle: Vec::new(), closed: false };
        Self {
            target,
            context,
            limit,
            queue: Rc::new(RefCell::new(queue)),
            workers: JoinSet::new(),
        }
    }

    /// Queues a call and wakes the worker that became idle last, so that as few connections as
    /// possible are used. Without an idle worker, starts another one up to the limit.
    pub(crate) fn push(&mut self, call: DueCall) {
        let idle = {
            let mut queue = self.queue.borrow_mut();
            queue.due.push_back(call);
            queue.idle.pop()
        };
        if let Some(worker) = idle {
            worker.notify_one();
        } else if self.workers.len() < self.limit {
            let worker =
                PoolWorker { target: self.target, context: self.context.clone(), sender: None };
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

/// Makes the calls of the queue one after the other on its connection.
struct PoolWorker {
    target: SocketAddr,
    context: Rc<PoolContext>,
    sender: Option<CallSender>,
}

impl PoolWorker {
    async fn run(mut self, queue: Rc<RefCell<CallQueue>>) {
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
        let deadline = call.intended + self.context.timeout;
        let delay = call.intended.elapsed();
        let end = if delay >= self.context.send_within {
            CallEnd::Unsent
        } else {
            if call.measured {
                self.context.tallies.borrow_mut()[call.kind].record_sent(delay);
            }
            // A call that times out drops its connection, on which the answer may still arrive.
            let exchange = tokio::time::timeout_at(deadline.into(), self.exchange(call));
            exchange.await.unwrap_or(CallEnd::TimedOut)
        };
        if call.measured {
            let latency = call.intended.elapsed();
            self.context.tallies.borrow_mut()[call.kind].record_end(end, latency);
        }
    }

    async fn exchange(&mut self, call: DueCall) -> CallEnd {
        let context = self.context.clone();
        let kind = &context.kinds[call.kind];
        let Some(mut sender) = self.connection().await else { return CallEnd::ConnectionError };
        let request = kind.request(call.nonce, call.number);
        let Ok(answer) = sender.send_request(request).await else {
            return CallEnd::ConnectionError;
        };
        let head = kind.classify_head(call.nonce, &answer);
        let mut body = answer.into_body();
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => length += frame.data_ref().map_or(0, Bytes::len) as u64,
                Err(_) => return CallEnd::ShortBody,
            }
        }
        self.sender = Some(sender);
        kind.classify_body(head, length)
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
