//! As much of HTTP/1.1 as the stand-ins need.

use std::io;

use ::http::{HeaderMap, HeaderName, HeaderValue};
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The head of a request or of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// The header fields with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(field, _)| field == name);
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the fields as a map.
    pub fn map(&self) -> HeaderMap {
        let field = |(name, value): &(String, String)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_str(value).ok()?))
        };
        self.fields.iter().filter_map(field).collect()
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a head. Returns `None` if the connection ends before its first byte.
pub async fn read_head<R: AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            let is_empty = head.line.is_empty();
            return if is_empty { Ok(None) } else { Err(broken("the head ends early")) };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else {
            let (name, value) = line.split_once(':').ok_or_else(|| broken("no colon"))?;
            head.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces. `to_end` is whether it may end with the connection.
pub async fn read_body<R: AsyncBufRead + Unpin>(
    reader: &mut R,
    head: &Head,
    to_end: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).await?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).await?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match head.get("content-length") {
        Some(length) => {
            body.resize(length.parse().map_err(|_| broken("length"))?, 0);
            reader.read_exact(&mut body).await?;
        }
        None if to_end => {
            reader.read_to_end(&mut body).await?;
        }
        None => {}
    }
    Ok(body)
}

/// Writes an answer with a length.
pub async fn write_answer<W: AsyncWrite + Unpin>(
    writer: &mut W,
    status: u16,
    headers: &HeaderMap,
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or("")));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes).await?;
    writer.flush().await
}
