//! A simulated keeper: its core, disk, clock and state machine.

use std::collections::VecDeque;

use bytes::Bytes;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::model::state_hash;
use super::{Rates, Sim, SimEvent};

/// Padding of a snapshot, so that it is sent in several chunks.
const PADDING_BYTES: usize = 1_000;

/// A clock with an offset that runs slightly fast or slow.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    offset_us: u64,
    per_mille: u64,
}

impl Clock {
    pub(crate) fn local(&self, global_us: u64) -> Instant {
        Instant::from_micros(self.offset_us + global_us * self.per_mille / 1_000)
    }

    pub(crate) fn global(&self, local: Instant) -> u64 {
        let us = local.as_micros().saturating_sub(self.offset_us);
        (us * 1_000).div_ceil(self.per_mille)
    }
}

/// A simulated keeper, which may be up or down.
pub(crate) struct Node {
    pub(crate) id: KeeperId,
    pub(crate) incarnation: Incarnation,
    pub(crate) quorum: Option<Quorum>,
    pub(crate) disk: MemoryStorage,
    /// Disk work that is not durable yet.
    pub(crate) unsynced: VecDeque<DiskWork>,
    pub(crate) disk_busy: bool,
    /// Additional duration of each sync.
    pub(crate) extra_sync_us: u64,
    pub(crate) clock: Clock,
    /// Number of crashes. Events scheduled before a crash are dropped.
    pub(crate) crashes: u64,
    pub(crate) next_tick_us: u64,
    pub(crate) applied: LogIndex,
    pub(crate) state_hash: u64,
}

impl Node {
    pub(crate) fn new(id: KeeperId, incarnation: Incarnation, rng: &mut Pcg32) -> Self {
        Self {
            id,
            incarnation,
            quorum: None,
            disk: MemoryStorage::new(incarnation),
            unsynced: VecDeque::new(),
            disk_busy: false,
            extra_sync_us: 0,
            clock: Clock {
                offset_us: rng.random_range(0..10_000_000),
                per_mille: rng.random_range(980..=1_020),
            },
            crashes: 0,
            next_tick_us: 0,
            applied: LogIndex::ZERO,
            state_hash: 0,
        }
    }

    pub(crate) fn start(
        &mut self,
        seed: u64,
        bootstrap_keepers: Vec<KeeperId>,
        rates: &Rates,
        adjust: impl FnOnce(&mut QuorumConfig),
    ) {
        let mut config =
            QuorumConfig::new(self.id, self.incarnation, bootstrap_keepers).with_snapshots(60, 20);
        if rates.fast_elections {
            config = config.with_fast_elections();
        }
        config.election_max_ms = rates.election_max_ms.unwrap_or(config.election_max_ms);
        config.chunk_bytes = 300;
        config.max_message_bytes = 2_000;
        config.max_inflight_entries = 64;
        adjust(&mut config);
        let recovered = self.disk.recover().expect("in-memory storage is readable");
        self.quorum = Some(Quorum::new(config, seed, recovered).expect("valid settings"));
        self.applied = LogIndex::ZERO;
        self.state_hash = 0;
        self.next_tick_us = 0;
    }

    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        assert!(
            snapshot.head.index >= self.applied,
            "a snapshot is never older than the state"
        );
        let (head, _) = snapshot.data.split_at(8);
        self.state_hash = u64::from_le_bytes(head.try_into().expect("eight bytes"));
        self.applied = snapshot.head.index;
    }

    pub(crate) fn apply(&mut self, entry: &Entry) {
        assert_eq!(
            entry.index,
            self.applied.next(),
            "each entry is applied once, in order"
        );
        self.state_hash = state_hash(self.state_hash, entry);
        self.applied = entry.index;
    }

    pub(crate) fn snapshot_data(&self) -> Bytes {
        let mut data = self.state_hash.to_le_bytes().to_vec();
        data.resize(8 + PADDING_BYTES, 7);
        Bytes::from(data)
    }

    /// Crashes the process. Part of the work that is not durable may still have reached the disk.
    pub(crate) fn crash(&mut self, rng: &mut Pcg32) {
        self.quorum = None;
        self.crashes += 1;
        self.disk_busy = false;
        let completed_count = rng.random_range(0..=self.unsynced.len());
        let mut work = self.unsynced.drain(..).collect::<Vec<_>>().into_iter();
        let completed: Vec<_> = work.by_ref().take(completed_count).collect();
        perform(&mut self.disk, completed).expect("in-memory storage is writable");
        if let Some(DiskWork::Append(mut torn)) = work.next() {
            let kept = rng.random_range(0..=torn.entries.len());
            torn.entries.truncate(kept);
            self.disk
                .persist(&torn)
                .expect("in-memory storage is writable");
        }
    }
}

impl Sim {
    /// Queues disk work. With a certain probability the keeper crashes before the sync.
    pub(crate) fn enqueue_write(&mut self, id: KeeperId, work: DiskWork) {
        let contains_vote = matches!(&work, DiskWork::Append(batch) if batch.hard_state.is_some());
        let chance = match contains_vote {
            true => self.rates.vote_crash,
            false => self.rates.write_crash,
        };
        self.enqueue_disk(id, work);
        if !self.faults_off && self.rng.random_bool(chance) {
            let after_us = self.rng.random_range(100..4_000);
            self.schedule(after_us, SimEvent::Crash(id));
        }
    }

    fn enqueue_disk(&mut self, id: KeeperId, work: DiskWork) {
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        node.unsynced.push_back(work);
        if !node.disk_busy {
            node.disk_busy = true;
            self.start_sync(id);
        }
    }

    fn start_sync(&mut self, id: KeeperId) {
        let after_us = self.rng.random_range(100..8_000) + self.nodes[&id].extra_sync_us;
        let crashes = self.nodes[&id].crashes;
        self.schedule(after_us, SimEvent::SyncDone(id, crashes));
    }

    /// Completes a sync: the first part of the queued work, of random length, becomes durable.
    pub(crate) fn sync(&mut self, id: KeeperId) {
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        let count = self.rng.random_range(1..=node.unsynced.len());
        let work: Vec<_> = node.unsynced.drain(..count).collect();
        let up_to = perform(&mut node.disk, work).expect("in-memory storage is writable");
        node.disk_busy = !node.unsynced.is_empty();
        if node.disk_busy {
            self.start_sync(id);
        }
        if let Some(up_to) = up_to {
            self.feed(id, Event::Synced { up_to });
        }
    }
}
