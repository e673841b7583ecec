//! The order in which a scheduling pass serves the waiting stages.

use super::super::decisions::ranking::{self, Rank, Waiting};
use super::Now;
use super::search::StageNeeds;
use super::term::{LiveStage, Term};

/// A stage in the order of a scheduling pass.
#[derive(Clone, Copy)]
pub(super) struct Ranked {
    pub rank: Rank,
    /// Index among the stages of the term; stays valid, since no stage is removed during a pass.
    pub position: usize,
    pub needs: StageNeeds,
}

impl Term {
    /// Returns the stages with waiting tasks in the order in which they are scheduled, with or without
    /// those that were too late in an earlier pass.
    pub(super) fn ranked_stages(&self, now: Now, includes_too_late: bool) -> Vec<Ranked> {
        let mut entries = Vec::with_capacity(self.stages.len());
        let mut order = Vec::with_capacity(self.stages.len());
        for (position, stage) in self.stages.values().enumerate() {
            if stage.waiting.is_empty() || (stage.too_late && !includes_too_late) {
                continue;
            }
            let mut rank = ranking::rank(&self.waiting(stage), now.at);
            if self.is_over_share(&stage.needs) {
                rank = rank.of_customer_over_share();
            }
            order.push((rank.sort_key(now.at), entries.len()));
            entries.push(Ranked {
                rank,
                position,
                needs: stage.needs,
            });
        }
        order.sort_unstable();
        order.into_iter().map(|(_, index)| entries[index]).collect()
    }

    /// Returns the positions of the stages with waiting tasks in the order in which they are
    /// scheduled.
    pub(super) fn ranked_positions(&self, now: Now) -> Vec<usize> {
        let order = self.ranked_stages(now, true).into_iter();
        order.map(|entry| entry.position).collect()
    }

    /// Returns the properties of a stage that determine its rank.
    pub(super) fn waiting(&self, stage: &LiveStage) -> Waiting {
        Waiting {
            priority: stage.needs.priority,
            due_at: stage.due_at,
            objective: stage.objective,
            remaining: stage.remaining,
            newest_first: self.newest_gangs_first && stage.needs.gang,
            gathers_since: stage.gathers_since,
        }
    }
}
