//! Runs the changes of [`crate::change`] against a store.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use base::prelude::*;
use bytes::Bytes;
use serde::Deserialize;
use store::prelude::*;

use crate::change::{
    ChangeAction, ChangeEvent, ChangeGuards, ChangeKind, ChangeMachine, ChangeRequest,
};
use crate::check::DocumentCheck;
use crate::error::ConfigError;
use crate::row::{HISTORY_TABLE, VersionRow};

/// Makes changes and reads versions for an operator.
#[derive(Clone, Debug)]
pub struct ConfigOperator<S, C> {
    store: S,
    clock: C,
    author: SharedName,
    /// Prefix of attempt ids, unique to this process.
    session: SharedName,
    epoch_ms: u64,
    attempts: Arc<AtomicU64>,
}

impl<S: PlatformStore, C: ClockSource> ConfigOperator<S, C> {
    /// Returns an operator. `session` must be unique to the process. `epoch_ms` is the time at
    /// which the clock started, in milliseconds since the Unix epoch; it is used only for the dates
    /// in rows.
    pub fn new(store: S, clock: C, author: SharedName, session: SharedName, epoch_ms: u64) -> Self {
        Self { store, clock, author, session, epoch_ms, attempts: Arc::default() }
    }

    /// Validates a document and returns its digest.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Invalid`] with all problems of the document.
    pub fn check<D: DocumentCheck>(
        &self,
        check: &D,
        document: &[u8],
    ) -> Result<SharedName, ConfigError> {
        check.check(document).map_err(|problems| ConfigError::Invalid { problems })?;
        Ok(content_digest(document))
    }

    /// Validates and stores a document and puts it into force in the trial environment. `base` is
    /// the version that must be in force before, or `None` for any.
    ///
    /// # Errors
    ///
    /// Returns why the change was not made, or [`ConfigError::Unclear`] if that is not known.
    pub async fn try_document<D: DocumentCheck>(
        &self,
        check: &D,
        trial: &SharedName,
        document: Bytes,
        base: Option<u64>,
    ) -> Result<VersionRow, ConfigError> {
        let digest = self.check(check, &document)?;
        let stored = self.store.put_object(&digest, document).await;
        stored.map_err(|source| ConfigError::Store { source })?;
        self.change(trial, ChangeKind::Try { digest }, base).await
    }

    /// Puts a document into force in `production` that was tried in `trial`. `base` is the version
    /// that must be in force before, or `None` for any.
    ///
    /// # Errors
    ///
    /// Returns why the change was not made, or [`ConfigError::Unclear`] if that is not known.
    pub async fn promote(
        &self,
        production: &SharedName,
        trial: &SharedName,
        digest: &SharedName,
        base: Option<u64>,
    ) -> Result<VersionRow, ConfigError> {
        let (digest, trial) = (digest.clone(), trial.clone());
        self.change(production, ChangeKind::Promote { digest, trial }, base).await
    }

    /// Puts the document of version `to` into force again, under a new version number. `base` is
    /// the version that must be in force before, or `None` for any.
    ///
    /// # Errors
    ///
    /// Returns why the change was not made, or [`ConfigError::Unclear`] if that is not known.
    pub async fn rollback(
        &self,
        environment: &SharedName,
        to: u64,
        base: Option<u64>,
    ) -> Result<VersionRow, ConfigError> {
        self.change(environment, ChangeKind::Rollback { to }, base).await
    }

    /// Returns up to `limit` versions, the newest first: those below `before`, or the newest ones
    /// if it is `None`.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or an error if a row is unreadable.
    pub async fn history(
        &self,
        environment: &SharedName,
        before: Option<u64>,
        limit: usize,
    ) -> Result<Vec<VersionRow>, ConfigError> {
        let after = match before {
            Some(version) => VersionRow::history_row_key(environment, version).key,
            None => SharedName::from(format!("{environment}/")),
        };
        let rows = self.store.scan(HISTORY_TABLE, &after, limit).await;
        let rows = rows.map_err(|source| ConfigError::Store { source })?;
        let prefix = format!("{environment}/");
        let rows = rows.iter().filter(|row| row.key.starts_with(&prefix));
        let unreadable = || ConfigError::Unreadable { environment: environment.clone() };
        rows.map(|row| VersionRow::deserialize(&row.value).map_err(|_| unreadable())).collect()
    }

    /// Returns the version in force, or `None` if the environment has none.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or an error if the row is unreadable.
    pub async fn status(
        &self,
        environment: &SharedName,
    ) -> Result<Option<VersionRow>, ConfigError> {
        let rows = self.store.read(vec![VersionRow::row_key(environment)]).await;
        let rows = rows.map_err(|source| ConfigError::Store { source })?;
        let entry = rows.first().and_then(Option::as_ref);
        Ok(VersionRow::from_entry(environment, entry)?.map(|(_, row)| row))
    }

    async fn change(
        &self,
        environment: &SharedName,
        kind: ChangeKind,
        base: Option<u64>,
    ) -> Result<VersionRow, ConfigError> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let request = ChangeRequest {
            environment: environment.clone(),
            kind,
            author: self.author.clone(),
            at_ms: self.epoch_ms + self.clock.now().as_millis(),
            base,
            attempt: SharedName::from(format!("{}.{number}", self.session)),
        };
        let (mut machine, mut action) = ChangeMachine::start(request, ChangeGuards::ALL);
        loop {
            let event = match action {
                ChangeAction::Read(row_keys) => self.read(row_keys).await,
                ChangeAction::Write(writes) => {
                    let attempt = machine.request().attempt.clone();
                    self.write(&attempt, writes).await
                }
                ChangeAction::End(result) => {
                    log_end(environment, &result);
                    return result;
                }
            };
            action = machine.handle(event);
        }
    }

    async fn read(&self, row_keys: Vec<RowKey>) -> ChangeEvent {
        match self.store.read(row_keys).await {
            Ok(rows) => ChangeEvent::Rows(rows),
            Err(error) => ChangeEvent::ReadFailed(error),
        }
    }

    async fn write(&self, attempt: &SharedName, writes: Vec<RowWrite>) -> ChangeEvent {
        match self.store.transact(attempt, writes).await {
            TransactOutcome::Done { .. } => ChangeEvent::Committed,
            TransactOutcome::Conflict { .. } => ChangeEvent::Conflicted,
            TransactOutcome::NotDone { error } => ChangeEvent::NotDone(error),
            TransactOutcome::Unknown { .. } => ChangeEvent::Unknown,
        }
    }
}

fn log_end(environment: &SharedName, result: &Result<VersionRow, ConfigError>) {
    match result {
        Ok(row) => {
            tracing::info!(event = 1601, %environment, version = row.version, digest = %row.digest, "version is in force");
        }
        Err(error) => tracing::warn!(event = 1602, %environment, %error, "version was not made"),
    }
}
