//! Runs a host of a cell: forwarding of calls and a relay on every host, and a replica of the log
//! and a placer on storage hosts.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use thiserror::Error;

use super::calls::{
    CALL_EXTENSION, Call, HostContact, OutsideCalls, POLICY_EXTENSION, PolicyQuestion, Reply,
};
use super::directory::{Directory, Unanswered};
use super::instruments::instruments;
use super::placer::{CallResponder, Committed, Placer, PlacerSettings};
use super::relay::Relay;
use super::relay::messages::{INSTRUCTIONS_EXTENSION, Instructions, REPORT_EXTENSION, RelayReport};
use super::settings::WorkflowSettings;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::peer::{CallPool, CallPoolOptions, ClusterKeys, PeerServer, Responder};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::replication::{Limits, Replica, ReplicaOptions, StorageError, StorageOptions, Timing};

/// Name of the replicated log in the messages of the replicas.
const LOG_GROUP: &str = "workflow";
/// Interval in which a host announces itself to the placer.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the check whether another placer has become known: short compared to a take-over.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the answer to an announcement.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without an answered announcement after which a host reports that it is not ready: longer
/// than the election of another placer.
const READY_FOR: Duration = Duration::from_millis(3_000);
/// Questions that are sent to the placement policy at the same time. The policy serves one call of
/// a host at a time, so additional threads only cover the round trips.
const MAX_POLICY_THREADS: usize = 8;
/// Questions that wait for a thread: at some 100 ms each, they wait less than a second, after which
/// the placer no longer waits for the answer.
const MAX_QUEUED_QUESTIONS: usize = 64;
/// Lease of a worker: longer than an election and the first contact with all workers after it.
const WORKER_LEASE: Duration = Duration::from_secs(6);
/// Time without an answer after which another storage host stands for election: four heartbeats,
/// and seven round trips between regions. With 650 ms, a lost placer was replaced after 1.3 s.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(420);
/// Interval of calls to followers while there are no entries to send.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Largest batch of the log: a configuration is recorded as it came, up to 4 MiB, and decoded. A
/// batch that the log refuses would end the term. Fits into a frame between hosts.
pub(super) const MAX_BATCH_BYTES: usize = 12 * 1024 * 1024;
/// Applied entries after which the log is replaced by a snapshot.
const MAX_LOG_ENTRIES: u64 = 20_000;
/// Size of the log at which it is replaced by a snapshot: a quarter of the smallest disk.
const MAX_LOG_BYTES: usize = 16 * 1024 * 1024;

