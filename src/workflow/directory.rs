//! Finding the placer, and repeating calls until it has answered.

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

/// Time for the first answer of one host, doubled with each call without one: three commits among
/// three regions. A new placer leads about 900 ms after the last one froze; with 1,000 ms, calls
/// still waited for the frozen one by then.
const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);
/// Doublings of the time for an answer.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Time for which a host that did not answer is asked only when no other is known. By then the
/// others have noticed too, after 630 ms at most, and no longer name it as the placer.
const SILENT_FOR: Duration = Duration::from_millis(250);
/// Storage hosts that are remembered beside the seeds.
const MAX_KNOWN_HOSTS: usize = 32;

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unanswered {
    /// No host that leads was reached: the call had no effect.
    NotSent,
    /// The call may have taken effect.
    MayHaveTakenEffect,
}

/// Clients of the other hosts, and which of them leads.
pub struct Directory {
    own: HostId,
    peer_port: u16,
    seeds: Mutex<Vec<HostId>>,
    clients: Mutex<IndexMap<HostId, PeerClient>>,
    /// Clients for messages of the log, which must not wait behind other calls on a connection.
    log_clients: Mutex<IndexMap<HostId, PeerClient>>,
    /// Hosts that were named as leaders.
    named: Mutex<IndexSet<HostId>>,
    leader: Mutex<Option<HostId>>,
    /// Hosts that did not answer, and until when they count as silent.
    silent_until: Mutex<IndexMap<HostId, Instant>>,
    /// The placer of this host, on storage hosts.
    placer: OnceLock<Arc<Placer>>,
}

impl Directory {
    /// A directory that knows the seeds.
    pub fn new(own: HostId, peer_port: u16, seeds: Vec<HostId>) -> Self {
        Self {
            own,
            peer_port,
            seeds: Mutex::new(seeds),
            clients: Mutex::default(),
            log_clients: Mutex::default(),
            named: Mutex::default(),
            leader: Mutex::new(None),
            silent_until: Mutex::default(),
            placer: OnceLock::new(),
        }
    }

    /// Sets the placer of this host.
    pub fn set_placer(&self, placer: Arc<Placer>) {
        let _ = self.placer.set(placer);
    }

    /// The placer of this host, on storage hosts.
    pub fn placer(&self) -> Option<&Arc<Placer>> {
        self.placer.get()
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, seeds: Vec<HostId>) {
        *self.seeds.lock().unwrap() = seeds;
    }

    /// Seeds of the settings.
    pub fn seeds(&self) -> Vec<HostId> {
        self.seeds.lock().unwrap().clone()
    }

    /// Host that answered as leader last, or was named by another host.
    pub fn leader(&self) -> Option<HostId> {
        self.leader.lock().unwrap().clone()
    }

    /// The client for calls to a host.
    pub fn client(&self, host: &HostId) -> PeerClient {
        self.client_in(&self.clients, host)
    }

    /// The client for messages of the log to a host, with a connection of its own.
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
            local_host: self.own.clone(),
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

    /// Sends a call to the placer, wherever it is, until it answers or the deadline passes.
    ///
    /// # Errors
    ///
    /// [`Unanswered`], which tells whether the call may have taken effect.
    pub fn call(&self, call: &Call, deadline: Instant) -> Result<Reply, Unanswered> {
        let message = match postcard::to_stdvec(call) {
            Ok(message) => message,
            Err(error) => {
                log::error!("a call cannot be encoded: {error}");
                return Err(Unanswered::NotSent);
            }
        };
        let mut attempt = 0;
        let mut unanswered_attempts = 0;
        while Instant::now() < deadline {
            let doublings = MAX_TIMEOUT_DOUBLINGS.min(unanswered_attempts);
            let timeout = FIRST_ATTEMPT_TIMEOUT * 2_u32.pow(doublings);
            let until = deadline.min(Instant::now() + timeout);
            match self.attempt(call, &message, attempt, until) {
                // An earlier attempt may have taken effect, which only another reply can tell.
                Asked::Reply(Reply::Busy { .. }) if unanswered_attempts > 0 => {}
                Asked::Reply(reply) => return Ok(reply),
                Asked::Unconfirmed => unanswered_attempts += 1,
                Asked::NotLeader => {}
            }
            let pause = retries::pause(attempt, rand::random());
            attempt += 1;
            let left = deadline.saturating_duration_since(Instant::now());
            thread::sleep(pause.min(left));
        }
        instruments().count_unanswered_call();
        Err(match unanswered_attempts {
            0 => Unanswered::NotSent,
            _ => Unanswered::MayHaveTakenEffect,
        })
    }

