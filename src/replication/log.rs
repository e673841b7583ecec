//! Entries after the latest snapshot, in memory.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::membership::Membership;

/// Position in the log, from 1.
pub type Index = u64;
/// Election number; each has at most one leader.
pub type Term = u64;

/// Size of an entry without its command, for bounds.
const ENTRY_OVERHEAD_BYTES: usize = 24;

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader; commits the entries of former terms.
    Noop,
    /// For the state machine.
    Command(Vec<u8>),
    /// In effect from the moment it is appended.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    pub index: Index,
    /// Term of the leader that created it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in memory and on the wire.
    pub fn size_bytes(&self) -> usize {
        let content = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(command) => command.len(),
            Payload::Membership(membership) => membership.members.len() * 32,
        };
        content + ENTRY_OVERHEAD_BYTES
    }
}

/// Entries with consecutive indexes after a base, which is covered by a snapshot.
#[derive(Debug)]
pub struct Log {
    base_index: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Membership at the base and each membership entry after it, by index.
    memberships: Vec<(Index, Membership)>,
    size_bytes: usize,
}

impl Log {
    /// A log without entries.
    pub fn new(base_index: Index, base_term: Term, membership: Membership) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
            memberships: vec![(base_index, membership)],
            size_bytes: 0,
        }
    }

    /// Index before the first entry.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |last| last.term)
    }

    /// Sum of the sizes of all entries.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Entry at the index, when present.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Term at the index, when it is the base or present.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Membership in effect: that of the latest entry, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index of the entry with the membership in effect.
    pub fn membership_index(&self) -> Index {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Membership in effect at an index.
    pub fn membership_at(&self, index: Index) -> &Membership {
        let position = self
            .memberships
            .iter()
            .rposition(|(since, _)| *since <= index);
        &self.memberships[position.unwrap_or(0)].1
    }

    /// Adds an entry at its index and drops all entries from there on.
    pub fn put(&mut self, entry: Entry) {
        while self.last_index() >= entry.index && !self.entries.is_empty() {
            let dropped = self.entries.pop_back();
            self.size_bytes -= dropped.map_or(0, |dropped| dropped.size_bytes());
        }
        self.memberships
            .retain(|(since, _)| *since < entry.index || *since == self.base_index);
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.size_bytes += entry.size_bytes();
        self.entries.push_back(entry);
    }

    /// Drops the entries up to and including `index`, which must be present.
    pub fn compact(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let membership = self.membership_at(index).clone();
        while self.base_index < index {
            let dropped = self.entries.pop_front();
            self.size_bytes -= dropped.map_or(0, |dropped| dropped.size_bytes());
            self.base_index += 1;
        }
        self.base_term = term;
        self.memberships.retain(|(since, _)| *since > index);
        self.memberships.insert(0, (index, membership));
    }

    /// Copies of the entries from `index` on, at least one and at most `limit_bytes`.
    pub fn batch(&self, index: Index, limit_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut batch = Vec::new();
        let start = usize::try_from(index - self.base_index - 1).unwrap_or(usize::MAX);
        for entry in self.entries.range(start.min(self.entries.len())..) {
            size += entry.size_bytes();
            if size > limit_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
