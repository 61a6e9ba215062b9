//! TCP options of long-lived connections.

use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// The idle time after which the system sends a keepalive probe, and the interval between probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed. Together with the
/// times above, a connection that no longer responds is closed after about 3 s.
const KEEPALIVE_RETRIES: u32 = 2;
/// The longest time for which sent data may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets keepalive and user timeout, so that the system closes a connection whose other end no
/// longer responds.
///
/// # Errors
///
/// Fails if the system does not support the options.
pub fn set_keepalive<S: AsFd>(stream: &S) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
