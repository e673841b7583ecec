//! Open connections of a listener. At the limit, one that is past the published times makes room.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slab::Slab;

/// Largest number of closed connections whose threads have not ended yet. They are beyond the limit
/// of the listener.
const MAX_CLOSING: usize = 64;
/// Point in time of a connection that may not be closed.
const NEVER: u64 = u64::MAX;

/// Open connections of a listener.
pub(super) struct OpenConnections {
    started_at: Instant,
    max_open: usize,
    entries: Mutex<Slab<Entry>>,
}

struct Entry {
    stream: Arc<TcpStream>,
    /// Time from the start of the listener from which the connection may be closed, in milliseconds.
    overdue_at_ms: Arc<AtomicU64>,
}

/// Place of a connection among the open ones, which dropping it frees, also after a panic.
pub(super) struct OpenConnection {
    connections: Arc<OpenConnections>,
    key: usize,
    overdue_at_ms: Arc<AtomicU64>,
}

impl OpenConnections {
    pub(super) fn new(max_open: usize) -> Self {
        Self {
            started_at: Instant::now(),
            max_open,
            entries: Mutex::default(),
        }
    }

    pub(super) fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, Slab<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Admits a connection; `None` if too many are open and none of them is overdue.
    pub(super) fn admit(self: &Arc<Self>, stream: &Arc<TcpStream>) -> Option<OpenConnection> {
        let mut entries = self.lock();
        if entries.len() >= self.max_open
            && (entries.len() >= self.max_open + MAX_CLOSING || !self.close_overdue(&entries))
        {
            return None;
        }
        let overdue_at_ms = Arc::new(AtomicU64::new(NEVER));
        let key = entries.insert(Entry {
            stream: Arc::clone(stream),
            overdue_at_ms: Arc::clone(&overdue_at_ms),
        });
        Some(OpenConnection {
            connections: Arc::clone(self),
            key,
            overdue_at_ms,
        })
    }

    /// Closes the connection that is overdue for the longest time; returns whether there was one.
    fn close_overdue(&self, entries: &Slab<Entry>) -> bool {
        let now_ms = self.now_ms();
        let overdue = entries
            .iter()
            .map(|(_, entry)| (entry.overdue_at_ms.load(Ordering::Relaxed), entry))
            .filter(|(at_ms, _)| *at_ms <= now_ms)
            .min_by_key(|(at_ms, _)| *at_ms);
        let Some((_, entry)) = overdue else {
            return false;
        };
        entry.overdue_at_ms.store(NEVER, Ordering::Relaxed);
        let _ = entry.stream.shutdown(Shutdown::Both);
        true
    }
}

impl OpenConnection {
    /// Allows that the connection is closed after a time, or forbids it.
    pub(super) fn set_overdue_after(&self, after: Option<Duration>) {
        let at_ms = after.map_or(NEVER, |after| {
            self.connections.now_ms() + after.as_millis() as u64
        });
        self.overdue_at_ms.store(at_ms, Ordering::Relaxed);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(self.key);
    }
}
