//! Share of the gangs that are placed, by size.
//!
//! Load pattern: narrow gangs fit into the room that happens to be free, wide ones have to gather
//! theirs. Under a lasting overload some gangs are given up, and without a part for each size these
//! are the wide ones.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Interval at which earlier outcomes lose half of their weight: a few times as long as a gang
/// waits and runs.
const HALVING_INTERVAL: Duration = Duration::from_secs(10);

/// Gangs of one priority whose sizes differ by less than a factor of two.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SizeBand {
    /// Priority of the queue; zero is the most urgent.
    pub priority: u32,
    /// Binary logarithm of the processors of all members, in thousandths of a core.
    pub magnitude: u32,
}

impl SizeBand {
    /// Returns the band of a gang whose members need `room_millis` in all, in thousandths of a core.
    pub fn new(priority: u32, room_millis: u64) -> Self {
        Self {
            priority,
            magnitude: room_millis.max(1).ilog2(),
        }
    }

    /// Smallest size in the band, in thousandths of a core.
    pub fn least_room_millis(&self) -> u64 {
        1 << self.magnitude
    }
}

/// What became of the gangs of a band. Earlier ones have less weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcomes {
    /// Gangs that were placed while their end could count.
    pub placed: f64,
    /// Gangs that became too late to count before they were placed.
    pub given_up: f64,
}

impl Outcomes {
    /// Share of the gangs that were placed, from 0 to 1, where `waiting` others have no outcome yet
    /// and `gathering` of these count as placed.
    pub fn placed_share(&self, waiting: usize, gathering: usize) -> f64 {
        let all = self.placed + self.given_up + waiting as f64;
        (self.placed + gathering as f64) / all.max(1.0)
    }
}

/// Outcomes of gangs by size.
#[derive(Clone, Debug, Default)]
pub struct SizeShares {
    bands: IndexMap<SizeBand, Outcomes>,
    /// Time at which the weight of earlier outcomes is halved next; `None` before the first.
    halve_at: Option<Instant>,
}

impl SizeShares {
    /// Records that a gang was placed.
    pub fn record_placed(&mut self, band: SizeBand) {
        self.bands.entry(band).or_default().placed += 1.0;
    }

    /// Records that a gang became too late to count before it was placed.
    pub fn record_given_up(&mut self, band: SizeBand) {
        self.bands.entry(band).or_default().given_up += 1.0;
    }

    /// Returns the outcomes of a band.
    pub fn outcomes(&self, band: SizeBand) -> Outcomes {
        self.bands.get(&band).copied().unwrap_or_default()
    }

    /// Returns the bands with outcomes.
    pub fn bands(&self) -> impl Iterator<Item = SizeBand> {
        self.bands.keys().copied()
    }

    /// Halves the weight of earlier outcomes when it is time to.
    pub fn decay(&mut self, now: Instant) {
        let halve_at = *self.halve_at.get_or_insert(now + HALVING_INTERVAL);
        if now < halve_at {
            return;
        }
        self.halve_at = Some(now + HALVING_INTERVAL);
        for outcomes in self.bands.values_mut() {
            outcomes.placed /= 2.0;
            outcomes.given_up /= 2.0;
        }
    }
}