/// Reason why a host cannot start.
#[derive(Debug, Error)]
pub enum HostError {
    /// The listener for other hosts could not be bound, or a thread not started.
    #[error("cannot listen for other hosts: {0}")]
    Listen(#[from] io::Error),
    /// The log could not be opened.
    #[error("cannot open the log: {0}")]
    Storage(#[from] StorageError),
}

/// A running host of a cell.
pub struct WorkflowHost {
    settings: WorkflowSettings,
    directory: Arc<Directory>,
    /// Time of the latest answered announcement to the placer.
    contacted_at: Mutex<Option<Instant>>,
    stopping: AtomicBool,
    replica: Option<Arc<Replica<()>>>,
    peers: PeerServer,
}

impl WorkflowHost {
    /// Starts the relay and the listener for other hosts, and, if the settings name a data folder,
    /// the replica and the placer.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`] if the log cannot be opened, the address cannot be bound or a thread
    /// cannot be started.
    pub fn start(
        settings: WorkflowSettings,
        outside: OutsideCalls,
    ) -> Result<Arc<Self>, HostError> {
        let local_host = settings.host_id();
        let peers = settings.listeners.peers;
        let directory = Arc::new(Directory::new(
            local_host,
            peers.port(),
            settings.seed_ids(),
        ));
        let relay = start_relay(&settings, &directory, &outside);
        let replica = match &settings.host.data_folder {
            Some(folder) => Some(start_replica(
                &settings,
                folder.clone(),
                &directory,
                &outside,
                &relay,
            )?),
            None => None,
        };
        let max_held_frame_bytes = settings.limits.max_held_frame_bytes;
        let server = serve_peers(
            peers,
            &directory,
            replica.clone(),
            outside,
            relay,
            max_held_frame_bytes,
        )?;
        let host = Arc::new(Self {
            settings,
            directory,
            contacted_at: Mutex::new(None),
            stopping: AtomicBool::new(false),
            replica,
            peers: server,
        });
        let contacting = Arc::clone(&host);
        thread::Builder::new()
            .name("contact".to_owned())
            .spawn(move || contacting.keep_contact())?;
        Ok(host)
    }

    /// Sends a call to the placer, on whichever host it runs.
    ///
    /// # Errors
    ///
    /// Returns [`Unanswered`] if no placer answers before the deadline.
    pub fn call(&self, call: &Call, deadline: Instant) -> Result<Reply, Unanswered> {
        let begun_at = Instant::now();
        let result = self.directory.call(call, deadline);
        instruments().record_call(call.kind(), begun_at.elapsed());
        result
    }

    /// Whether the host is ready for new connections: the placer answered recently, and the host is
    /// not stopping.
    pub fn is_ready(&self) -> bool {
        let contacted = *self.contacted_at.lock().unwrap();
        let fresh = contacted.is_some_and(|at| at.elapsed() < READY_FOR);
        fresh && !self.stopping.load(Ordering::Acquire)
    }

    /// Settings at the start of the host; changes by [`Self::reload`] do not show here.
    pub fn settings(&self) -> &WorkflowSettings {
        &self.settings
    }

    /// Host that leads the workflow log; `None` if it is not known.
    pub fn leader(&self) -> Option<HostId> {
        let placer = self.directory.placer();
        if placer.is_some_and(|placer| placer.is_leading()) {
            return Some(self.settings.host_id());
        }
        let hint = placer.and_then(|placer| placer.leader_hint());
        hint.or_else(|| self.directory.leader())
    }

    /// Host to which workers should send their heartbeats; `None` if it is not known. A storage
    /// host names itself, so that workers do not all call the leader.
    pub fn heartbeat_host(&self) -> Option<HostId> {
        match &self.replica {
            Some(_) => Some(self.settings.host_id()),
            None => self.leader(),
        }
    }

    /// Applies the settings that can change while the host runs: the seeds.
    pub fn reload(&self, settings: &WorkflowSettings) {
        let (before, after) = (self.directory.seeds(), settings.seed_ids());
        if before != after {
            log::info!(before:? = before, after:? = after; "seeds changed");
            self.directory.set_seeds(after);
        }
        let needs_restart = settings.host != self.settings.host
            || settings.listeners != self.settings.listeners
            || settings.timing != self.settings.timing
            || settings.placement_policy != self.settings.placement_policy;
        if needs_restart {
            log::warn!("changes to settings other than the seeds take effect at the next start");
        }
    }

    /// Reports the host as not ready from now on. If the host leads, transfers the leadership to
    /// another host and waits for that until the deadline at most.
    pub fn begin_stop(&self, deadline: Instant) {
        self.stopping.store(true, Ordering::Release);
        if let Some(placer) = self.directory.placer() {
            placer.hand_over(deadline);
        }
    }

    /// Stops the peer listener and the replica at once, as if the process had been killed.
    pub fn crash(&self) {
        self.stopping.store(true, Ordering::Release);
        self.peers.stop();
        if let Some(replica) = &self.replica {
            replica.shutdown();
        }
    }

    fn keep_contact(&self) {
        let contact = Call::Contact(HostContact {
            host: self.settings.host_id(),
            data_centre: self.settings.host.data_centre.clone(),
            stores: self.settings.host.data_folder.is_some(),
        });
        let mut in_contact = false;
        while !self.stopping.load(Ordering::Acquire) {
            let started = Instant::now();
            let reply = self.call(&contact, started + CONTACT_TIMEOUT);
            let answered = reply.is_ok();
            if answered {
                *self.contacted_at.lock().unwrap() = Some(Instant::now());
            }
            if answered != in_contact {
                in_contact = answered;
                match reply {
                    Ok(reply) => {
                        log::info!(leader:? = self.leader(); "contact with the placer: {reply:?}");
                    }
                    Err(_) => log::warn!("no contact with the placer"),
                }
            }
            self.await_next_contact(started + CONTACT_INTERVAL);
        }
    }

    /// Waits until the next announcement is due. It is due at once when another placer becomes
    /// known, since that placer needs this host as a relay.
    fn await_next_contact(&self, due_at: Instant) {
        let leader = self.directory.leader();
        while Instant::now() < due_at && self.directory.leader() == leader {
            thread::sleep(LEADER_CHECK_INTERVAL);
        }
    }
}

fn start_relay(
    settings: &WorkflowSettings,
    directory: &Arc<Directory>,
    outside: &OutsideCalls,
) -> Arc<Relay> {
    let directory = Arc::clone(directory);
    let local_host = settings.host_id();
    let send_report = move |placer: &HostId, report: RelayReport, deadline: Instant| {
        if *placer == report.host {
            let local = directory.placer();
            let noted = local.is_some_and(|placer| placer.note_relay_report(report));
            return noted.then_some(()).ok_or_else(no_longer_placer);
        }
        send_extension(&directory, placer, REPORT_EXTENSION, &report, deadline)
    };
    Relay::start(
        local_host,
        outside.clone(),
        Arc::new(send_report),
        settings.late_call_limit(),
    )
}

fn no_longer_placer() -> String {
    "the host is no longer the placer".to_owned()
}

/// Sends a message whose reply has no content.
fn send_extension(
    directory: &Directory,
    host: &HostId,
    name: &str,
    message: &impl serde::Serialize,
    deadline: Instant,
) -> Result<(), String> {
    let message = postcard::to_stdvec(message).map_err(|error| error.to_string())?;
    let request = PeerRequest::Extension {
        name: name.to_owned(),
        message,
    };
    match directory.client(host).call(request, deadline) {
        Ok(PeerReply::Message(_)) => Ok(()),
        Ok(PeerReply::NotPlacer { .. }) => Err(no_longer_placer()),
        Ok(other) => Err(format!("unexpected reply: {other:?}")),
        Err(error) => Err(error.to_string()),
    }
}

fn start_replica(
    settings: &WorkflowSettings,
    folder: std::path::PathBuf,
    directory: &Arc<Directory>,
    outside: &OutsideCalls,
    relay: &Arc<Relay>,
) -> Result<Arc<Replica<()>>, HostError> {
    let committed = Committed::default();
    let sending = Arc::clone(directory);
    let initial_voters = if settings.cell.forms_new_cell {
        settings.seed_ids()
    } else {
        Vec::new()
    };
    let replica = Arc::new(Replica::start(ReplicaOptions {
        group: LOG_GROUP.to_owned(),
        host: settings.host_id(),
        initial_voters,
        may_lead: true,
        storage: StorageOptions::Folder(folder),
        clock: Clock::system(),
        timing: Timing {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            ..Timing::default()
        },
        limits: Limits {
            max_command_bytes: MAX_BATCH_BYTES,
            max_log_entries: MAX_LOG_ENTRIES,
            max_log_bytes: MAX_LOG_BYTES,
            ..Limits::default()
        },
        seed: rand::random(),
        send: Arc::new(move |host, message, deadline| {
            let request = PeerRequest::Replication {
                group: LOG_GROUP.to_owned(),
                message,
            };
            match sending.log_client(host).call(request, deadline) {
                Ok(PeerReply::Message(reply)) => Ok(reply),
                Ok(other) => Err(format!("unexpected reply: {other:?}")),
                Err(error) => Err(error.to_string()),
            }
        }),
        machine: committed.machine(),
    })?);
    let max_lease = Duration::from_millis(settings.timing.max_worker_lease_ms);
    let finding = Arc::clone(directory);
    let (local_host, sending, relay) =
        (settings.host_id(), Arc::clone(directory), Arc::clone(relay));
    let send_instructions = move |host: &HostId, instructions: Instructions, deadline: Instant| {
        if *host == local_host {
            relay.accept(instructions);
            return Ok(());
        }
        send_extension(
            &sending,
            host,
            INSTRUCTIONS_EXTENSION,
            &instructions,
            deadline,
        )
    };
    let placer = Placer::start(
        PlacerSettings {
            host: settings.host_id(),
            lease: WORKER_LEASE.min(max_lease),
            max_lease,
            late_call_limit: settings.late_call_limit(),
            retention: settings.retention(),
            wanted_voters: settings.cell.tolerated_losses * 2 + 1,
            remote_factor: settings.remote_factor(),
        },
        Clock::system(),
        Arc::clone(&replica),
        committed,
        outside.clone(),
        Arc::new(move |host| finding.client(host)),
        Arc::new(send_instructions),
    );
    directory.set_placer(placer);
    Ok(replica)
}

fn serve_peers(
    address: SocketAddr,
    directory: &Arc<Directory>,
    replica: Option<Arc<Replica<()>>>,
    outside: OutsideCalls,
    relay: Arc<Relay>,
    max_held_frame_bytes: usize,
) -> io::Result<PeerServer> {
    let directory = Arc::clone(directory);
    let policy = CallPool::new(CallPoolOptions {
        name: "peer-call-policy".to_owned(),
        max_threads: MAX_POLICY_THREADS,
        max_queued: MAX_QUEUED_QUESTIONS,
    });
    let handler = move |from: HostId, request: PeerRequest, responder: Responder| match request {
        // Blocks for disk syncs; the connection carries only messages of the log.
        PeerRequest::Replication { message, .. } => responder.answer(match &replica {
            Some(replica) => PeerReply::Message(replica.handle(&from, &message)),
            None => PeerReply::Refused("this host stores no log".to_owned()),
        }),
        PeerRequest::Extension { name, message } if name == CALL_EXTENSION => {
            answer_call(&directory, &from, &message, responder);
        }
        PeerRequest::Extension { name, message } if name == INSTRUCTIONS_EXTENSION => {
            responder.answer(accept_instructions(&relay, &message));
        }
        PeerRequest::Extension { name, message } if name == REPORT_EXTENSION => {
            responder.answer(accept_relay_report(&directory, &message));
        }
        PeerRequest::Extension { name, message } if name == POLICY_EXTENSION => {
            let outside = outside.clone();
            policy.run(responder, move |responder| {
                responder.answer(answer_policy_question(&outside, &message));
            });
        }
        other => responder.answer(PeerReply::Refused(format!("unknown call {}", other.kind()))),
    };
    PeerServer::start_limited(
        address,
        ClusterKeys::unauthenticated(),
        max_held_frame_bytes,
        Arc::new(handler),
    )
}

fn answer_call(directory: &Directory, from: &HostId, message: &[u8], responder: Responder) {
    let Some(placer) = directory.placer() else {
        responder.answer(PeerReply::NotPlacer {
            placer: directory.leader(),
        });
        return;
    };
    let call = match postcard::from_bytes::<Call>(message) {
        Ok(call) => call,
        Err(error) => {
            let reason = format!("the call cannot be decoded: {error}");
            responder.answer(PeerReply::Refused(reason));
            return;
        }
    };
    let asked = Arc::clone(placer);
    let responder = CallResponder::new(move |reply| {
        responder.answer(match reply {
            Some(reply) => encode(&reply),
            None => PeerReply::NotPlacer {
                placer: asked.leader_hint(),
            },
        });
    });
    placer.handle(from, call, responder);
}

fn accept_instructions(relay: &Arc<Relay>, message: &[u8]) -> PeerReply {
    match postcard::from_bytes(message) {
        Ok(instructions) => {
            relay.accept(instructions);
            PeerReply::Message(Vec::new())
        }
        Err(error) => PeerReply::Refused(format!("instructions cannot be decoded: {error}")),
    }
}

fn accept_relay_report(directory: &Directory, message: &[u8]) -> PeerReply {
    let report: RelayReport = match postcard::from_bytes(message) {
        Ok(report) => report,
        Err(error) => return PeerReply::Refused(format!("a report cannot be decoded: {error}")),
    };
    match directory.placer() {
        Some(placer) if placer.note_relay_report(report) => PeerReply::Message(Vec::new()),
        _ => PeerReply::NotPlacer {
            placer: directory.leader(),
        },
    }
}

fn answer_policy_question(outside: &OutsideCalls, message: &[u8]) -> PeerReply {
    let question: PolicyQuestion = match postcard::from_bytes(message) {
        Ok(question) => question,
        Err(error) => {
            return PeerReply::Refused(format!("the question cannot be decoded: {error}"));
        }
    };
    let deadline = Instant::now() + Duration::from_millis(question.timeout_ms);
    let answer = (outside.ask_policy)(&question, deadline);
    encode(&answer.map_err(|failure| failure.to_string()))
}

fn encode(reply: &impl serde::Serialize) -> PeerReply {
    match postcard::to_stdvec(reply) {
        Ok(bytes) => PeerReply::Message(bytes),
        Err(error) => PeerReply::Refused(format!("the reply cannot be encoded: {error}")),
    }
}
