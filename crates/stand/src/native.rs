//! The native dialect: the `agateroad-` headers of requests and answers.

use std::fmt::Write;

use base::prelude::*;
use http::header::{HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Method};

use crate::dialect::{AnswerFate, AnswerFields, RequestFields, UpstreamCall, UpstreamDialect};
use crate::web;

const REQUEST_ID: &str = "agateroad-request-id";
const LOAD_PATH: &str = "/agateroad/load";
const CANCEL_PREFIX: &str = "/agateroad/cancel/";
/// Converts retry delays to the seconds of `retry-after`.
const MS_PER_SECOND: u64 = 1000;

/// The dialect of upstreams with the interface `agateroad`.
#[derive(Clone, Copy, Debug)]
pub struct NativeDialect;

impl UpstreamDialect for NativeDialect {
    const HEALTH_PATH: &'static str = "/agateroad/health";

    fn call<'a>(_method: &Method, path: &'a str, health_path: &str) -> UpstreamCall<'a> {
        if path == health_path {
            UpstreamCall::Health
        } else if path == LOAD_PATH {
            UpstreamCall::Load
        } else {
            path.strip_prefix(CANCEL_PREFIX).map_or(UpstreamCall::Work, UpstreamCall::Cancel)
        }
    }

    fn read(headers: &HeaderMap) -> RequestFields {
        let name = |header: &str| web::header(headers, header).map(SharedName::from);
        RequestFields {
            request: name(REQUEST_ID),
            key: name("idempotency-key"),
            remaining: web::header(headers, "agateroad-deadline-ms")
                .and_then(|text| text.parse().ok())
                .map(ClockSpan::from_millis),
            expected: None,
        }
    }

    fn set_answer_headers(headers: &mut HeaderMap, fields: &AnswerFields<'_>) {
        if let Some(load) = fields.load {
            let figures = load.figures;
            let mut text = String::with_capacity(16);
            let _ = write!(text, "{}/{}/{}", figures.in_flight, figures.slots, figures.queued);
            if let Ok(value) = HeaderValue::try_from(text) {
                headers.insert("agateroad-load", value);
            }
        }
        if fields.draining {
            headers.insert("agateroad-drain", HeaderValue::from_static("1"));
        }
        // Answers to work carry no request id, because the gateway sends the id to the caller.
        if fields.fate == AnswerFate::Check
            && let Some(Ok(id)) = fields.request.map(HeaderValue::from_str)
        {
            headers.insert(REQUEST_ID, id);
        }
        if fields.fate == AnswerFate::NotRun {
            headers.insert("agateroad-shed", HeaderValue::from_static("1"));
        }
        if let Some(span) = fields.retry_after {
            let seconds = span.as_millis().div_ceil(MS_PER_SECOND);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
    }
}
