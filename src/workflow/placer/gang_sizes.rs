//! Regular report of the gangs by size: which sizes wait, gather room, and are placed.

use indexmap::IndexMap;

use super::super::decisions::size_shares::SizeBand;
use super::search::StageNeeds;
use super::term::{LiveStage, Term};

/// Gangs of one band that wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct WaitingOfSize {
    /// Gangs of which all members wait.
    pub waiting: usize,
    /// Of these, gangs that hold room.
    pub reserving: usize,
    /// Of these, gangs with a question to the placement policy in flight.
    pub asking: usize,
    /// Of these, gangs about which the policy has not been asked.
    pub unasked: usize,
    /// Of these, gangs that are too late to count.
    pub too_late: usize,
}

impl WaitingOfSize {
    fn add(&mut self, stage: &LiveStage) {
        self.waiting += 1;
        self.reserving += usize::from(!stage.reservations.is_empty());
        self.asking += usize::from(stage.open_questions > 0);
        let unasked = stage.open_questions == 0 && stage.permits.known_count() == 0;
        self.unasked += usize::from(unasked && stage.needs.slow_policy.is_some());
        self.too_late += usize::from(stage.too_late);
    }
}

/// Returns the band of a gang by the room that all of its members need.
pub(super) fn band(needs: &StageNeeds) -> SizeBand {
    SizeBand::new(needs.priority, needs.room_millis())
}

impl Term {
    /// Returns the waiting gangs by size.
    pub(super) fn waiting_by_size(&self) -> IndexMap<SizeBand, WaitingOfSize> {
        let mut bands: IndexMap<SizeBand, WaitingOfSize> = IndexMap::new();
        for stage in self.stages.values() {
            if stage.needs.gang && stage.all_tasks_wait() {
                bands.entry(band(&stage.needs)).or_default().add(stage);
            }
        }
        bands
    }

    /// Reports the gangs of each size that wait or had an outcome lately.
    pub(super) fn report_gang_sizes(&self) {
        let mut bands = self.waiting_by_size();
        for band in self.size_shares.bands() {
            bands.entry(band).or_default();
        }
        bands.sort_unstable_keys();
        for (band, gangs) in bands {
            let outcomes = self.size_shares.outcomes(band);
            log::info!(
                epoch = self.epoch, priority = band.priority,
                least_room_millis = band.least_room_millis(), waiting = gangs.waiting,
                reserving = gangs.reserving, asking = gangs.asking, unasked = gangs.unasked,
                too_late = gangs.too_late, placed = outcomes.placed.round() as u64,
                given_up = outcomes.given_up.round() as u64;
                "gangs of a size"
            );
        }
    }
}
