//! A running replica: its threads and its interface.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::RecvTimeoutError;
use indexmap::IndexMap;

use super::peer::NextAction;
use super::propose::{Committed, Lease, OutcomeReceiver, Proposal, ProposeError};
use super::state::{Role, State};
use super::status::{MemberProgress, ReplicaPhase, ReplicaStatus};
use super::storage::{Storage, StorageError};
use super::{ReplicaOptions, SendMessage};
use crate::clock::Clock;
use crate::ids::{Epoch, HostId};
use crate::telemetry::processor_time::{self, Activity};

/// Ticks of the timer thread within one heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 4;
/// Interval at which a blocked call checks whether its condition holds.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A replica and its threads.
pub struct Replica<T> {
    shared: Arc<Shared<T>>,
}

struct Shared<T> {
    state: Mutex<State<T>>,
    /// Notified when the peer, sync or snapshot threads may have work.
    work: Condvar,
    send: SendMessage,
    clock: Clock,
    /// Leadership after the latest operation. It has a lock of its own because the placer reads it
    /// for each request, also while it holds locks that the state machine acquires.
    lease: Mutex<Option<Lease>>,
    stopping: AtomicBool,
    /// Threads by name.
    threads: Mutex<IndexMap<String, JoinHandle<()>>>,
}