    /// Asks the placer of this host when it leads, otherwise the next host.
    fn attempt(&self, call: &Call, message: &[u8], attempt: u32, until: Instant) -> Asked {
        if let Some(placer) = self.placer() {
            let (sender, replies) = bounded(1);
            let responder = CallResponder::new(move |reply| {
                // The caller may have given up.
                let _ = sender.send(reply);
            });
            placer.handle(&self.own, call.clone(), responder);
            match replies.recv_deadline(until) {
                Ok(None) => {}
                Ok(Some(Reply::Unconfirmed)) | Err(_) => return Asked::Unconfirmed,
                Ok(Some(reply)) => return Asked::Reply(reply),
            }
        }
        self.ask(&self.next_host(attempt), message.to_vec(), until)
    }

    /// Host to ask: the one that is believed to lead, otherwise each storage host in turn.
    fn next_host(&self, attempt: u32) -> HostId {
        if let Some(leader) = self.leader().filter(|leader| *leader != self.own) {
            return leader;
        }
        let mut hosts: IndexSet<HostId> = self.seeds().into_iter().collect();
        hosts.extend(self.named.lock().unwrap().iter().cloned());
        hosts.shift_remove(&self.own);
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

    fn ask(&self, host: &HostId, message: Vec<u8>, deadline: Instant) -> Asked {
        let request = PeerRequest::Extension {
            name: CALL_EXTENSION.to_owned(),
            message,
        };
        let result = self.client(host).call(request, deadline);
        match result {
            Ok(PeerReply::Message(reply)) => match postcard::from_bytes(&reply) {
                Ok(Reply::Unconfirmed) => Asked::Unconfirmed,
                // Any storage host acknowledges heartbeats.
                Ok(Reply::WorkerNoted) => Asked::Reply(Reply::WorkerNoted),
                Ok(reply) => {
                    self.note_leader(host);
                    Asked::Reply(reply)
                }
                Err(error) => {
                    log::error!(host = host.as_str(); "a reply cannot be decoded: {error}");
                    Asked::Unconfirmed
                }
            },
            Ok(PeerReply::NotPlacer { placer }) => {
                // Until the election is over, other hosts name the placer that does not answer.
                let named = placer.filter(|placer| placer != host && !self.is_silent(placer));
                match named {
                    Some(placer) => self.note_leader(&placer),
                    None => self.forget_leader(host),
                }
                Asked::NotLeader
            }
            Ok(other) => {
                log::warn!(host = host.as_str(); "unexpected reply: {other:?}");
                Asked::NotLeader
            }
            Err(error) => {
                log::debug!(host = host.as_str(); "call failed: {error}");
                self.forget_leader(host);
                let until = Instant::now() + SILENT_FOR;
                self.silent_until
                    .lock()
                    .unwrap()
                    .insert(host.clone(), until);
                match error {
                    CallError::NotSent { .. } => Asked::NotLeader,
                    CallError::NoReply { .. } => Asked::Unconfirmed,
                }
            }
        }
    }

    fn note_leader(&self, host: &HostId) {
        let mut leader = self.leader.lock().unwrap();
        if leader.as_ref() == Some(host) {
            return;
        }
        log::info!(leader = host.as_str(), before:? = *leader; "placer is elsewhere now");
        *leader = Some(host.clone());
        let mut named = self.named.lock().unwrap();
        if named.len() < MAX_KNOWN_HOSTS {
            named.insert(host.clone());
        }
    }

    fn forget_leader(&self, host: &HostId) {
        let mut leader = self.leader.lock().unwrap();
        if leader.as_ref() == Some(host) {
            log::warn!(host = host.as_str(); "the believed placer does not lead or answer; asking the other storage hosts");
            *leader = None;
        }
    }
}

/// What a host said.
enum Asked {
    Reply(Reply),
    /// The call may have taken effect.
    Unconfirmed,
    /// The call had no effect there.
    NotLeader,
}
