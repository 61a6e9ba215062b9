//! The state machine of one change of an environment's version. It does no I/O: it requests reads
//! and writes as [`ChangeAction`] and receives their results as [`ChangeEvent`].

use base::prelude::*;
use store::row::{RowEntry, RowExpect, RowKey, RowWrite};
use store::store::StoreError;

use crate::error::ConfigError;
use crate::row::{ChangeCause, VersionRow};

/// The most attempts to write a change while its outcome stays unknown.
const WRITE_ATTEMPTS: u32 = 3;

/// The operation that is requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// Put a stored document into force in a trial environment.
    Try {
        /// The digest of the document.
        digest: SharedName,
    },
    /// Put a document into force that was tried in another environment.
    Promote {
        /// The digest of the document.
        digest: SharedName,
        /// The environment where it was tried.
        trial: SharedName,
    },
    /// Put the document of an earlier version into force again.
    Rollback {
        /// The earlier version.
        to: u64,
    },
}

/// A change that an operator requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// The environment.
    pub environment: SharedName,
    /// The operation.
    pub kind: ChangeKind,
    /// Who requests it.
    pub author: SharedName,
    /// When it was requested, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The version that must be in force for the change to be made, or `None` for any.
    pub base: Option<u64>,
    /// The id of the attempt, unique to the request.
    pub attempt: SharedName,
}

/// Safeguards of changes. All are on in production; a test turns one off to show that it detects
/// the resulting fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangeGuards {
    /// A version replaces only the one that was read.
    pub compare_and_set: bool,
    /// If the answer to a write is lost, the rows are read again to find out whether it was
    /// applied.
    pub read_back: bool,
    /// A document is promoted only if it was tried.
    pub tried: bool,
    /// A conflict with a row that this change itself wrote, with a write whose answer was lost,
    /// counts as success.
    pub own_attempt: bool,
    /// A rollback gets a new version number.
    pub new_version: bool,
}

impl ChangeGuards {
    /// All safeguards.
    pub const ALL: Self = Self {
        compare_and_set: true,
        read_back: true,
        tried: true,
        own_attempt: true,
        new_version: true,
    };
}

/// The result of an action.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeEvent {
    /// The rows that were read, in the order of their keys in the action.
    Rows(Vec<Option<RowEntry>>),
    /// The rows could not be read.
    ReadFailed(StoreError),
    /// The writes were applied.
    Committed,
    /// The writes were not applied because a row did not meet its condition.
    Conflicted,
    /// The writes were not applied.
    NotDone(StoreError),
    /// The writes may have been applied.
    Unknown,
}

/// What is to be done next for a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeAction {
    /// Read rows.
    Read(Vec<RowKey>),
    /// Apply the writes in one transaction with the request's attempt id.
    Write(Vec<RowWrite>),
    /// End the change. The version is the one that it made, or the one in force if the promoted
    /// document was in force already.
    End(Result<VersionRow, ConfigError>),
}

#[derive(Clone, Debug, PartialEq)]
enum ChangePhase {
    Planning,
    Writing { row: VersionRow, writes: Vec<RowWrite> },
    ReadingBack { row: VersionRow, writes: Vec<RowWrite> },
}

/// The state machine of one change.
#[derive(Clone, Debug)]
pub struct ChangeMachine {
    request: ChangeRequest,
    guards: ChangeGuards,
    phase: ChangePhase,
    writes_left: u32,
    /// Whether a write of this change may have been applied.
    maybe_applied: bool,
}

impl ChangeMachine {
    /// Returns the machine and its first action.
    pub fn start(request: ChangeRequest, guards: ChangeGuards) -> (Self, ChangeAction) {
        let mut row_keys = vec![VersionRow::row_key(&request.environment)];
        row_keys.extend(match &request.kind {
            ChangeKind::Try { .. } => None,
            ChangeKind::Promote { digest, trial } => Some(VersionRow::tried_row_key(trial, digest)),
            ChangeKind::Rollback { to } => {
                Some(VersionRow::history_row_key(&request.environment, *to))
            }
        });
        let machine = Self {
            request,
            guards,
            phase: ChangePhase::Planning,
            writes_left: WRITE_ATTEMPTS,
            maybe_applied: false,
        };
        (machine, ChangeAction::Read(row_keys))
    }