impl<T: Send + 'static> Replica<T> {
    /// Opens the storage and starts the threads.
    ///
    /// # Errors
    ///
    /// [`StorageError`] when the storage is damaged, in use or fails.
    pub fn start(options: ReplicaOptions<T>) -> Result<Self, StorageError> {
        let (send, clock) = (Arc::clone(&options.send), options.clock.clone());
        let tick = options.timing.heartbeat_interval / TICKS_PER_HEARTBEAT;
        let is_durable = options.storage.is_durable();
        let state = State::open(options, clock.now())?;
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            work: Condvar::new(),
            send,
            clock,
            lease: Mutex::new(None),
            stopping: AtomicBool::new(false),
            threads: Mutex::new(IndexMap::new()),
        });
        shared.step(State::tick);
        shared.spawn("timer", move |shared| shared.run_timer(tick));
        if is_durable {
            shared.spawn("sync", |shared| shared.run_sync());
            shared.spawn("snapshot", |shared| shared.run_snapshots());
        }
        shared.spawn_peer_threads();
        Ok(Self { shared })
    }

    /// Returns the encoded reply to a call from another host.
    pub fn handle(&self, from: &str, bytes: &[u8]) -> Vec<u8> {
        self.shared
            .step(|state, now| state.handle(from, bytes, now))
    }

    /// Appends a command and waits until it is committed and applied on this host.
    ///
    /// # Errors
    ///
    /// [`ProposeError`], which says whether the command may be committed nevertheless.
    pub fn propose(
        &self,
        command: Vec<u8>,
        deadline: Instant,
    ) -> Result<Proposal<T>, ProposeError> {
        let outcome = self.shared.step(|state, now| state.propose(command, now))?;
        let committed = self.wait(&outcome, deadline)?;
        let output = committed
            .output
            .ok_or_else(|| ProposeError::Unknown("the command was not applied".to_owned()))?;
        Ok(Proposal {
            index: committed.index,
            output,
        })
    }

    /// Appends a command without waiting for its commit, which the caller observes when the state
    /// machine applies the command. Commands are appended in the order of these calls, and only
    /// while this host leads in the epoch in which they were decided.
    ///
    /// # Errors
    ///
    /// [`ProposeError`], in which case the command was not appended.
    pub fn append(&self, epoch: Epoch, command: Vec<u8>) -> Result<(), ProposeError> {
        let appended = self.shared.step(|state, now| {
            if state.hard_state.term != epoch {
                return Err(state.not_leader());
            }
            state.propose(command, now)
        });
        appended.map(|_| ())
    }

    fn wait(
        &self,
        outcome: &OutcomeReceiver<T>,
        deadline: Instant,
    ) -> Result<Committed<T>, ProposeError> {
        outcome.recv_deadline(deadline).unwrap_or_else(|error| {
            let reason = match error {
                RecvTimeoutError::Timeout => "the deadline passed",
                RecvTimeoutError::Disconnected => "the replica ended",
            };
            Err(ProposeError::Unknown(reason.to_owned()))
        })
    }

    /// Returns the epoch while this host leads: its first entry is committed and applied, and a
    /// majority has answered calls that it sent within the election timeout. Each leader has a
    /// larger epoch than all earlier leaders, also after the group was lost and formed again, as
    /// long as the wall clocks of the hosts were not set back. An epoch is one uninterrupted period:
    /// once the leadership has lapsed, it never returns in the same epoch.
    pub fn leadership(&self) -> Option<Epoch> {
        // The clock is read with the lease locked, so that no extension follows a lapse seen here.
        let published = self.shared.lease.lock().unwrap();
        let lease = (*published)?;
        (self.shared.clock.now() < lease.until).then_some(lease.epoch)
    }

    /// Gives up the leadership of the epoch, so that this host leads again only in a later one. Has
    /// no effect in another epoch, or during a leadership transfer, which ends the epoch itself.
    pub fn resign(&self, epoch: Epoch) {
        self.shared.step(|state, now| {
            if state.hard_state.term == epoch
                && state.role == Role::Leader
                && state.transfer.is_none()
            {
                state.step_down(now);
            }
        });
    }

    /// Returns the leader as known to this host; `None` when unknown. The leader may have changed
    /// since the last contact with it.
    pub fn leader_hint(&self) -> Option<HostId> {
        self.shared.lock().leader.clone()
    }

    /// Returns the present state of the replica.
    pub fn status(&self) -> ReplicaStatus {
        let state = self.shared.lock();
        let phase = match (&state.fault, state.role) {
            (Some(fault), _) => ReplicaPhase::Faulty(fault.reason.clone()),
            (None, _) if state.hard_state.group == 0 => ReplicaPhase::Joining,
            (None, Role::Follower) => ReplicaPhase::Follower,
            (None, Role::Candidate(_)) => ReplicaPhase::Candidate,
            (None, Role::Leader) => ReplicaPhase::Leader,
        };
        ReplicaStatus {
            phase,
            incarnation: state.hard_state.incarnation,
            term: state.hard_state.term,
            leader: state.leader.clone(),
            heard_leader_at: state.heard_leader_at,
            commit: state.commit,
            applied: state.applied,
            last_index: state.log.last_index(),
            log_entries: state.log.last_index() - state.log.base_index(),
            membership: state.log.membership().clone(),
            committed_membership: state.log.membership_at(state.commit).clone(),
        }
    }

    /// Returns the members with their replication progress, which is meaningful only on the leader.
    pub fn members(&self) -> Vec<MemberProgress> {
        let state = self.shared.lock();
        let members = state.log.membership().members.iter();
        members
            .map(|member| {
                let peer = state.peers.get(&member.host);
                MemberProgress {
                    host: member.host.clone(),
                    role: member.role,
                    answered_at: peer.and_then(|peer| peer.acked_at),
                    sent_at: peer.and_then(|peer| peer.sent_at),
                    caught_up: peer.is_some_and(|peer| peer.caught_up),
                }
            })
            .collect()
    }

    /// Adds a host as learner and waits until its membership is committed.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`], or [`ProposeError::Unknown`] when the deadline passed; the host
    /// may still be added later.
    pub fn add_learner(&self, host: &str, deadline: Instant) -> Result<(), ProposeError> {
        self.shared.step(|state, _| {
            if state.role != Role::Leader {
                return Err(state.not_leader());
            }
            state.requested_learners.insert(host.to_owned());
            state.update_peers();
            Ok(())
        })?;
        self.wait_until(deadline, |state| {
            let committed = state.log.membership_at(state.commit);
            (committed.get(host).is_some()).then_some(Ok(()))
        })
    }

    /// Promotes a learner that has caught up to a voter, and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// [`ProposeError`].
    pub fn promote(&self, host: &str, deadline: Instant) -> Result<(), ProposeError> {
        let outcome = self.shared.step(|state, now| state.promote(host, now))?;
        self.wait(&outcome, deadline).map(|_| ())
    }

    /// Removes a member, and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// [`ProposeError`].
    pub fn remove(&self, host: &str, deadline: Instant) -> Result<(), ProposeError> {
        let outcome = self.shared.step(|state, now| state.remove(host, now))?;
        self.wait(&outcome, deadline).map(|_| ())
    }

    /// Transfers the leadership to the target, or without a target to the voter with the highest
    /// match index. Returns once this host no longer leads. Its leadership ends with this call.
    ///
    /// # Errors
    ///
    /// [`ProposeError`]. When the deadline has passed, this host steps down.
    pub fn transfer_leadership(
        &self,
        target: Option<HostId>,
        deadline: Instant,
    ) -> Result<(), ProposeError> {
        self.shared
            .step(|state, _| state.start_transfer(target, deadline))?;
        self.wait_until(deadline, |state| {
            (state.role != Role::Leader).then_some(Ok(()))
        })
    }

    fn wait_until(
        &self,
        deadline: Instant,
        check: impl Fn(&State<T>) -> Option<Result<(), ProposeError>>,
    ) -> Result<(), ProposeError> {
        loop {
            if let Some(result) = check(&self.shared.lock()) {
                return result;
            }
            if self.shared.clock.now() >= deadline {
                return Err(ProposeError::Unknown("the deadline passed".to_owned()));
            }
            thread::sleep(MEMBERSHIP_CHECK_INTERVAL);
        }
    }

    /// Stops the replica without a leadership transfer: later calls are rejected, the storage is
    /// closed, and pending proposals end with [`ProposeError::Unknown`]. Returns after the threads
    /// have ended.
    pub fn shutdown(&self) {
        self.shared.stop();
        let threads = std::mem::take(&mut *self.shared.threads.lock().unwrap());
        for (_, thread) in threads {
            let _ = thread.join();
        }
    }
}

