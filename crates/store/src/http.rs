//! [`PlatformStore`] over HTTP/1.1 and JSON.

use std::sync::Arc;

use ::http::{Method, StatusCode};
use base::prelude::*;
use bytes::Bytes;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;

use crate::budget::CallCost;
use crate::client::{HttpSettings, StoreClient, status_error};
use crate::connection::{CallFailure, StoreAnswer, StoreCall};
use crate::digest::content_digest;
use crate::row::{RowEntry, RowKey, RowWrite, ScanRow};
use crate::store::{MemberList, PlatformStore, StoreError, TransactOutcome};
use crate::wire::{
    MembersResponse, ReadRequest, ReadResponse, ScanResponse, TransactRequest, TransactResponse,
};

/// The most calls to learn the outcome of a transaction whose answer was lost.
const RESOLVE_ATTEMPTS: u32 = 2;
/// The platform over HTTP. Clones share connections, circuit breaker and budget.
#[derive(Clone, Debug)]
pub struct HttpStore<C> {
    client: Arc<StoreClient<C>>,
}

impl<C: ClockSource> HttpStore<C> {
    /// Returns a store that connects when it is first used.
    pub fn new(settings: HttpSettings, clock: C) -> Self {
        Self { client: Arc::new(StoreClient::new(settings, clock)) }
    }

    /// Returns whether the circuit breaker is open because recent calls failed.
    pub fn is_down(&self) -> bool {
        self.client.is_down()
    }

    /// Changes the timeout of calls. Calls that have been sent keep theirs.
    pub fn set_call_timeout(&self, timeout: ClockSpan) {
        self.client.set_call_timeout(timeout);
    }

    async fn transact_once(
        &self,
        body: Bytes,
        count: usize,
    ) -> Result<TransactOutcome, CallFailure> {
        let call = transact_call(body);
        let answer = self.client.call(call, CallCost::Write).await?;
        transact_outcome(&answer, count).map_err(CallFailure::sent)
    }

    /// Learns the outcome of a transaction whose answer was lost, by sending a transaction with the
    /// same id and without writes. If the first one committed, the answer repeats its versions. If
    /// not, the empty transaction commits under this id, and the first one can no longer commit.
    async fn resolve(
        &self,
        attempt: &SharedName,
        count: usize,
        error: StoreError,
    ) -> TransactOutcome {
        let body = transact_body(attempt, Vec::new());
        for _ in 0..RESOLVE_ATTEMPTS {
            self.client.close_idle();
            match self.resolve_once(body.clone(), count).await {
                Ok(Some(versions)) => {
                    tracing::info!(
                        event = 1803,
                        %attempt,
                        "answer was lost; the transaction has committed"
                    );
                    return TransactOutcome::Done { versions };
                }
                Ok(None) => {
                    tracing::info!(
                        event = 1804,
                        %attempt,
                        "answer was lost; the transaction has not committed"
                    );
                    return TransactOutcome::NotDone { error };
                }
                Err(failure) if failure.refused => break,
                Err(_) => {}
            }
        }
        tracing::warn!(event = 1805, %attempt, %error, "transaction outcome is unknown");
        TransactOutcome::Unknown { error }
    }

    async fn resolve_once(
        &self,
        body: Bytes,
        count: usize,
    ) -> Result<Option<Vec<u64>>, CallFailure> {
        let call = transact_call(body);
        let answer = self.client.call(call, CallCost::Write).await?;
        let response: TransactResponse = parse(&answer).map_err(CallFailure::sent)?;
        match response.versions.len() {
            _ if !response.committed => {
                Err(CallFailure::sent(malformed("conflict for a transaction without writes")))
            }
            0 => Ok(None),
            length if length == count => Ok(Some(response.versions)),
            _ => Err(CallFailure::sent(malformed("wrong number of versions"))),
        }
    }

