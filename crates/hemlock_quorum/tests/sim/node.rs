//! One keeper: its core, its disk, its clock and its state machine.

use std::collections::VecDeque;

use bytes::Bytes;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::model::chain;
use super::{Happening, Sim, Tempo};

/// Bytes by which a snapshot is made longer, so that it takes several pieces.
const PADDING_BYTES: usize = 1_000;

/// A clock with an offset, which runs a little fast or slow.
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

/// A keeper that may be up or down.
pub(crate) struct Node {
    pub(crate) id: KeeperId,
    pub(crate) incarnation: Incarnation,
    pub(crate) quorum: Option<Quorum>,
    pub(crate) disk: MemoryStorage,
    /// Work that is not durable yet.
    pub(crate) unsynced: VecDeque<DiskWork>,
    pub(crate) disk_busy: bool,
    /// Extra time of each sync.
    pub(crate) stall_us: u64,
    pub(crate) clock: Clock,
    /// Counts restarts, so that timers of an earlier life are void.
    pub(crate) life: u64,
    pub(crate) next_tick_us: u64,
    pub(crate) applied: LogIndex,
    pub(crate) chain: u64,
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
            stall_us: 0,
            clock: Clock {
                offset_us: rng.random_range(0..10_000_000),
                per_mille: rng.random_range(980..=1_020),
            },
            life: 0,
            next_tick_us: 0,
            applied: LogIndex::ZERO,
            chain: 0,
        }
    }

    pub(crate) fn boot(
        &mut self,
        seed: u64,
        founders: Vec<KeeperId>,
        tempo: &Tempo,
        adjust: impl FnOnce(&mut QuorumConfig),
    ) {
        let mut config =
            QuorumConfig::new(self.id, self.incarnation, founders).with_snapshots(60, 20);
        if tempo.prompt {
            config = config.with_prompt_elections();
        }
        config.election_max_ms = tempo.election_max_ms.unwrap_or(config.election_max_ms);
        config.chunk_bytes = 300;
        config.max_message_bytes = 2_000;
        config.max_ahead_entries = 64;
        adjust(&mut config);
        let recovered = self.disk.recover().expect("memory is readable");
        self.quorum = Some(Quorum::new(config, seed, recovered).expect("a valid start"));
        self.applied = LogIndex::ZERO;
        self.chain = 0;
        self.next_tick_us = 0;
    }

    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        assert!(snapshot.head.index >= self.applied, "never back");
        let (head, _) = snapshot.data.split_at(8);
        self.chain = u64::from_le_bytes(head.try_into().expect("eight bytes"));
        self.applied = snapshot.head.index;
    }

    pub(crate) fn apply(&mut self, entry: &Entry) {
        assert_eq!(
            entry.index,
            self.applied.next(),
            "each entry once, in order"
        );
        self.chain = chain(self.chain, entry);
        self.applied = entry.index;
    }

    pub(crate) fn snapshot_data(&self) -> Bytes {
        let mut data = self.chain.to_le_bytes().to_vec();
        data.resize(8 + PADDING_BYTES, 7);
        Bytes::from(data)
    }

    /// Stops the process. Of the work that was not durable a part may have reached the disk.
    pub(crate) fn crash(&mut self, rng: &mut Pcg32) {
        self.quorum = None;
        self.life += 1;
        self.disk_busy = false;
        let survives = rng.random_range(0..=self.unsynced.len());
        let mut work = self.unsynced.drain(..).collect::<Vec<_>>().into_iter();
        let whole: Vec<_> = work.by_ref().take(survives).collect();
        perform(&mut self.disk, whole).expect("memory is writable");
        if let Some(DiskWork::Append(mut torn)) = work.next() {
            let kept = rng.random_range(0..=torn.entries.len());
            torn.entries.truncate(kept);
            self.disk.persist(&torn).expect("memory is writable");
        }
    }
}

impl Sim {
    /// Hands work to the disk; now and then the keeper crashes before the sync.
    pub(crate) fn write_or_crash(&mut self, id: KeeperId, work: DiskWork) {
        let votes = matches!(&work, DiskWork::Append(batch) if batch.hard_state.is_some());
        let chance = match votes {
            true => self.tempo.vote_crash,
            false => self.tempo.write_crash,
        };
        self.enqueue_disk(id, work);
        if !self.calm && self.rng.random_bool(chance) {
            let after_us = self.rng.random_range(100..4_000);
            self.schedule(after_us, Happening::Crash(id));
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
        let after_us = self.rng.random_range(100..8_000) + self.nodes[&id].stall_us;
        let life = self.nodes[&id].life;
        self.schedule(after_us, Happening::DiskDone(id, life));
    }

    /// A sync is done: a first part of the waiting work is durable.
    pub(crate) fn sync(&mut self, id: KeeperId) {
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        let count = self.rng.random_range(1..=node.unsynced.len());
        let work: Vec<_> = node.unsynced.drain(..count).collect();
        let up_to = perform(&mut node.disk, work).expect("memory is writable");
        node.disk_busy = !node.unsynced.is_empty();
        if node.disk_busy {
            self.start_sync(id);
        }
        if let Some(up_to) = up_to {
            self.feed(id, Event::Synced { up_to });
        }
    }
}