impl<T> Drop for Replica<T> {
    fn drop(&mut self) {
        self.shared.stop();
    }
}

impl<T> Shared<T> {
    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap()
    }

    fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        let mut state = self.lock();
        state.stop("the replica was shut down");
        // Dropping the storage releases the lock of its folder.
        state.storage = Storage::Memory;
        *self.lease.lock().unwrap() = None;
        self.work.notify_all();
    }

    /// Runs one operation on the state and wakes the threads that may have to act on the change.
    fn step<R>(&self, run: impl FnOnce(&mut State<T>, Instant) -> R) -> R {
        let mut state = self.lock();
        let now = self.clock.now();
        let result = run(&mut state, now);
        self.publish_lease(&mut state);
        drop(state);
        self.work.notify_all();
        result
    }

    /// Publishes the lease after an operation, which may have taken long, as when it applied entries.
    /// Steps down if the published lease of this term has ended in the meantime: users of the
    /// leadership may have seen the lapse.
    fn publish_lease(&self, state: &mut State<T>) {
        let mut published = self.lease.lock().unwrap();
        let now = self.clock.now();
        let lapsed = published
            .is_some_and(|lease| lease.epoch == state.hard_state.term && now >= lease.until);
        if lapsed && state.role == Role::Leader {
            state.step_down(now);
        }
        *published = state.lease(now);
    }
}

