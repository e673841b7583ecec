//! Finds the placer and repeats calls until it answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;
use indexmap::{IndexMap, IndexSet};

use super::calls::{CALL_EXTENSION, Call, Reply};
use super::decisions::retries;
use super::instruments::instruments;
use super::placer::{CallResponder, Placer};
use crate::ids::HostId;
use crate::peer::{CallError, ClusterKeys, PeerClient, PeerClientOptions};
use crate::protocol::peer::{PeerReply, PeerRequest};

/// Time for the answer of one host, doubled with each attempt that stays without one: three commits
/// among three regions. A new placer leads about 900 ms after the previous one froze; with 1,000
/// ms, calls still waited for the frozen placer by then.
const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);
/// Largest number of doublings of the time for an answer.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Time for which a host that did not answer is called only if no other host is known. After that
/// time the other hosts have noticed its silence too, within 630 ms at most, and no longer name it
/// as the placer.
const SILENT_FOR: Duration = Duration::from_millis(250);
/// Largest number of storage hosts that are remembered in addition to the seeds.
const MAX_KNOWN_HOSTS: usize = 32;

/// Reason why a call has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unanswered {
    /// No leading host was reached, so that the call had no effect.
    NotSent,
    /// The call may have taken effect.
    MayHaveTakenEffect,
}

/// Connections to the other hosts, with the host that is assumed to lead.
pub struct Directory {
    local_host: HostId,
    /// Port of the peer listener, the same on all hosts.
    peer_port: u16,
    seeds: Mutex<Vec<HostId>>,
    clients: Mutex<IndexMap<HostId, PeerClient>>,
    /// Clients for messages of the log, which must not queue behind other calls on a connection.
    log_clients: Mutex<IndexMap<HostId, PeerClient>>,
    /// Hosts that answered as leaders or were named as such.
    named_leaders: Mutex<IndexSet<HostId>>,
    leader: Mutex<Option<HostId>>,
    /// Hosts that did not answer, with the end of the time for which they count as silent.
    silent_until: Mutex<IndexMap<HostId, Instant>>,
    /// The placer of this host; only storage hosts have one.
    placer: OnceLock<Arc<Placer>>,
}

impl Directory {
    /// Creates a directory that knows only the seeds. All hosts listen on `peer_port`.
    pub fn new(local_host: HostId, peer_port: u16, seeds: Vec<HostId>) -> Self {
        Self {
            local_host,
            peer_port,
            seeds: Mutex::new(seeds),
            clients: Mutex::default(),
            log_clients: Mutex::default(),
            named_leaders: Mutex::default(),
            leader: Mutex::new(None),
            silent_until: Mutex::default(),
            placer: OnceLock::new(),
        }
    }

    /// Sets the placer of this host; a second call has no effect.
    pub fn set_placer(&self, placer: Arc<Placer>) {
        let _ = self.placer.set(placer);
    }

    /// The placer of this host; `None` on hosts that are not storage hosts.
    pub fn placer(&self) -> Option<&Arc<Placer>> {
        self.placer.get()
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, seeds: Vec<HostId>) {
        *self.seeds.lock().unwrap() = seeds;
    }

    /// Hosts that the settings name as seeds.
    pub fn seeds(&self) -> Vec<HostId> {
        self.seeds.lock().unwrap().clone()
    }

    /// Host that last answered as leader or was named as leader by another host.
    pub fn leader(&self) -> Option<HostId> {
        self.leader.lock().unwrap().clone()
    }

    /// Returns the client for calls to a host, shared by all callers.
    pub fn client(&self, host: &HostId) -> PeerClient {
        self.client_in(&self.clients, host)
    }

    /// Returns the client for messages of the log to a host, which has a separate connection.
    pub fn log_client(&self, host: &HostId) -> PeerClient {
        self.client_in(&self.log_clients, host)
    }