    async fn fetch(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<StoreAnswer, StoreError> {
        let call = StoreCall::new(method, path, body).repeatable();
        self.client.call(call, CallCost::Read).await.map_err(|failure| failure.error)
    }
}

fn transact_call(body: Bytes) -> StoreCall {
    let path = "/v1/transact".to_owned();
    StoreCall::new(Method::POST, path, body)
}

fn transact_body(attempt: &SharedName, writes: Vec<RowWrite>) -> Bytes {
    encode(&TransactRequest { attempt: attempt.clone(), writes })
}

fn encode<T: serde::Serialize>(value: &T) -> Bytes {
    // The wire types hold strings, numbers and JSON values, which always have a JSON form.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn malformed(detail: &str) -> StoreError {
    StoreError::Malformed { detail: detail.to_owned() }
}

fn transact_outcome(answer: &StoreAnswer, count: usize) -> Result<TransactOutcome, StoreError> {
    match answer.status {
        StatusCode::OK => {
            let TransactResponse { committed, versions, .. } = parse_body(answer)?;
            if !committed || versions.len() != count {
                return Err(malformed("commit does not match the transaction"));
            }
            Ok(TransactOutcome::Done { versions })
        }
        StatusCode::CONFLICT => {
            let TransactResponse { committed, conflicts, .. } = parse_body(answer)?;
            let fits = conflicts.iter().all(|conflict| conflict.index < count);
            if committed || conflicts.is_empty() || !fits {
                return Err(malformed("conflict does not match the transaction"));
            }
            Ok(TransactOutcome::Conflict { conflicts })
        }
        status if status.is_client_error() => {
            Ok(TransactOutcome::NotDone { error: status_error(answer) })
        }
        _ => Err(status_error(answer)),
    }
}

fn parse<T: DeserializeOwned>(answer: &StoreAnswer) -> Result<T, StoreError> {
    if answer.status != StatusCode::OK {
        return Err(status_error(answer));
    }
    parse_body(answer)
}

fn parse_body<T: DeserializeOwned>(answer: &StoreAnswer) -> Result<T, StoreError> {
    serde_json::from_slice(&answer.body)
        .map_err(|error| StoreError::Malformed { detail: error.to_string() })
}

impl<C: ClockSource> PlatformStore for HttpStore<C> {
    async fn transact(&self, attempt: &SharedName, writes: Vec<RowWrite>) -> TransactOutcome {
        let count = writes.len();
        if count == 0 {
            return TransactOutcome::Done { versions: Vec::new() };
        }
        match self.transact_once(transact_body(attempt, writes), count).await {
            Ok(outcome) => outcome,
            Err(failure) if failure.sent => self.resolve(attempt, count, failure.error).await,
            Err(failure) => TransactOutcome::NotDone { error: failure.error },
        }
    }

    async fn read(&self, rows: Vec<RowKey>) -> Result<Vec<Option<RowEntry>>, StoreError> {
        let count = rows.len();
        let body = encode(&ReadRequest { rows });
        let answer = self.fetch(Method::POST, "/v1/read".to_owned(), body).await?;
        let ReadResponse { rows } = parse(&answer)?;
        if rows.len() != count {
            return Err(malformed("expected one row for each key"));
        }
        Ok(rows)
    }

    async fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<ScanRow>, StoreError> {
        let table_part = utf8_percent_encode(table, NON_ALPHANUMERIC);
        let after_part = utf8_percent_encode(after, NON_ALPHANUMERIC);
        let path = format!("/v1/scan/{table_part}?after={after_part}&limit={limit}");
        let answer = self.fetch(Method::GET, path, Bytes::new()).await?;
        let ScanResponse { rows } = parse(&answer)?;
        let ordered = rows.windows(2).all(|pair| pair[0].key < pair[1].key);
        let starts = rows.first().is_none_or(|row| after.is_empty() || *row.key > *after);
        if rows.len() > limit || !ordered || !starts {
            return Err(malformed("rows are not the ones that follow the given key"));
        }
        Ok(rows)
    }

    async fn put_object(&self, digest: &SharedName, bytes: Bytes) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{digest}");
        // Objects are named by their digest, so that storing one twice is harmless.
        let call = StoreCall::new(Method::PUT, path, bytes).repeatable();
        let answer = self.client.call(call, CallCost::Write).await.map_err(|f| f.error)?;
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => Ok(()),
            _ => Err(status_error(&answer)),
        }
    }

    async fn load_object(&self, digest: &SharedName) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/v1/objects/{digest}");
        let answer = self.fetch(Method::GET, path, Bytes::new()).await?;
        match answer.status {
            StatusCode::OK if content_digest(&answer.body) == *digest => Ok(Some(answer.body)),
            StatusCode::OK => Err(malformed("object does not match its digest")),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(&answer)),
        }
    }

    async fn members(&self) -> Result<MemberList, StoreError> {
        let answer = self.fetch(Method::GET, "/v1/members".to_owned(), Bytes::new()).await?;
        let MembersResponse { members, age_ms } = parse(&answer)?;
        Ok(MemberList { members, age: ClockSpan::from_millis(age_ms) })
    }
}
