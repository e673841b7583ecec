//! Regular report of the free room that waiting tasks could use, by what these tasks wait for.

use std::cmp::Reverse;
use std::time::Instant;

use super::super::decisions::placing;
use super::super::instruments::instruments;
use super::super::spec::StageKey;
use super::Now;
use super::customers::{count_as_running, tasks_under_cap};
use super::term::{LiveStage, Term};
use crate::resources::Resources;
use crate::scheduling::ledger::{PoolIndex, WorkerIndex, WorkerStatus};

/// Workers that one report examines at most; room that only further ones would show is left out.
const MAX_EXAMINED_WORKERS: usize = 50_000;

/// What the tasks of a stage wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Awaited {
    /// The placement policy has not been asked about the stage.
    FirstQuestion,
    /// A question is in flight.
    Answer,
    /// Another pass, question or renewal, or room on particular workers.
    Placement,
}

/// Processors that are free while tasks wait that could use them, in thousandths of a core. A gang
/// counts only if all of its members fit. Workers about which the placement policy has not answered
/// count with the share that it usually grants.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct IdleRoom {
    /// For stages about which the placement policy has not been asked.
    pub unasked_millis: u64,
    /// For stages with a question in flight.
    pub asked_millis: u64,
    /// For stages that wait for anything else.
    pub other_millis: u64,
    /// Part of the sums that gangs could use.
    pub gang_millis: u64,
}

impl IdleRoom {
    /// Processors that are free while any task waits that could use them.
    pub(super) fn total_millis(&self) -> u64 {
        self.unasked_millis + self.asked_millis + self.other_millis
    }

    fn add(&mut self, awaited: Awaited, gang: bool, millis: u64) {
        *match awaited {
            Awaited::FirstQuestion => &mut self.unasked_millis,
            Awaited::Answer => &mut self.asked_millis,
            Awaited::Placement => &mut self.other_millis,
        } += millis;
        self.gang_millis += if gang { millis } else { 0 };
    }
}

/// A worker that accepts runs, and what it would have left.
struct Room {
    index: WorkerIndex,
    pool: PoolIndex,
    /// Free processors at the beginning, by which the workers are sorted.
    free_cpu_millis: u64,
    left: Resources,
}

impl Term {
    /// Places the waiting tasks in the order of their ranks on a copy of the free room, as if the
    /// policy answered at once, and returns the room that they would take.
    pub(super) fn idle_room(&self, now: Now) -> IdleRoom {
        let mut rooms = self.free_rooms(now.at);
        let mut customers = self.customers.clone();
        let mut examined = 0;
        let mut idle = IdleRoom::default();
        for position in self.ranked_positions(now) {
            let Some((key, stage)) = self.stages.get_index(position) else {
                continue;
            };
            if examined >= MAX_EXAMINED_WORKERS {
                break;
            }
            // What a cap holds back could not use the room.
            let needs = &stage.needs;
            let allowed = tasks_under_cap(&customers, key, needs, stage.waiting.len());
            if allowed == 0 || (needs.gang && allowed < stage.waiting.len()) {
                continue;
            }
            let (taken, looked_at) = self.take_room(key, stage, allowed, &mut rooms);
            count_as_running(&mut customers, needs, taken);
            examined += looked_at;
            let millis = taken as u64 * stage.needs.amount.cpu_millis;
            idle.add(awaited(stage), stage.needs.gang, millis);
        }
        idle
    }

    /// Returns the workers that accept runs, those with the most free processors first.
    fn free_rooms(&self, now: Instant) -> Vec<Room> {
        let mut rooms = Vec::new();
        for worker in self.workers.values() {
            let Some(entry) = self.ledger.worker(worker.index) else {
                continue;
            };
            if entry.status != WorkerStatus::Up
                || !worker.reachable
                || worker.health.is_avoided(now)
            {
                continue;
            }
            let Some(pool) = self.pools.get_index_of(&worker.record.service) else {
                continue;
            };
            let left = entry.free();
            rooms.push(Room {
                index: worker.index,
                pool,
                free_cpu_millis: left.cpu_millis,
                left,
            });
        }
        rooms.sort_by_key(|room| Reverse(room.free_cpu_millis));
        rooms
    }

    /// Takes room for waiting tasks of a stage, at most `limit`. Returns the number of tasks that got
    /// room and of workers that were examined.
    fn take_room(
        &self,
        key: &StageKey,
        stage: &LiveStage,
        limit: usize,
        rooms: &mut [Room],
    ) -> (usize, usize) {
        let needs = &stage.needs;
        let mut share = 1.0;
        if needs.slow_policy.is_some() {
            let job = self.state.jobs.get(&key.job);
            let granted = job.and_then(|job| self.good_shares.get(&job.queue.name));
            share = granted.copied().unwrap_or_default().value();
        }
        let large_enough =
            rooms.partition_point(|room| room.free_cpu_millis >= needs.amount.cpu_millis);
        // What is reserved for the stage itself is not free.
        let reserved = stage.reserved_tasks();
        let mut missing = limit.saturating_sub(reserved);
        let mut expected_grants = 0.0;
        let mut taken = Vec::new();
        let mut examined = 0;
        for (position, room) in rooms[..large_enough].iter().enumerate() {
            if missing == 0 {
                break;
            }
            examined += 1;
            let fitting = placing::tasks_that_fit(&needs.amount, &room.left, missing);
            if room.pool != needs.pool || fitting == 0 {
                continue;
            }
            let id = self
                .ledger
                .worker(room.index)
                .map(|entry| &entry.description.id);
            let Some(id) = id.filter(|id| !stage.permits.is_denied(id)) else {
                continue;
            };
            if !stage.permits.was_granted(id) {
                expected_grants += share;
                if expected_grants < 1.0 {
                    continue;
                }
                expected_grants -= 1.0;
            }
            missing -= fitting;
            taken.push((position, fitting));
        }
        if needs.gang && missing > 0 {
            return (0, examined);
        }
        let mut tasks = 0;
        for (position, count) in taken {
            let left = &mut rooms[position].left;
            let amount = needs.amount.checked_mul(count as u64);
            *left = amount
                .and_then(|amount| left.checked_sub(&amount))
                .unwrap_or(Resources::ZERO);
            tasks += count;
        }
        (tasks, examined)
    }

    /// Reports the room that waiting tasks could use.
    pub(super) fn report_idle_room(&self, now: Now) {
        let idle = self.idle_room(now);
        let mut unasked = 0;
        let mut asked = 0;
        for stage in self.stages.values() {
            if stage.waiting.is_empty() {
                continue;
            }
            match awaited(stage) {
                Awaited::FirstQuestion => unasked += 1,
                Awaited::Answer => asked += 1,
                Awaited::Placement => {}
            }
        }
        let in_flight = self.questions.open_questions();
        log::info!(
            epoch = self.epoch, idle_millis = idle.total_millis(),
            unasked_millis = idle.unasked_millis, asked_millis = idle.asked_millis,
            other_millis = idle.other_millis, gang_millis = idle.gang_millis,
            stages_unasked = unasked, stages_asked = asked,
            questions_in_flight = in_flight, policy_callers = self.policy_callers.len();
            "room is free that waiting tasks could use"
        );
        instruments().record_idle_room(idle.unasked_millis, idle.asked_millis, idle.other_millis);
    }
}

fn awaited(stage: &LiveStage) -> Awaited {
    if stage.open_questions > 0 {
        Awaited::Answer
    } else if stage.needs.slow_policy.is_some() && stage.permits.known_count() == 0 {
        Awaited::FirstQuestion
    } else {
        Awaited::Placement
    }
}
