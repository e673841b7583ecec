//! Assignment of the slots in which gangs gather room.

use super::super::decisions::reservations::{
    ReservationSlots, WaitingGang, choose_gathering_by_shares,
};
use super::Now;
use super::gang_sizes::band;
use super::ranked_stages::Ranked;
use super::term::{LiveStage, Term};

impl LiveStage {
    /// Whether a gang that gathers room would lose anything if it stopped.
    fn has_gathered(&self) -> bool {
        !self.reservations.is_empty() || self.open_questions > 0 || self.permits.known_count() > 0
    }

    /// Processors of the tasks without reserved room, in thousandths of a core.
    fn missing_millis(&self) -> u64 {
        let missing = self.needs.task_count.saturating_sub(self.reserved_tasks()) as u64;
        self.needs.amount.cpu_millis.saturating_mul(missing)
    }
}

impl Term {
    /// Takes the slots of the gangs that have gathered nothing yet. They are assigned again by rank,
    /// so that newer gangs are not late in turn.
    pub(super) fn free_unused_slots(&mut self) {
        for stage in self.stages.values_mut() {
            if stage.gathers_since.is_some() && !stage.has_gathered() {
                stage.gathers_since = None;
            }
        }
    }

    /// Decides which of the gangs in a pass gather room.
    pub(super) fn choose_gathering_gangs(&mut self, order: &[Ranked], now: Now) {
        self.size_shares.decay(now.at);
        let capacity_millis = self.available_capacity_millis(now.at);
        let free_millis = self.ledger.free_total().cpu_millis;
        let mut positions = Vec::new();
        let mut gangs = Vec::new();
        // Gangs of customers over their share, and with them those that are too late to count.
        let mut comes_last = Vec::new();
        let has_over_share = self.customers.values().any(|live| live.is_over_share);
        for entry in order.iter().filter(|entry| entry.needs.gang) {
            let Some((_, stage)) = self.stages.get_index(entry.position) else {
                continue;
            };
            if !stage.all_tasks_wait()
                || now.at < stage.next_gathering_at
                || self.is_held_by_cap(entry.position, &entry.needs)
            {
                continue;
            }
            positions.push(entry.position);
            let is_last = entry.rank.is_too_late() || self.is_over_share(&entry.needs);
            comes_last.push(has_over_share && is_last);
            gangs.push(WaitingGang {
                band: band(&stage.needs),
                missing_millis: stage.missing_millis(),
                in_time: entry.rank.is_in_time(),
                gathers: stage.gathers_since.is_some(),
            });
        }
        let slots = ReservationSlots::new(capacity_millis, free_millis);
        let chosen = choose_gathering_by_shares(&gangs, &comes_last, slots, &self.size_shares);
        for (position, gathers) in positions.into_iter().zip(chosen) {
            if let Some((_, stage)) = self.stages.get_index_mut(position) {
                let since = stage.gathers_since.unwrap_or(now.at);
                stage.gathers_since = gathers.then_some(since);
                if !gathers && stage.renewing.is_empty() {
                    stage.room_whole_since = None;
                }
            }
        }
    }
}
