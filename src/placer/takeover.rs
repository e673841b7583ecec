//! Takes over and gives up the role of the placer, and runs its periodic work.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

use super::flight::{InFlightRequest, RequestEnd};
use super::follow::{OccupiedSlot, OrphanedTask, no_longer_placer};
use super::records::{KeyRecord, PlacementRecord};
use super::{Placer, PlacerState, not_placer, task_calls};
use crate::ids::{Epoch, RequestKey, TaskId, WorkerId};
use crate::verdict::RequestError;

/// Interval of the checks for a change of the role and for runners that became usable.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which expired records and silent runners are dropped, and runners are told which
/// task records they may drop.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Tasks named in one `DELETE`, so that its header stays below 4 KB.
const TASKS_PER_DELETE: usize = 64;
/// Tasks kept for the next `DELETE` to one runner. The runner's own bound drops the records of
/// further ones.
const MAX_QUEUED_REMOVALS: usize = 10_000;

impl Placer {
    /// Returns the epoch in which this host is the placer, and first takes over when that epoch is
    /// new.
    pub(super) fn ensure_leading(self: &Arc<Self>) -> Result<Epoch, RequestError> {
        let epoch = (self.options.journal.epoch)().ok_or_else(not_placer)?;
        if self.state.lock().unwrap().epoch != Some(epoch) {
            self.take_over(epoch)?;
        }
        Ok(epoch)
    }

    /// Begins an epoch. Once the takeover record is committed, all earlier records have been applied
    /// on this host, and later intents of earlier epochs have no effect.
    fn take_over(self: &Arc<Self>, epoch: Epoch) -> Result<(), RequestError> {
        let _one_at_a_time = self.takeover.lock().unwrap();
        if self.state.lock().unwrap().epoch == Some(epoch) {
            return Ok(());
        }
        let now_unix_ms = self.options.clock.unix_ms();
        let record = PlacementRecord::Takeover { epoch, now_unix_ms };
        if let Err(error) = (self.options.journal.append)(record) {
            log::debug!("takeover not committed: {error}");
            return Err(not_placer());
        }
        if (self.options.journal.epoch)() != Some(epoch) {
            return Err(not_placer());
        }
        let open = self.open_records();
        log::info!(
            "placer of {} in epoch {epoch}, {} requests to resolve",
            self.options.data_centre,
            open.len()
        );
        let mut state = self.state.lock().unwrap();
        self.step_down(&mut state);
        state.epoch = Some(epoch);
        let lease = Duration::from_millis(self.options.timing.lease_ms);
        let former_leases_end_at = self.options.clock.now() + lease;
        state.runners.begin_epoch(epoch, former_leases_end_at);
        let adopted: Vec<OrphanedTask> = open
            .into_iter()
            .map(|(key, record)| adopt(&mut state, epoch, key, record))
            .collect();
        drop(state);
        for orphan in adopted {
            self.track_orphan(orphan);
        }
        Ok(())
    }

    fn open_records(&self) -> Vec<(RequestKey, KeyRecord)> {
        let placement = self.options.journal.state.lock().unwrap();
        let open = placement
            .keys
            .iter()
            .filter(|(_, record)| record.outcome.is_none());
        open.map(|(key, record)| (key.clone(), record.clone()))
            .collect()
    }

    /// Registers a request whose record has no outcome and that is not in flight. The caller passes
    /// the returned task to [`Self::track_orphan`].
    pub(super) fn adopt_open_record(
        self: &Arc<Self>,
        state: &mut PlacerState,
        epoch: Epoch,
        key: RequestKey,
        record: KeyRecord,
    ) -> (Arc<InFlightRequest>, OrphanedTask) {
        let orphan = adopt(state, epoch, key, record);
        (Arc::clone(&orphan.in_flight), orphan)
    }

    /// Ends everything that depends on the role. Waiting requests were never sent and are refused;
    /// the next placer resolves tasks that were sent.
    fn step_down(&self, state: &mut PlacerState) {
        state.epoch = None;
        let waiting: Vec<RequestKey> = state.waiting.keys().cloned().collect();
        for key in waiting {
            state.queue.cancel(&key);
            if let Some(sender) = state.waiting.swap_remove(&key) {
                let _ = sender.send(Err(not_placer()));
            }
        }
        for (_, orphan) in std::mem::take(&mut state.orphaned_tasks) {
            for task in orphan {
                let end = RequestEnd::Outcome(Err(no_longer_placer()));
                task.in_flight.finish(end);
            }
        }
        state.in_flight_requests.clear();
        state.removable_tasks.clear();
        let lease_end = self.options.clock.now();
        state.runners.begin_epoch(0, lease_end);
    }