impl<T: Send + 'static> Shared<T> {
    /// Runs the time-driven operations. Wakes the other threads only after a change, since threads
    /// whose next call is due at a known time wait for that time themselves.
    fn tick(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        let observed = |state: &State<T>| {
            let transferring = state.transfer.is_some();
            let last_index = state.log.last_index();
            (
                state.role,
                state.election_deadline,
                last_index,
                transferring,
            )
        };
        let before = observed(&state);
        state.tick(now);
        self.publish_lease(&mut state);
        if observed(&state) != before {
            self.work.notify_all();
        }
    }

    fn spawn(self: &Arc<Self>, name: &str, run: impl FnOnce(Arc<Self>) + Send + 'static) {
        let shared = Arc::clone(self);
        let mut threads = self.threads.lock().unwrap();
        if self.stopping.load(Ordering::Acquire) {
            return;
        }
        let spawned = thread::Builder::new()
            .name(format!("replica-{name}"))
            .spawn(move || {
                processor_time::begin(Activity::Replication);
                run(shared);
            });
        match spawned {
            Ok(thread) => {
                threads.insert(name.to_owned(), thread);
            }
            Err(error) => log::error!("cannot start the replica thread {name}: {error}"),
        }
    }

    /// Starts a thread for each peer without a running one.
    fn spawn_peer_threads(self: &Arc<Self>) {
        let hosts: Vec<HostId> = self.lock().peers.keys().cloned().collect();
        for host in hosts {
            let name = format!("to-{host}");
            let running = {
                let threads = self.threads.lock().unwrap();
                threads
                    .get(&name)
                    .is_some_and(|thread| !thread.is_finished())
            };
            if !running {
                self.spawn(&name, move |shared| shared.run_peer(&host));
            }
        }
    }

    fn run_timer(self: &Arc<Self>, tick: Duration) {
        while !self.stopping.load(Ordering::Acquire) {
            self.tick();
            self.spawn_peer_threads();
            processor_time::charge();
            thread::sleep(tick);
        }
    }

    /// Sends calls to one host whenever a call is due, until the host is no longer a peer.
    fn run_peer(&self, host: &str) {
        let mut state = self.lock();
        while !self.stopping.load(Ordering::Acquire) {
            let now = self.clock.now();
            let call = match state.prepare_call(host, now) {
                NextAction::Removed => return,
                NextAction::WaitUntil(until) => {
                    let timeout = until.saturating_duration_since(now);
                    state = self.work.wait_timeout(state, timeout).unwrap().0;
                    continue;
                }
                NextAction::Send(call) => call,
            };
            drop(state);
            let reply = (self.send)(&call.host, call.bytes.clone(), call.deadline);
            if let Err(reason) = &reply {
                log::debug!("call to {host} failed: {reason}");
            }
            let reply = reply.ok();
            self.step(|state, now| state.complete_call(&call, reply.as_deref(), now));
            processor_time::charge();
            state = self.lock();
        }
    }

    /// Writes snapshots on a thread of its own, since a write may take longer than an election
    /// timeout.
    fn run_snapshots(&self) {
        let mut state = self.lock();
        while !self.stopping.load(Ordering::Acquire) {
            let Some(snapshot) = state.begin_snapshot() else {
                state = self.work.wait(state).unwrap();
                continue;
            };
            drop(state);
            let result = snapshot.run();
            self.step(|state, now| state.finish_snapshot(snapshot, result, now));
            processor_time::charge();
            state = self.lock();
        }
    }

    /// Syncs the entries that this host appends as leader. Entries that arrive during a sync are
    /// covered together by the next sync. Opens the storage again after a failure.
    fn run_sync(&self) {
        let mut state = self.lock();
        while !self.stopping.load(Ordering::Acquire) {
            let now = self.clock.now();
            if let Some(reopen_at) = state.reopen_at(now) {
                self.publish_lease(&mut state);
                let pause = reopen_at.saturating_duration_since(now);
                if !pause.is_zero() {
                    state = self.work.wait_timeout(state, pause).unwrap().0;
                    continue;
                }
                let job = state.begin_reopen();
                drop(state);
                let result = job.run();
                self.step(|state, now| state.finish_reopen(result, now));
                processor_time::charge();
                state = self.lock();
                continue;
            }
            let sync = if state.has_unsynced() {
                state.begin_sync()
            } else {
                None
            };
            let Some(sync) = sync else {
                state = self.work.wait(state).unwrap();
                continue;
            };
            drop(state);
            let result = sync.run();
            self.step(|state, now| state.finish_sync(&sync, result, now));
            processor_time::charge();
            state = self.lock();
        }
    }
}
