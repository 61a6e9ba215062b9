//! A caller: one request on a new connection, and what comes back.

use std::net::SocketAddr;
use std::time::Duration;

use platform::stand::is_signed;

use crate::http::Connection;

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    /// The key of a tenant.
    pub key: Option<&'a str>,
    pub body: &'a str,
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub signed: bool,
}

/// Sends a request and reads its answer.
pub fn call(front: SocketAddr, request: &Request<'_>) -> Answer {
    let Request { method, path, host, id, deadline_ms, key, body } = request;
    let key = key.map(|key| format!("Authorization: Token {key}\r\n")).unwrap_or_default();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n\
         Deadline-Remaining: {deadline_ms}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let read = || {
        let mut connection =
            Connection::open(front, Duration::from_millis(deadline_ms + 500)).ok()?;
        connection.write(text.as_bytes()).ok()?;
        let head = connection.read_head().ok()??;
        connection.read_body(&head).ok()?;
        Some(Answer { status: head.word(1).parse().ok()?, signed: is_signed(&head.map()) })
    };
    read().unwrap_or_default()
}
