//! Source of time that tests can replace.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

/// Source of monotonic and wall-clock time.
#[derive(Clone)]
pub struct Clock {
    now: Arc<dyn Fn() -> Instant + Send + Sync>,
    wall: Arc<dyn Fn() -> SystemTime + Send + Sync>,
}

impl Clock {
    /// Returns the clock of the operating system.
    pub fn system() -> Self {
        Self::new(Instant::now, SystemTime::now)
    }

    /// Returns a clock that reads time from closures, for tests.
    pub fn new(
        now: impl Fn() -> Instant + Send + Sync + 'static,
        wall: impl Fn() -> SystemTime + Send + Sync + 'static,
    ) -> Self {
        Self {
            now: Arc::new(now),
            wall: Arc::new(wall),
        }
    }

    /// Returns the monotonic time, for deadlines.
    pub fn now(&self) -> Instant {
        (self.now)()
    }

    /// Returns the wall-clock time, used only for records and for the age of keys.
    pub fn wall(&self) -> SystemTime {
        (self.wall)()
    }

    /// Returns the wall-clock time in Unix milliseconds, or 0 before 1970.
    pub fn unix_ms(&self) -> u64 {
        let age = self.wall().duration_since(SystemTime::UNIX_EPOCH);
        age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the wall-clock time in whole Unix seconds, or 0 before 1970.
    pub fn unix_seconds(&self) -> u64 {
        self.wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |age| age.as_secs())
    }
}
