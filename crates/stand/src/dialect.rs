//! The interface between an upstream stand-in and the protocol of its request and answer headers.

use std::fmt;

use base::prelude::*;
use http::{HeaderMap, Method};

use crate::slot::LoadFigures;

/// What a request asks of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamCall<'a> {
    /// A health check.
    Health,
    /// A load probe.
    Load,
    /// The cancellation of the queued request with this id.
    Cancel(&'a str),
    /// A request to run.
    Work,
}

/// What an upstream reads from the headers of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestFields {
    /// The id of the request.
    pub request: Option<SharedName>,
    /// The idempotency key, which names a non-idempotent piece of work.
    pub key: Option<SharedName>,
    /// The time until the deadline.
    pub remaining: Option<ClockSpan>,
    /// The name of the instance that may run the request; any instance if absent.
    pub expected: Option<SharedName>,
}

/// Whether a request was run, as its answer reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFate {
    /// The request was run.
    Run,
    /// The answer does not show whether the request was run.
    Unknown,
    /// The request was not run and will not be.
    NotRun,
    /// The request names another instance and was not run.
    Misdirected,
    /// The request is a health check or a load probe.
    Check,
}

/// The load that an upstream reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSample {
    /// Running and queued requests, and slots.
    pub figures: LoadFigures,
    /// The pace in percent of the usual service time, if it is reported; higher is slower.
    pub pace_percent: Option<u32>,
}

/// What the headers of an answer report.
#[derive(Clone, Copy, Debug)]
pub struct AnswerFields<'a> {
    /// The name of the instance.
    pub name: &'a str,
    /// The id of the request.
    pub request: Option<&'a str>,
    /// Whether the request was run.
    pub fate: AnswerFate,
    /// The load, if it is reported.
    pub load: Option<LoadSample>,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Whether it reports that it drains until it ends.
    pub final_drain: bool,
    /// The delay after which the caller may retry.
    pub retry_after: Option<ClockSpan>,
}

/// Reads the headers of requests and sets the headers of answers.
pub trait UpstreamDialect: Copy + fmt::Debug + Send + Sync + 'static {
    /// The path of health checks if the plan names none.
    const HEALTH_PATH: &'static str;

    /// Classifies a request by its method and path.
    fn call<'a>(method: &Method, path: &'a str, health_path: &str) -> UpstreamCall<'a>;

    /// Reads the headers of a request.
    fn read(headers: &HeaderMap) -> RequestFields;

    /// Sets the headers of an answer.
    fn set_answer_headers(headers: &mut HeaderMap, fields: &AnswerFields<'_>);
}
