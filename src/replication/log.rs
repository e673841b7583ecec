//! In-memory log: the entries after a base that a snapshot covers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::membership::Membership;

/// Position in the log; the first one is 1.
pub type Index = u64;
/// Number of an election; each term has at most one leader.
pub type Term = u64;

/// Approximate size of an entry without its payload, for the limits on batches and the log.
const ENTRY_OVERHEAD_BYTES: usize = 24;

/// Payload of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader, which commits the entries of earlier terms.
    Noop,
    /// Command for the state machine.
    Command(Vec<u8>),
    /// New membership, in effect from the moment it is appended.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that created it.
    pub term: Term,
    /// What the entry changes.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size in memory and on the wire, in bytes.
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
    /// Creates a log without entries after the given base.
    pub fn new(base_index: Index, base_term: Term, membership: Membership) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
            memberships: vec![(base_index, membership)],
            size_bytes: 0,
        }
    }

    /// Returns the index before the first entry.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    /// Returns the index of the last entry; the base index without entries.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry; the term of the base without entries.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |last| last.term)
    }

    /// Returns the sum of [`Entry::size_bytes`] over all entries.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Returns the entry at the index; `None` when it is compacted or not appended yet.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term at the index; `None` before the base and after the last entry.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the membership in effect: that of the latest membership entry, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Returns the index of the membership in effect.
    pub fn membership_index(&self) -> Index {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Returns the membership that was in effect at an index.
    pub fn membership_at(&self, index: Index) -> &Membership {
        let position = self
            .memberships
            .iter()
            .rposition(|(since, _)| *since <= index);
        &self.memberships[position.unwrap_or(0)].1
    }

    /// Drops all entries from the index of the entry on, then appends the entry.
    pub fn truncate_and_append(&mut self, entry: Entry) {
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

    /// Drops the entries up to and including `index`, which becomes the base. Does nothing when the
    /// index is not present.
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

    /// Returns copies of the entries from `index` on, up to `limit_bytes` in total but at least one
    /// if present.
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

    /// Returns all entries after the base.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
