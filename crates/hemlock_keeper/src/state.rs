//! The state that all keepers replicate.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use hemlock_contract::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::command::{Command, CommandItem, Output};
use crate::error::StateError;

/// Version of the state's encoding in snapshots and of the commands in the log.
pub const STATE_FORMAT: u16 = 1;
/// Submissions forgotten with one command at most, so that no command takes long.
const FORGET_PER_COMMAND: usize = 4_096;

/// What survives: contracts, planned stops, the entries that may hold leases, and the ledger.
///
/// It is a pure function of the commands applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperState {
    now_ms: u64,
    config: ConfigState,
    entries: EntrySet,
    keepers: BTreeMap<u64, SocketAddr>,
    ledger: Ledger,
}

/// The state at one moment, to be written down while the state itself goes on.
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
    /// The entries, in order.
    pub fn iter(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.0.iter().copied()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl KeeperState {
    /// The state of a new cluster.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            now_ms: 0,
            config: ConfigState::default(),
            entries: EntrySet::default(),
            keepers: BTreeMap::new(),
            ledger: Ledger::new(limits),
        }
    }

    /// Time of the latest command, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// The configuration.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Entries that may hold a configuration lease.
    pub fn entries(&self) -> &EntrySet {
        &self.entries
    }

    /// Wire addresses of keepers, as operators gave them.
    pub fn keepers(&self) -> &BTreeMap<u64, SocketAddr> {
        &self.keepers
    }

    /// The submission ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// What a claim of the submission would find now.
    pub fn lookup(&self, submission: SubmissionId) -> Option<ClaimReply> {
        self.ledger.lookup(self.now_ms, submission, &self.entries)
    }

    /// Whether some submission's time is over at `now_ms`.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        self.ledger
            .next_expiry_ms()
            .is_some_and(|at_ms| at_ms <= now_ms)
    }

    /// Applies the command at the given place of the log, and answers each of its items.
    pub fn apply(&mut self, version: ConfigVersion, command: Command) -> Vec<Output> {
        self.now_ms = self.now_ms.max(command.at_ms);
        self.ledger.expire(self.now_ms, FORGET_PER_COMMAND);
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

    /// The state as it is now. Takes little time however large the ledger is.
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
    /// The snapshot as bytes.
    ///
    /// # Errors
    ///
    /// [`StateError::Encoding`] when the state can't be expressed, which no applied command
    /// brings about.
    pub fn encode(&self) -> Result<Bytes, StateError> {
        let bytes = postcard::to_stdvec(&(STATE_FORMAT, self))?;
        Ok(Bytes::from(bytes))
    }

    /// Reads a snapshot back from bytes.
    ///
    /// # Errors
    ///
    /// [`StateError::Format`] when another version wrote it, [`StateError::Encoding`] when it is
    /// damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let (format, rest) = postcard::take_from_bytes::<u16>(bytes)?;
        match format {
            STATE_FORMAT => Ok(postcard::from_bytes(rest)?),
            other => Err(StateError::Format(other, STATE_FORMAT)),
        }
    }
}

impl Command {
    /// The command as bytes of the log.
    ///
    /// # Errors
    ///
    /// [`StateError::Encoding`] when it can't be expressed.
    pub fn encode(&self) -> Result<Bytes, StateError> {
        Ok(Bytes::from(postcard::to_stdvec(&(STATE_FORMAT, self))?))
    }

    /// Reads a command of the log.
    ///
    /// # Errors
    ///
    /// [`StateError::Format`] when another version wrote it, [`StateError::Encoding`] when it is
    /// damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        let (format, rest) = postcard::take_from_bytes::<u16>(bytes)?;
        match format {
            STATE_FORMAT => Ok(postcard::from_bytes(rest)?),
            other => Err(StateError::Format(other, STATE_FORMAT)),
        }
    }
}