    fn client_in(
        &self,
        clients: &Mutex<IndexMap<HostId, PeerClient>>,
        host: &HostId,
    ) -> PeerClient {
        let mut clients = clients.lock().unwrap();
        if let Some(client) = clients.get(host) {
            return client.clone();
        }
        let address = format!("{host}:{}", self.peer_port);
        let client = PeerClient::new(PeerClientOptions {
            local_host: self.local_host.clone(),
            remote_host: host.clone(),
            address: address
                .parse()
                .unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0))),
            keys: ClusterKeys::unauthenticated(),
            scope: "cell".to_owned(),
            links: None,
        });
        clients.insert(host.clone(), client.clone());
        client
    }

    /// Sends a call to the placer, on whichever host it runs, and repeats it until the placer
    /// answers or the deadline passes.
    ///
    /// # Errors
    ///
    /// Returns [`Unanswered`], which states whether the call may have taken effect.
    pub fn call(&self, call: &Call, deadline: Instant) -> Result<Reply, Unanswered> {
        let message = match postcard::to_stdvec(call) {
            Ok(message) => message,
            Err(error) => {
                log::error!("cannot encode a call: {error}");
                return Err(Unanswered::NotSent);
            }
        };
        let is_submission = call.is_submission();
        let mut attempt = 0;
        let mut unanswered_attempts = 0;
        while Instant::now() < deadline {
            let doublings = MAX_TIMEOUT_DOUBLINGS.min(unanswered_attempts);
            let timeout = FIRST_ATTEMPT_TIMEOUT * 2_u32.pow(doublings);
            let until = deadline.min(Instant::now() + timeout);
            match self.attempt(call, &message, attempt, until) {
                // An earlier attempt may have taken effect; only a reply other than a refusal shows
                // that.
                AttemptResult::Reply(Reply::Busy { .. }) if unanswered_attempts > 0 => {}
                // The backlog is not shorter at the next attempt, and a queue, key or cap that was
                // changed after an earlier one does not return, so that none follows.
                AttemptResult::Reply(
                    Reply::NotAccepted { .. }
                    | Reply::NoSuchQueue
                    | Reply::UnknownKey
                    | Reply::OtherCustomer
                    | Reply::ExceedsCap(_),
                ) if unanswered_attempts > 0 && is_submission => {
                    break;
                }
                AttemptResult::Reply(reply) => return Ok(reply),
                AttemptResult::Unconfirmed => unanswered_attempts += 1,
                AttemptResult::NotLeader => {}
            }
            let pause = retries::pause(attempt, rand::random());
            attempt += 1;
            let remaining = deadline.saturating_duration_since(Instant::now());
            thread::sleep(pause.min(remaining));
        }
        instruments().count_unanswered_call();
        Err(match unanswered_attempts {
            0 => Unanswered::NotSent,
            _ => Unanswered::MayHaveTakenEffect,
        })
    }

    /// Sends the call once, to the placer of this host if it leads and otherwise to the next host.
    fn attempt(&self, call: &Call, message: &[u8], attempt: u32, until: Instant) -> AttemptResult {
        if let Some(placer) = self.placer() {
            let (sender, replies) = bounded(1);
            let responder = CallResponder::new(move |reply| {
                // The caller may have given up.
                let _ = sender.send(reply);
            });
            placer.handle(&self.local_host, call.clone(), responder);
            match replies.recv_deadline(until) {
                Ok(None) => {}
                Ok(Some(Reply::Unconfirmed)) | Err(_) => return AttemptResult::Unconfirmed,
                Ok(Some(reply)) => return AttemptResult::Reply(reply),
            }
        }
        self.send_to(&self.next_host(attempt), message.to_vec(), until)
    }

    /// Host to call: the assumed leader, otherwise each known storage host in turn.
    fn next_host(&self, attempt: u32) -> HostId {
        if let Some(leader) = self.leader().filter(|leader| *leader != self.local_host) {
            return leader;
        }
        let mut hosts: IndexSet<HostId> = self.seeds().into_iter().collect();
        hosts.extend(self.named_leaders.lock().unwrap().iter().cloned());
        // After a restart, the seeds may all have been replaced while the replica follows the leader.
        hosts.extend(self.placer().and_then(|placer| placer.leader_hint()));
        hosts.shift_remove(&self.local_host);
        let answering: IndexSet<HostId> = hosts
            .iter()
            .filter(|host| !self.is_silent(host))
            .cloned()
            .collect();
        if !answering.is_empty() {
            hosts = answering;
        }
        let position = attempt as usize % hosts.len().max(1);
        hosts.get_index(position).cloned().unwrap_or_default()
    }

    fn is_silent(&self, host: &HostId) -> bool {
        let silent = self.silent_until.lock().unwrap();
        silent
            .get(host)
            .is_some_and(|until| Instant::now() < *until)
    }

    fn send_to(&self, host: &HostId, message: Vec<u8>, deadline: Instant) -> AttemptResult {
        let request = PeerRequest::Extension {
            name: CALL_EXTENSION.to_owned(),
            message,
        };
        let result = self.client(host).call(request, deadline);
        match result {
            Ok(PeerReply::Message(reply)) => match postcard::from_bytes(&reply) {
                Ok(Reply::Unconfirmed) => AttemptResult::Unconfirmed,
                // Any storage host acknowledges heartbeats.
                Ok(Reply::WorkerNoted) => AttemptResult::Reply(Reply::WorkerNoted),
                Ok(reply) => {
                    self.record_leader(host);
                    AttemptResult::Reply(reply)
                }
                Err(error) => {
                    log::error!(host = host.as_str(); "cannot decode a reply: {error}");
                    AttemptResult::Unconfirmed
                }
            },
            Ok(PeerReply::NotPlacer { placer }) => {
                // Until the election is over, other hosts still name the placer that does not
                // answer.
                let named = placer.filter(|placer| placer != host && !self.is_silent(placer));
                match named {
                    Some(placer) => self.record_leader(&placer),
                    None => self.clear_leader(host),
                }
                AttemptResult::NotLeader
            }
            Ok(other) => {
                log::warn!(host = host.as_str(); "unexpected reply: {other:?}");
                AttemptResult::NotLeader
            }
            Err(error) => {
                log::debug!(host = host.as_str(); "call failed: {error}");
                self.clear_leader(host);
                let until = Instant::now() + SILENT_FOR;
                self.silent_until
                    .lock()
                    .unwrap()
                    .insert(host.clone(), until);
                match error {
                    CallError::NotSent { .. } => AttemptResult::NotLeader,
                    CallError::NoReply { .. } => AttemptResult::Unconfirmed,
                }
            }
        }
    }

    fn record_leader(&self, host: &HostId) {
        let mut leader = self.leader.lock().unwrap();
        if leader.as_ref() == Some(host) {
            return;
        }
        log::info!(leader = host.as_str(), before:? = *leader; "the known placer changed");
        *leader = Some(host.clone());
        let mut named_leaders = self.named_leaders.lock().unwrap();
        if named_leaders.len() < MAX_KNOWN_HOSTS {
            named_leaders.insert(host.clone());
        }
    }

    fn clear_leader(&self, host: &HostId) {
        let mut leader = self.leader.lock().unwrap();
        if leader.as_ref() == Some(host) {
            log::warn!(host = host.as_str(); "the assumed placer does not lead or does not answer; trying the other storage hosts");
            *leader = None;
        }
    }
}

/// Result of one attempt to deliver a call.
enum AttemptResult {
    Reply(Reply),
    /// The call may have taken effect.
    Unconfirmed,
    /// The call had no effect on the host that was called.
    NotLeader,
}
