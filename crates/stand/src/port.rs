//! A loopback port that can be closed and reopened, and whose connections can be cut, while no
//! other process can take its address.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::error::{ListenSnafu, StandError};

/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time between attempts to reopen a port that another process has taken.
const REOPEN_PAUSE: Duration = Duration::from_millis(10);

/// Whether a port accepts connections, and its epoch: the number of times that its connections were
/// cut. Connections of an earlier epoch are closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PortState {
    open: bool,
    epoch: u64,
}

/// Opens and closes a port and its connections. The port stops when its last control is dropped.
#[derive(Clone, Debug)]
pub struct PortControl {
    state: watch::Sender<PortState>,
    listening: watch::Receiver<bool>,
}

impl PortControl {
    /// Closes every connection.
    pub fn cut(&self) {
        self.state.send_modify(|state| state.epoch += 1);
    }

    /// Refuses new connections.
    pub fn close(&self) {
        self.state.send_modify(|state| state.open = false);
    }

    /// Accepts new connections again.
    pub fn open(&self) {
        self.state.send_modify(|state| state.open = true);
    }

    /// Waits until the port accepts connections (`listening`) or refuses them (`!listening`).
    pub async fn wait_listening(&self, listening: bool) {
        // An error means that the port has stopped and its state no longer changes.
        let _ = self.listening.clone().wait_for(|current| *current == listening).await;
    }

    /// Closes every connection and refuses new ones.
    pub fn close_and_cut(&self) {
        self.state.send_modify(|state| {
            state.open = false;
            state.epoch += 1;
        });
    }
}

/// Signals that one connection has to be closed.
#[derive(Clone, Debug)]
pub struct CutSignal {
    state: watch::Receiver<PortState>,
    epoch: u64,
}

impl CutSignal {
    /// Waits until the connection has to be closed.
    pub async fn wait(&mut self) {
        let epoch = self.epoch;
        // An error means that the port has stopped, which closes its connections too.
        let _ = self.state.wait_for(|state| state.epoch != epoch).await;
    }
}

/// A listening loopback port.
#[derive(Debug)]
pub struct StandPort {
    address: SocketAddr,
    listener: Option<TcpListener>,
    state: watch::Receiver<PortState>,
    listening: watch::Sender<bool>,
}

impl StandPort {
    /// Opens a port and returns it with its control.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn open(address: SocketAddr) -> Result<(Self, PortControl), StandError> {
        let listener = bind_socket(address)
            .and_then(|socket| socket.listen(BACKLOG))
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (sender, state) = watch::channel(PortState { open: true, epoch: 0 });
        let (listening, listening_state) = watch::channel(true);
        let port = Self { address, listener: Some(listener), state, listening };
        Ok((port, PortControl { state: sender, listening: listening_state }))
    }

    /// Returns the address, with the port number that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections and passes each to `serve` until the control is dropped.
    pub async fn run(mut self, mut serve: impl FnMut(TcpStream, CutSignal)) {
        loop {
            let state = *self.state.borrow_and_update();
            if !state.open {
                self.listener = None;
                // A socket that is bound but does not listen refuses connections and keeps the
                // address from other processes.
                let socket = bind_socket(self.address);
                self.listening.send_replace(false);
                if self.state.wait_for(|state| state.open).await.is_err() {
                    return;
                }
                self.start_listening(socket);
                continue;
            }
            let Some(listener) = &self.listener else {
                tokio::time::sleep(REOPEN_PAUSE).await;
                self.start_listening(bind_socket(self.address));
                continue;
            };
            tokio::select! {
                biased;
                changed = self.state.changed() => if changed.is_err() { return },
                accepted = listener.accept() => {
                    let state = *self.state.borrow();
                    if let (Ok((stream, _)), true) = (accepted, state.open) {
                        let _ = stream.set_nodelay(true);
                        let signal = CutSignal { state: self.state.clone(), epoch: state.epoch };
                        serve(stream, signal);
                    }
                }
            }
        }
    }

    /// Listens on a bound socket, if binding succeeded.
    fn start_listening(&mut self, socket: io::Result<TcpSocket>) {
        self.listener = socket.and_then(|socket| socket.listen(BACKLOG)).ok();
        self.listening.send_replace(self.listener.is_some());
    }
}

/// Returns a socket that is bound but does not listen.
fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
