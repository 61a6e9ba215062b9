//! Client of a row store's tables: reads whole tables, follows their changes and writes single
//! rows.

use std::marker::PhantomData;
use std::sync::Arc;

use ::http::StatusCode;
use base::prelude::*;
use bytes::Bytes;

use crate::budget::CallCost;
use crate::client::{HttpSettings, StoreClient, status_error};
use crate::connection::{StoreAnswer, StoreCall};
use crate::store::StoreError;

/// The most rows that one call asks for.
const PAGE_ROWS: usize = 500;

/// A row of a table, or the information that it was removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableRow {
    /// The key within the table.
    pub key: SharedName,
    /// The version, which grows with each change.
    pub version: u64,
    /// The value, or `None` if the row was removed.
    pub value: Option<Bytes>,
}

/// The rows of one answer, or of a whole table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<TableRow>,
    /// The position in the table's history after which to read changes.
    pub position: u64,
    /// Whether the table has further rows.
    pub truncated: bool,
    /// Whether the call timed out on an idle connection and was sent again, so that the store may
    /// have been down until immediately before this answer.
    pub after_timeout: bool,
}

/// Encodes the calls of a row store and decodes their answers.
pub trait RowCodec: Copy + Send + Sync + 'static {
    /// Returns the call that reads up to `limit` rows with keys from `from` on.
    fn read_call(table: &str, from: &str, limit: usize) -> StoreCall;

    /// Returns the call that reads the changes after `position`. The store may delay its answer by
    /// up to `poll_limit` until there is a change (long poll).
    fn feed_call(table: &str, position: u64, poll_limit: ClockSpan) -> StoreCall;

    /// Returns the call that writes a row without a condition on its previous state.
    fn write_call(table: &str, key: &str, value: &[u8]) -> StoreCall;

    /// Decodes the answer to a read of rows or of changes.
    ///
    /// # Errors
    ///
    /// Fails if the answer does not follow the protocol.
    fn decode_page(body: &[u8]) -> Result<RowPage, StoreError>;
}

/// The tables of a row store. Clones share connections, circuit breaker and budget.
#[derive(Debug)]
pub struct RowStore<C, K> {
    client: Arc<StoreClient<C>>,
    codec: PhantomData<K>,
}

impl<C, K> Clone for RowStore<C, K> {
    fn clone(&self) -> Self {
        Self { client: Arc::clone(&self.client), codec: PhantomData }
    }
}

impl<C: ClockSource, K: RowCodec> RowStore<C, K> {
    /// Returns a store that connects when it is first used.
    pub fn new(settings: HttpSettings, clock: C) -> Self {
        Self { client: Arc::new(StoreClient::new(settings, clock)), codec: PhantomData }
    }

    /// Returns whether the circuit breaker is open because recent calls failed.
    pub fn is_down(&self) -> bool {
        self.client.is_down()
    }

    /// Returns how many requests timed out, including those whose call succeeded when sent again.
    pub fn timeout_count(&self) -> u64 {
        self.client.timeout_count()
    }

    /// Changes the timeout of calls. Calls that have been sent keep theirs.
    pub fn set_call_timeout(&self, timeout: ClockSpan) {
        self.client.set_call_timeout(timeout);
    }

    /// Reads a whole table, page by page. The position is that of the first page, so that changes
    /// made during the read are read again.
    ///
    /// # Errors
    ///
    /// Fails if one of the pages cannot be read.
    pub async fn read_table(&self, table: &str) -> Result<RowPage, StoreError> {
        let mut whole = self.page(K::read_call(table, "", PAGE_ROWS)).await?;
        let mut truncated = whole.truncated;
        while let Some(last) = whole.rows.last().filter(|_| truncated) {
            // The range includes its first key, whose row is known already and is dropped below.
            let call = K::read_call(table, &last.key, PAGE_ROWS);
            let next = self.page(call).await?;
            let known = last.key.clone();
            truncated = next.truncated && next.rows.len() > 1;
            whole.after_timeout |= next.after_timeout;
            whole.rows.extend(next.rows.into_iter().filter(|row| row.key > known));
        }
        whole.truncated = false;
        Ok(whole)
    }

    /// Reads the changes of a table after `position`, waiting up to `poll_limit` for one.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::HistoryLost`] if the changes are no longer available, and with
    /// another error if the call fails.
    pub async fn changes(
        &self,
        table: &str,
        position: u64,
        poll_limit: ClockSpan,
    ) -> Result<RowPage, StoreError> {
        self.page(K::feed_call(table, position, poll_limit)).await
    }

    /// Writes a row without a condition, so that the write can be repeated if its answer is lost.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm the write.
    pub async fn write_row(&self, table: &str, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.call(K::write_call(table, key, value), CallCost::Write).await.map(|_| ())
    }

    async fn page(&self, call: StoreCall) -> Result<RowPage, StoreError> {
        let answer = self.call(call, CallCost::Read).await?;
        let page = K::decode_page(&answer.body)?;
        Ok(RowPage { after_timeout: answer.after_timeout, ..page })
    }

    async fn call(&self, call: StoreCall, cost: CallCost) -> Result<StoreAnswer, StoreError> {
        let answer = self.client.call(call, cost).await.map_err(|failure| failure.error)?;
        match answer.status {
            StatusCode::OK => Ok(answer),
            StatusCode::GONE => Err(StoreError::HistoryLost),
            _ => Err(status_error(&answer)),
        }
    }
}