    /// Returns the request.
    pub fn request(&self) -> &ChangeRequest {
        &self.request
    }

    /// Processes the result of the last action and returns the next action.
    pub fn handle(&mut self, event: ChangeEvent) -> ChangeAction {
        match (event, self.phase.clone()) {
            (ChangeEvent::Rows(rows), ChangePhase::Planning) => self.plan(&rows),
            (ChangeEvent::Rows(rows), ChangePhase::ReadingBack { row, writes }) => {
                self.read_back(&rows, row, writes)
            }
            (ChangeEvent::Committed, ChangePhase::Writing { row, .. }) => {
                ChangeAction::End(Ok(row))
            }
            (ChangeEvent::Unknown, ChangePhase::Writing { row, .. }) if !self.guards.read_back => {
                ChangeAction::End(Ok(row))
            }
            (ChangeEvent::Unknown, ChangePhase::Writing { row, writes }) => {
                self.maybe_applied = true;
                self.start_reading_back(row, writes)
            }
            (ChangeEvent::Conflicted, ChangePhase::Writing { row, writes }) => {
                self.start_reading_back(row, writes)
            }
            (ChangeEvent::ReadFailed(source) | ChangeEvent::NotDone(source), _)
                if !self.maybe_applied =>
            {
                ChangeAction::End(Err(ConfigError::Store { source }))
            }
            _ => ChangeAction::End(Err(ConfigError::Unclear)),
        }
    }

    fn start_reading_back(&mut self, row: VersionRow, writes: Vec<RowWrite>) -> ChangeAction {
        let environment = &self.request.environment;
        let row_keys = vec![
            VersionRow::row_key(environment),
            VersionRow::history_row_key(environment, row.version),
        ];
        self.phase = ChangePhase::ReadingBack { row, writes };
        ChangeAction::Read(row_keys)
    }

    fn plan(&mut self, rows: &[Option<RowEntry>]) -> ChangeAction {
        match self.plan_writes(rows) {
            Ok((row, writes)) => {
                if writes.is_empty() {
                    return ChangeAction::End(Ok(row));
                }
                self.write(row, writes)
            }
            Err(error) => ChangeAction::End(Err(error)),
        }
    }

    fn write(&mut self, row: VersionRow, writes: Vec<RowWrite>) -> ChangeAction {
        self.writes_left -= 1;
        self.phase = ChangePhase::Writing { row, writes: writes.clone() };
        ChangeAction::Write(writes)
    }

    fn plan_writes(
        &self,
        rows: &[Option<RowEntry>],
    ) -> Result<(VersionRow, Vec<RowWrite>), ConfigError> {
        let environment = &self.request.environment;
        let current = rows.first().and_then(Option::as_ref);
        let current = VersionRow::from_entry(environment, current)?;
        let required_row = rows.get(1).and_then(Option::as_ref);
        self.check_base(current.as_ref().map(|(_, row)| row))?;
        let (digest, cause) =
            self.target_document(current.as_ref().map(|(_, row)| row), required_row)?;
        if let Some((_, row)) = &current
            && row.digest == digest
            && cause == ChangeCause::Promote
        {
            // The document is in force already, so the promotion writes nothing.
            return Ok((row.clone(), Vec::new()));
        }
        let version = self.next_version(current.as_ref().map(|(_, row)| row), &cause);
        let row = self.new_row(version, digest, cause);
        let expect = match &current {
            _ if !self.guards.compare_and_set => RowExpect::Any,
            Some((row_version, _)) => RowExpect::Version(*row_version),
            None => RowExpect::Absent,
        };
        let writes = self.change_writes(&row, expect);
        Ok((row, writes))
    }

    fn check_base(&self, current: Option<&VersionRow>) -> Result<(), ConfigError> {
        match (self.request.base, current) {
            (Some(base), Some(row)) if row.version != base => {
                Err(ConfigError::LostRace { winner: Box::new(row.clone()) })
            }
            (Some(_), None) => {
                let environment = self.request.environment.clone();
                Err(ConfigError::NoVersion { environment })
            }
            _ => Ok(()),
        }
    }