    /// Schedules the message to the runner that it may drop the record of a task.
    pub(super) fn queue_removal(&self, worker: &str, task: &str) {
        let mut state = self.state.lock().unwrap();
        let tasks = state.removable_tasks.entry(worker.to_owned()).or_default();
        if tasks.len() < MAX_QUEUED_REMOVALS {
            tasks.push(task.to_owned());
        }
    }

    fn send_removals(&self) {
        let batches: Vec<(WorkerId, Vec<TaskId>)> = {
            let mut state = self.state.lock().unwrap();
            std::mem::take(&mut state.removable_tasks)
                .into_iter()
                .collect()
        };
        for (worker, tasks) in batches {
            let link = self.state.lock().unwrap().runners.link(&worker).cloned();
            let Some(link) = link else { continue };
            for chunk in tasks.chunks(TASKS_PER_DELETE) {
                task_calls::remove_records(&self.options, &link, chunk);
            }
        }
    }

    fn tick(self: &Arc<Self>) {
        match (self.options.journal.epoch)() {
            Some(_) => {
                // The next tick retries a failed takeover.
                let _ = self.ensure_leading();
            }
            None => {
                let mut state = self.state.lock().unwrap();
                if state.epoch.is_some() {
                    log::info!("no longer the placer of {}", self.options.data_centre);
                    self.step_down(&mut state);
                }
            }
        }
        let mut state = self.state.lock().unwrap();
        self.assign_all(&mut state);
    }

    fn housekeep(&self) {
        let (now, now_unix_ms) = (self.options.clock.now(), self.options.clock.unix_ms());
        let leading = {
            let mut state = self.state.lock().unwrap();
            state.runners.remove_long_expired(now);
            state.epoch.is_some()
        };
        let due = self
            .options
            .journal
            .state
            .lock()
            .unwrap()
            .is_due(now_unix_ms);
        if leading
            && due
            && let Err(error) =
                (self.options.journal.append)(PlacementRecord::Advance { now_unix_ms })
        {
            log::debug!("retention not recorded: {error}");
        }
    }

    /// Starts the threads of the periodic work, which end when the placer is dropped.
    pub(super) fn start_threads(self: &Arc<Self>) {
        let placer = Arc::downgrade(self);
        spawn("placer-tick", move || run_ticks(&placer));
        let placer = Arc::downgrade(self);
        spawn("placer-forget", move || {
            repeat(&placer, HOUSEKEEPING_INTERVAL, |placer| {
                placer.send_removals();
            });
        });
    }
}

fn adopt(
    state: &mut PlacerState,
    epoch: Epoch,
    key: RequestKey,
    record: KeyRecord,
) -> OrphanedTask {
    let in_flight = InFlightRequest::new(record.digest);
    state
        .in_flight_requests
        .insert(key.clone(), Arc::clone(&in_flight));
    state
        .runners
        .count_former_slot(&record.worker, record.incarnation);
    OrphanedTask {
        key,
        task: record.task,
        worker: record.worker,
        incarnation: record.incarnation,
        epoch,
        generation: state.runners.generation(),
        deadline_unix_ms: record.deadline_unix_ms,
        idempotent: record.idempotent,
        acknowledged: false,
        corrupted_answers: AtomicU32::new(0),
        in_flight,
        occupied_slot: OccupiedSlot::Adopted,
        unconfirmed_outcome: None,
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) {
    if let Err(error) = thread::Builder::new().name(name.to_owned()).spawn(work) {
        log::error!("cannot start thread {name}: {error}");
    }
}

fn run_ticks(placer: &Weak<Placer>) {
    let mut next_housekeeping = Instant::now();
    repeat(placer, TICK_INTERVAL, |placer| {
        placer.tick();
        if Instant::now() >= next_housekeeping {
            next_housekeeping = Instant::now() + HOUSEKEEPING_INTERVAL;
            placer.housekeep();
        }
    });
}

fn repeat(placer: &Weak<Placer>, interval: Duration, mut work: impl FnMut(&Arc<Placer>)) {
    while let Some(placer) = placer.upgrade() {
        work(&placer);
        drop(placer);
        thread::sleep(interval);
    }
}
