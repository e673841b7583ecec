//! Regular report of the gangs that have waited longest and of what each of them waits for.

use std::cmp::Reverse;

use indexmap::IndexMap;

use super::super::decisions::placing;
use super::super::spec::StageKey;
use super::Now;
use super::term::Term;

/// Number of gangs in a report.
const MAX_REPORTED_GANGS: usize = 5;

/// What a waiting gang has and what it lacks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct GangNeeds {
    /// Number of members.
    pub tasks: usize,
    /// Number of waiting gangs of the same priority that rank before this one.
    pub gangs_before: usize,
    /// Workers about which the placement policy has answered.
    pub known_workers: usize,
    /// Workers that the policy has granted, including those with an expired permit.
    pub granted_workers: usize,
    /// Workers with a usable permit.
    pub permitted_workers: usize,
    /// Members that fit on the granted workers now, not counting reserved room.
    pub granted_room: usize,
    /// Members that fit on the workers with a usable permit now, not counting reserved room.
    pub permitted_room: usize,
    /// Members for which room is reserved.
    pub reserved: usize,
    /// Whether a question to the placement policy is in flight.
    pub question_pending: bool,
}

impl Term {
    /// Returns the gangs of which all members wait, in the order of their ranks, each with the
    /// number of gangs of its priority before it.
    fn waiting_gangs(&self, now: Now) -> Vec<(StageKey, usize)> {
        let mut gangs = Vec::new();
        let mut before = IndexMap::<u32, usize>::new();
        for position in self.ranked_positions(now) {
            let Some((key, stage)) = self.stages.get_index(position) else {
                continue;
            };
            if !stage.needs.gang || !stage.all_tasks_wait() {
                continue;
            }
            let count = before.entry(stage.needs.priority).or_default();
            gangs.push((key.clone(), *count));
            *count += 1;
        }
        gangs
    }

    pub(super) fn gang_needs(
        &self,
        key: &StageKey,
        gangs_before: usize,
        now: Now,
    ) -> Option<GangNeeds> {
        let search = self.search(key, now)?;
        let stage = search.stage;
        let mut needs = GangNeeds {
            tasks: stage.waiting.len(),
            gangs_before,
            known_workers: stage.permits.known_count(),
            reserved: stage.reserved_tasks(),
            question_pending: stage.open_questions > 0,
            ..GangNeeds::default()
        };
        for id in stage.permits.granted_workers() {
            let permitted = stage.permits.usable(id, now.at).is_some();
            needs.granted_workers += 1;
            needs.permitted_workers += usize::from(permitted);
            let Some(candidate) = self.candidate(&search, id) else {
                continue;
            };
            let room = placing::room(search.spec, &candidate, needs.tasks);
            needs.granted_room += room;
            needs.permitted_room += if permitted { room } else { 0 };
        }
        Some(needs)
    }

    /// Reports the gangs that can no longer end within their objective and have waited longest.
    pub(super) fn report_waiting_gangs(&self, now: Now) {
        let mut late = Vec::new();
        for (key, gangs_before) in self.waiting_gangs(now) {
            let Some(stage) = self.stages.get(&key) else {
                continue;
            };
            let waited = now.at.saturating_duration_since(stage.due_at);
            if waited > stage.objective {
                late.push((Reverse(waited), key, gangs_before));
            }
        }
        late.sort_by_key(|(waited, _, _)| *waited);
        for (Reverse(waited), key, gangs_before) in late.into_iter().take(MAX_REPORTED_GANGS) {
            let Some(needs) = self.gang_needs(&key, gangs_before, now) else {
                continue;
            };
            let next_question_ms = self.stages.get(&key).map_or(0, |stage| {
                let at = stage.next_question_at.max(stage.next_worker_search_at);
                at.saturating_duration_since(now.at).as_millis() as u64
            });
            log::info!(
                stage:% = key, waited_ms = waited.as_millis() as u64, tasks = needs.tasks,
                gangs_before, known_workers = needs.known_workers,
                granted_workers = needs.granted_workers,
                permitted_workers = needs.permitted_workers, granted_room = needs.granted_room,
                permitted_room = needs.permitted_room, reserved = needs.reserved,
                question_pending = needs.question_pending, next_question_ms;
                "a late gang waits"
            );
        }
    }
}
