//! Beginning and end of this host's role, and its periodic work.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

use super::flight::{Flight, FlightEnd};
use super::follow::{Followed, Held, no_longer_placer};
use super::records::{KeyRecord, PlacementRecord};
use super::{Placer, PlacerState, not_placer, task_calls};
use crate::ids::{Epoch, RequestKey, TaskId, WorkerId};
use crate::verdict::RequestError;

/// Interval in which a change of the role and runners that became usable are noticed.
const TICK: Duration = Duration::from_millis(50);
/// Interval of retention, of the list of runners, and of telling runners what they may drop.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Tasks named in one `DELETE`; keeps its header below 4 KB.
const TASKS_PER_DELETE: usize = 64;
/// Tasks remembered for `DELETE` for one runner; the others are left to the runner's own bound.
const MAX_FORGET_LATER: usize = 10_000;

impl Placer {
    /// The epoch in which this host is the placer, after taking over where that is due.
    pub(super) fn lead(self: &Arc<Self>) -> Result<Epoch, RequestError> {
        let epoch = (self.options.journal.epoch)().ok_or_else(not_placer)?;
        if self.state.lock().unwrap().epoch != Some(epoch) {
            self.take_over(epoch)?;
        }
        Ok(epoch)
    }

    /// Begins an epoch. The committed takeover record proves that all earlier records have been
    /// applied here, and takes the effect from later intents of earlier epochs.
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
        let adopted: Vec<Followed> = open
            .into_iter()
            .map(|(key, record)| adopt(&mut state, epoch, key, record))
            .collect();
        drop(state);
        for followed in adopted {
            self.follow(followed);
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

    /// Follows a task whose record is open and has no flight; returns its flight.
    pub(super) fn adopt_one(
        self: &Arc<Self>,
        state: &mut PlacerState,
        epoch: Epoch,
        key: RequestKey,
        record: KeyRecord,
    ) -> (Arc<Flight>, Followed) {
        let followed = adopt(state, epoch, key, record);
        (Arc::clone(&followed.flight), followed)
    }

    /// Ends everything that depends on the role. Waiting requests were never sent; tasks that were
    /// sent are resolved by the next placer.
    fn step_down(&self, state: &mut PlacerState) {
        state.epoch = None;
        let waiting: Vec<RequestKey> = state.waiting.keys().cloned().collect();
        for key in waiting {
            state.queue.cancel(&key);
            if let Some(sender) = state.waiting.swap_remove(&key) {
                let _ = sender.send(Err(not_placer()));
            }
        }
        for (_, followed) in std::mem::take(&mut state.followed) {
            for task in followed {
                let end = FlightEnd::Outcome(Err(no_longer_placer()));
                task.flight.finish(end);
            }
        }
        state.flights.clear();
        state.forget.clear();
        let lease_end = self.options.clock.now();
        state.runners.begin_epoch(0, lease_end);
    }

    /// Remembers that the runner may drop the record of a task.
    pub(super) fn forget_later(&self, worker: &str, task: &str) {
        let mut state = self.state.lock().unwrap();
        let tasks = state.forget.entry(worker.to_owned()).or_default();
        if tasks.len() < MAX_FORGET_LATER {
            tasks.push(task.to_owned());
        }
    }

    fn send_forgets(&self) {
        let batches: Vec<(WorkerId, Vec<TaskId>)> = {
            let mut state = self.state.lock().unwrap();
            std::mem::take(&mut state.forget).into_iter().collect()
        };
        for (worker, tasks) in batches {
            let link = self.state.lock().unwrap().runners.link(&worker).cloned();
            let Some(link) = link else { continue };
            for chunk in tasks.chunks(TASKS_PER_DELETE) {
                task_calls::forget(&self.options, &link, chunk);
            }
        }
    }

    fn tick(self: &Arc<Self>) {
        match (self.options.journal.epoch)() {
            Some(_) => {
                // A takeover that fails is tried again with the next tick.
                let _ = self.lead();
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
            state.runners.drop_forgotten(now);
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

    /// Starts the periodic work; its threads end when the placer is dropped.
    pub(super) fn start_threads(self: &Arc<Self>) {
        let placer = Arc::downgrade(self);
        spawn("placer-tick", move || run_ticks(&placer));
        let placer = Arc::downgrade(self);
        spawn("placer-forget", move || {
            repeat(&placer, HOUSEKEEPING_INTERVAL, |placer| {
                placer.send_forgets();
            });
        });
    }
}

fn adopt(state: &mut PlacerState, epoch: Epoch, key: RequestKey, record: KeyRecord) -> Followed {
    let flight = Flight::new(record.digest);
    state.flights.insert(key.clone(), Arc::clone(&flight));
    state.runners.hold(&record.worker, record.incarnation);
    Followed {
        key,
        task: record.task,
        worker: record.worker,
        incarnation: record.incarnation,
        epoch,
        generation: state.runners.generation(),
        deadline_unix_ms: record.deadline_unix_ms,
        idempotent: record.idempotent,
        acknowledged: false,
        damaged_answers: AtomicU32::new(0),
        flight,
        held: Held::Adopted,
        known: None,
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) {
    if let Err(error) = thread::Builder::new().name(name.to_owned()).spawn(work) {
        log::error!("cannot start thread {name}: {error}");
    }
}

fn run_ticks(placer: &Weak<Placer>) {
    let mut next_housekeeping = Instant::now();
    repeat(placer, TICK, |placer| {
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