    fn target_document(
        &self,
        current: Option<&VersionRow>,
        required_row: Option<&RowEntry>,
    ) -> Result<(SharedName, ChangeCause), ConfigError> {
        let environment = &self.request.environment;
        match &self.request.kind {
            ChangeKind::Try { digest } => Ok((digest.clone(), ChangeCause::Try)),
            ChangeKind::Promote { digest, trial }
                if required_row.is_none() && self.guards.tried =>
            {
                Err(ConfigError::NotTried { digest: digest.clone(), trial: trial.clone() })
            }
            ChangeKind::Promote { digest, .. } => Ok((digest.clone(), ChangeCause::Promote)),
            ChangeKind::Rollback { .. } if current.is_none() => {
                Err(ConfigError::NoVersion { environment: environment.clone() })
            }
            ChangeKind::Rollback { to } => match VersionRow::from_entry(environment, required_row)?
            {
                Some((_, row)) => Ok((row.digest, ChangeCause::Rollback { to: *to })),
                None => {
                    let (environment, version) = (environment.clone(), *to);
                    Err(ConfigError::NeverInForce { environment, version })
                }
            },
        }
    }

    fn next_version(&self, current: Option<&VersionRow>, cause: &ChangeCause) -> u64 {
        match cause {
            ChangeCause::Rollback { to } if !self.guards.new_version => *to,
            _ => current.map_or(0, |row| row.version) + 1,
        }
    }

    fn new_row(&self, version: u64, digest: SharedName, cause: ChangeCause) -> VersionRow {
        let ChangeRequest { environment, author, at_ms, attempt, .. } = self.request.clone();
        VersionRow { environment, version, digest, author, at_ms, attempt, cause }
    }

    fn change_writes(&self, row: &VersionRow, expect: RowExpect) -> Vec<RowWrite> {
        let guarded = self.guards.compare_and_set && self.guards.new_version;
        let history_expect = if guarded { RowExpect::Absent } else { RowExpect::Any };
        let environment = &row.environment;
        let history_row_key = VersionRow::history_row_key(environment, row.version);
        let mut writes = vec![
            RowWrite::put(&VersionRow::row_key(environment), expect, row.to_value()),
            RowWrite::put(&history_row_key, history_expect, row.to_value()),
        ];
        if row.cause == ChangeCause::Try {
            let row_key = VersionRow::tried_row_key(environment, &row.digest);
            writes.push(RowWrite::put(&row_key, RowExpect::Any, row.to_value()));
        }
        writes
    }

    fn read_back(
        &mut self,
        rows: &[Option<RowEntry>],
        row: VersionRow,
        writes: Vec<RowWrite>,
    ) -> ChangeAction {
        match self.decode_rows(rows) {
            Err(error) => ChangeAction::End(Err(error)),
            Ok((_, Some(made))) if made.attempt == row.attempt && self.guards.own_attempt => {
                ChangeAction::End(Ok(row))
            }
            Ok((Some(winner), _)) if winner.version >= row.version => {
                ChangeAction::End(Err(ConfigError::LostRace { winner: Box::new(winner) }))
            }
            // No change was applied yet, but the earlier write may still be in transit. The retry
            // has the same attempt id and conditions, so at most one of them is applied.
            Ok(_) if self.writes_left > 0 => self.write(row, writes),
            Ok(_) => ChangeAction::End(Err(ConfigError::Unclear)),
        }
    }

    /// Returns the version in force and the history row with the version number of this change.
    fn decode_rows(
        &self,
        rows: &[Option<RowEntry>],
    ) -> Result<(Option<VersionRow>, Option<VersionRow>), ConfigError> {
        let environment = &self.request.environment;
        let row = |index: usize| {
            let entry = rows.get(index).and_then(Option::as_ref);
            VersionRow::from_entry(environment, entry).map(|found| found.map(|(_, row)| row))
        };
        Ok((row(0)?, row(1)?))
    }
}
