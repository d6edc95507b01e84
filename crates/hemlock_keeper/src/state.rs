//! The replicated state of the keepers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use hemlock_contract::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::command::{Command, CommandItem, Output};
use crate::error::StateError;

/// Format version of encoded snapshots and log commands.
pub const STATE_FORMAT: u16 = 1;
/// Maximum number of expired submissions removed per command. The limit bounds the time that one
/// command takes to apply.
const MAX_EXPIRED_PER_COMMAND: usize = 4_096;

/// Replicated state: contracts, planned stops, entries that may hold leases, keeper addresses and
/// the submission ledger.
///
/// It depends only on the applied commands, so all keepers derive the same state from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperState {
    now_ms: u64,
    config: ConfigState,
    entries: EntrySet,
    keepers: BTreeMap<u64, SocketAddr>,
    ledger: Ledger,
}

/// Copy of the state at one log index, encoded while the state continues to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    now_ms: u64,
    config: ConfigState,
    entries: EntrySet,
    keepers: BTreeMap<u64, SocketAddr>,
    ledger: LedgerSnapshot,
}

/// Entries that may hold a configuration lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySet(BTreeSet<Incarnation>);

impl LiveEntries for EntrySet {
    fn is_live(&self, entry: Incarnation) -> bool {
        self.0.contains(&entry)
    }
}

impl EntrySet {
    /// Iterates over the entries in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.0.iter().copied()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns `true` if the set has no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl KeeperState {
    /// Creates the empty state of a new cluster.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            now_ms: 0,
            config: ConfigState::default(),
            entries: EntrySet::default(),
            keepers: BTreeMap::new(),
            ledger: Ledger::new(limits),
        }
    }

    /// Returns the time of the latest command in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the configuration: contracts and planned stops.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Returns the entries that may hold a configuration lease.
    pub fn entries(&self) -> &EntrySet {
        &self.entries
    }

    /// Returns the wire addresses of keepers that operators added at run time.
    pub fn keepers(&self) -> &BTreeMap<u64, SocketAddr> {
        &self.keepers
    }

    /// Returns the submission ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the reply that a claim of the submission would get now, without claiming it.
    pub fn lookup(&self, submission: SubmissionId) -> Option<ClaimReply> {
        self.ledger.lookup(self.now_ms, submission, &self.entries)
    }

    /// Returns `true` if a submission has expired at `now_ms`.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        self.ledger
            .next_expiry_ms()
            .is_some_and(|at_ms| at_ms <= now_ms)
    }

    /// Applies a command and returns one output per item. `version` is the command's log index.
    pub fn apply(&mut self, version: ConfigVersion, command: Command) -> Vec<Output> {
        self.now_ms = self.now_ms.max(command.at_ms);
        self.ledger.expire(self.now_ms, MAX_EXPIRED_PER_COMMAND);
        command
            .items
            .into_iter()
            .map(|item| self.apply_item(version, item))
            .collect()
    }

    fn apply_item(&mut self, version: ConfigVersion, item: CommandItem) -> Output {
        match item {
            CommandItem::Contract(contract) => {
                Output::Contract(self.config.apply_contract(version, contract))
            }
            CommandItem::Stop(stop) => Output::Stop(self.config.apply_stop(version, stop)),
            CommandItem::LiftStop(id) => Output::Lift(self.config.lift_stop(version, &id)),
            CommandItem::KeeperAddress { id, address } => {
                self.keepers.insert(id, address);
                Output::Done
            }
            CommandItem::EntryJoined(entry) => {
                self.entries.0.insert(entry);
                Output::Done
            }
            CommandItem::EntryGone(entry) => {
                self.entries.0.remove(&entry);
                Output::Done
            }
            CommandItem::Claim(request) => {
                Output::Claim(self.ledger.claim(self.now_ms, &request, &self.entries))
            }
            CommandItem::End(end) => {
                self.ledger.end(self.now_ms, end);
                Output::Done
            }
            CommandItem::Cancel(submission) => Output::Cancel(self.ledger.cancel(submission)),
        }
    }

    /// Takes a snapshot of the state. The cost doesn't depend on the size of the ledger.
    pub fn snapshot(&self) -> StateSnapshot {
        StateSnapshot {
            now_ms: self.now_ms,
            config: self.config.clone(),
            entries: self.entries.clone(),
            keepers: self.keepers.clone(),
            ledger: self.ledger.snapshot(),
        }
    }
}

impl From<StateSnapshot> for KeeperState {
    fn from(snapshot: StateSnapshot) -> Self {
        Self {
            now_ms: snapshot.now_ms,
            config: snapshot.config,
            entries: snapshot.entries,
            keepers: snapshot.keepers,
            ledger: snapshot.ledger.into(),
        }
    }
}

impl StateSnapshot {
    /// Encodes the snapshot.
    ///
    /// # Errors
    ///
    /// [`StateError::Encoding`] when the state can't be encoded. Applied commands never cause this.
    pub fn encode(&self) -> Result<Bytes, StateError> {
        let bytes = postcard::to_stdvec(&(STATE_FORMAT, self))?;
        Ok(Bytes::from(bytes))
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// [`StateError::Format`] when the bytes have another format version, [`StateError::Encoding`]
    /// when they are corrupt.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let (format, rest) = postcard::take_from_bytes::<u16>(bytes)?;
        match format {
            STATE_FORMAT => Ok(postcard::from_bytes(rest)?),
            other => Err(StateError::Format(other, STATE_FORMAT)),
        }
    }
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// [`StateError::Encoding`] when the command can't be encoded.
    pub fn encode(&self) -> Result<Bytes, StateError> {
        Ok(Bytes::from(postcard::to_stdvec(&(STATE_FORMAT, self))?))
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// [`StateError::Format`] when the bytes have another format version, [`StateError::Encoding`]
    /// when they are corrupt.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let (format, rest) = postcard::take_from_bytes::<u16>(bytes)?;
        match format {
            STATE_FORMAT => Ok(postcard::from_bytes(rest)?),
            other => Err(StateError::Format(other, STATE_FORMAT)),
        }
    }
}
