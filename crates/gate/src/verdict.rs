//! Classifies an upstream's answer, and forwards it or turns it into a failed attempt.

use std::ops::Range;

use base::prelude::*;
use bytes::Bytes;
use codec::prelude::*;
use http::{Response, StatusCode};
use hyper::body::Incoming;
use route::prelude::*;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout_at;
use trace::prelude::CallCause;

use crate::answer::AnswerBody;
use crate::attempt::{AttemptResult, CallAttempt, FailedAttempt};
use crate::body;
use crate::held_bytes::HeldBody;
use crate::mechanism::Mechanism;
use crate::retry::NextStep;
use crate::running::RunningCall;
use crate::wish;

/// The statuses of final answers (RFC 9110, section 15). hyper refuses those below 100 and passes
/// over interim ones, except for 101, which the gateway never asks for.
const FINAL_STATUSES: Range<u16> = 200..600;

impl<C: CallCodec> CallAttempt<'_, C> {
    /// Classifies an answer, and returns it for the caller or as part of a failed attempt.
    pub(crate) async fn classify(
        &self,
        response: Response<Incoming>,
        mut running: RunningCall,
    ) -> AttemptResult {
        let (mut parts, mut incoming) = response.into_parts();
        if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
            return Err(self.foreign_answer(running));
        }
        let mut facts = C::read_answer(parts.status, &mut parts.headers, &self.call.id);
        running.load = facts.load;
        running.result = call_result(facts.verdict);
        if let Some(connection) = &running.connection {
            let (server, now) = (connection.link().server(), self.state.clock.now());
            wish::apply(self.state, self.context, server, facts.wish, now);
        }
        let upstream = running.upstream.clone();
        if facts.verdict == AnswerVerdict::Foreign {
            if self.state.options.tuning.uses(Mechanism::ForeignAnswer) {
                return Err(self.foreign_answer(running));
            }
            facts.verdict = AnswerVerdict::Accepted;
        }
        let (prefix, complete, permit) = self.read_answer_body(&mut incoming, &mut running).await?;
        C::set_answer_headers(&mut parts.headers, facts.verdict, &self.call.id);
        let body = if complete {
            running.complete().await;
            AnswerBody::held(HeldBody::new(prefix, permit))
        } else {
            AnswerBody::relayed(prefix, incoming, running)
        };
        let mut answer = Response::from_parts(parts, body);
        if facts.verdict == AnswerVerdict::NotRun {
            answer.extensions_mut().insert(CallFate::NotRun);
        }
        match facts.verdict {
            AnswerVerdict::Accepted if facts.can_forward => return Ok(answer),
            AnswerVerdict::Misdirected => {
                // Every connection of the link reaches the server that has the address now.
                if let Some(link) = self.state.links.link(&upstream) {
                    let now = self.state.clock.now();
                    link.retire(now);
                    wish::record_moved(self.state, self.context, link.server(), now);
                }
            }
            _ => {}
        }
        let refusal = match facts.verdict {
            AnswerVerdict::NotRun => self.refuse("the upstream refused the call; repeat it"),
            AnswerVerdict::Misdirected => self.refuse("the upstream has moved; repeat the call"),
            _ => CallRefusal::unknown(StatusCode::BAD_GATEWAY, "the upstream reported an error"),
        };
        let refusal = refusal.with_cause(call_cause(facts.verdict, facts.wish));
        let failure = FailedAttempt::at(upstream, refusal, NextStep::Retry);
        let replaced = match facts.verdict {
            AnswerVerdict::Misdirected => true,
            AnswerVerdict::NotRun => self.state.options.tuning.replaces_refusals,
            _ => false,
        };
        let can_forward = facts.can_forward && !replaced;
        let answer = if can_forward { Some(answer) } else { discard(answer) };
        Err(Box::new(FailedAttempt { answer, ..*failure }))
    }

    /// Reads the body of an answer up to the buffering limit, if there is memory for it. Returns what
    /// arrived, whether the body is complete, and the permit for that memory.
    async fn read_answer_body(
        &self,
        incoming: &mut Incoming,
        running: &mut RunningCall,
    ) -> Result<(Bytes, bool, Option<OwnedSemaphorePermit>), Box<FailedAttempt>> {
        if http_body::Body::is_end_stream(incoming) {
            return Ok((Bytes::new(), true, None));
        }
        let limit = self.state.options.tuning.buffered_answer_bytes;
        let length = http_body::Body::size_hint(incoming).exact();
        if limit == 0 || length.is_some_and(|length| length > limit as u64) {
            return Ok((Bytes::new(), false, None));
        }
        let needed = length.map_or(limit, |length| length as usize);
        // Without memory, the answer is passed on while it arrives.
        let Some(permit) = self.state.held_answers.reserve(needed) else {
            return Ok((Bytes::new(), false, None));
        };
        let deadline = self.state.clock.to_instant(self.call.request.deadline).into();
        match timeout_at(deadline, body::read_answer_prefix(incoming, limit)).await {
            Ok(Ok((read, complete))) => Ok((read, complete, Some(permit))),
            Ok(Err(source)) => {
                let upstream = running.upstream.clone();
                running.report(CallResult::ConnectionLost);
                let message = format!("the upstream's answer ended early: {source}");
                let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
                let refusal = refusal.with_cause(CallCause::Truncated);
                Err(FailedAttempt::at(upstream, refusal, NextStep::RetryAfterLoss))
            }
            Err(_) => {
                running.report(CallResult::TimedOut);
                Err(FailedAttempt::without_retry(self.timeout_refusal(false)))
            }
        }
    }

    /// Fails an attempt whose connection carried something other than its answer.
    fn foreign_answer(&self, mut running: RunningCall) -> Box<FailedAttempt> {
        let upstream = running.upstream.clone();
        running.connection = None;
        running.report(CallResult::ServerError);
        let message = "the upstream sent something other than the answer to this call";
        let refusal = CallRefusal::unknown(StatusCode::BAD_GATEWAY, message);
        let refusal = refusal.with_cause(CallCause::ForeignAnswer);
        FailedAttempt::at(upstream, refusal, NextStep::Retry)
    }
}

/// Reads a short answer to its end, so that its connection can be reused. Returns `None`: there is
/// no answer that may be forwarded.
fn discard(answer: Response<AnswerBody>) -> Option<Response<AnswerBody>> {
    answer.into_body().discard();
    None
}

const fn call_result(verdict: AnswerVerdict) -> CallResult {
    match verdict {
        AnswerVerdict::Accepted => CallResult::Success,
        AnswerVerdict::NotRun => CallResult::Shed,
        AnswerVerdict::Misdirected => CallResult::ConnectFailed,
        AnswerVerdict::Failed | AnswerVerdict::Foreign => CallResult::ServerError,
    }
}

const fn call_cause(verdict: AnswerVerdict, wish: UpstreamWish) -> CallCause {
    match verdict {
        AnswerVerdict::NotRun if wish.final_drain => CallCause::UpstreamLeaves,
        AnswerVerdict::NotRun if wish.pause.is_some() => CallCause::Paused,
        AnswerVerdict::Accepted => CallCause::Answered,
        AnswerVerdict::NotRun => CallCause::Shed,
        AnswerVerdict::Misdirected => CallCause::ConnectFailed,
        AnswerVerdict::Failed => CallCause::UpstreamError,
        AnswerVerdict::Foreign => CallCause::ForeignAnswer,
    }
}
