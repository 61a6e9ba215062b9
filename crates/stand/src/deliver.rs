//! Turns an answer into one that goes wrong.

use std::fmt::Write;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::BodyExt;

use crate::body::StandBody;
use crate::fault::AnswerFault;
use crate::script::{RawScript, ScriptEnd};

/// What follows an answer that is too long. It must not look like the start of an answer.
const EXTRA_BYTE: u8 = b'x';

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyFrame {
    Length,
    Connection,
}

/// Sends an answer as its fault demands.
pub(crate) async fn deliver(
    mut answer: Response<StandBody>,
    fault: Option<AnswerFault>,
) -> Result<Response<StandBody>, RawScript> {
    match fault {
        None
        | Some(
            AnswerFault::Foreign
            | AnswerFault::Unsigned
            | AnswerFault::Early { .. }
            | AnswerFault::Status { .. },
        ) => Ok(answer),
        Some(AnswerFault::Close) => {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            Ok(answer)
        }
        Some(AnswerFault::Silent) => std::future::pending().await,
        Some(AnswerFault::Reset) => Err(RawScript::ending(ScriptEnd::Reset)),
        Some(AnswerFault::Extra { bytes }) => {
            let mut whole = encode(answer, BodyFrame::Length, usize::MAX).await?;
            whole.resize(whole.len() + bytes, EXTRA_BYTE);
            Err(RawScript::new(whole, ScriptEnd::Hold))
        }
        Some(AnswerFault::Second) => {
            let whole = Bytes::from(encode(answer, BodyFrame::Length, usize::MAX).await?);
            Err(RawScript::new(whole.clone(), ScriptEnd::Hold).then(whole))
        }
        Some(AnswerFault::Truncated { bytes }) => {
            let part = encode(answer, BodyFrame::Length, bytes).await?;
            Err(RawScript::new(part, ScriptEnd::Close))
        }
        Some(AnswerFault::Unframed) => {
            let whole = encode(answer, BodyFrame::Connection, usize::MAX).await?;
            Err(RawScript::new(whole, ScriptEnd::Close))
        }
        Some(AnswerFault::UnframedReset { bytes }) => {
            let part = encode(answer, BodyFrame::Connection, bytes).await?;
            Err(RawScript::new(part, ScriptEnd::Reset))
        }
    }
}

/// Returns a status of a plan, which may name a number that is none.
pub(crate) fn planned_status(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Returns the bytes of an answer with at most `limit` bytes of its body.
async fn encode(
    answer: Response<StandBody>,
    frame: BodyFrame,
    limit: usize,
) -> Result<Vec<u8>, RawScript> {
    let (mut head, body) = answer.into_parts();
    // An echo ends early if its caller does.
    let Ok(body) = body.collect().await else { return Err(RawScript::ending(ScriptEnd::Close)) };
    let body = body.to_bytes();
    if frame == BodyFrame::Length {
        head.headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let mut bytes = encode_head(&head).into_bytes();
    bytes.extend_from_slice(&body[..limit.min(body.len())]);
    Ok(bytes)
}

fn encode_head(head: &Parts) -> String {
    let reason = head.status.canonical_reason().unwrap_or_default();
    let mut text = format!("HTTP/1.1 {} {reason}\r\n", head.status.as_u16());
    for (name, value) in &head.headers {
        // The stand-in sets headers of visible characters only. Writing to a string does not fail.
        let _ = write!(text, "{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    text.push_str("\r\n");
    text
}
