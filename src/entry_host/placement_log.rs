//! The replicated placement log of this host's data centre, and the one for which it is a witness.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::replica_calls;
use crate::clock::Clock;
use crate::gateway::routing::RemoteHost;
use crate::ids::{DataCentreName, HostId};
use crate::options::Settings;
use crate::placer::journal::{Journal, JournalError};
use crate::placer::records::{PlacementRecord, PlacementState};
use crate::protocol::peer::PeerReply;
use crate::replication::{
    Limits, Replica, ReplicaOptions, ReplicaStatus, StateMachine, StorageOptions, Timing,
};

/// Time for a record to be committed; covers a change of the leader's majority, after which the
/// outcome is usually known.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// The placement logs that are kept on this host, by group name.
#[derive(Default)]
pub(super) struct PlacementLogs {
    replicas: IndexMap<String, Arc<Replica<()>>>,
}

impl PlacementLogs {
    /// Starts the replicas of this host. Returns them and the journal of its own placer.
    pub(super) fn start(
        settings: &Settings,
        remote: &IndexMap<DataCentreName, Vec<RemoteHost>>,
    ) -> (Self, Journal) {
        let mut logs = Self::default();
        let this = settings.this_host();
        if let Some(witnessed) = &this.witness_for {
            let state = Arc::default();
            logs.start_replica(settings, remote, witnessed, &state);
        }
        let own = &this.data_centre;
        if voters(settings, own).len() == 1 && settings.host.data_folder.is_none() {
            return (logs, Journal::in_memory(epoch_of_start()));
        }
        let state = Arc::default();
        let journal = match logs.start_replica(settings, remote, own, &state) {
            Some(replica) => journal(replica, state),
            None => unavailable_journal(state),
        };
        (logs, journal)
    }

    fn start_replica(
        &mut self,
        settings: &Settings,
        remote: &IndexMap<DataCentreName, Vec<RemoteHost>>,
        data_centre: &str,
        state: &Arc<Mutex<PlacementState>>,
    ) -> Option<Arc<Replica<()>>> {
        let group = format!("placement/{data_centre}");
        let folder = settings.host.data_folder.as_ref();
        let folder = folder.map(|folder| folder.join(format!("placement-{data_centre}")));
        let started = Replica::start(ReplicaOptions {
            group: group.clone(),
            host: settings.host.id.clone(),
            initial_voters: voters(settings, data_centre),
            may_lead: settings.this_host().data_centre == data_centre,
            storage: storage(folder),
            clock: Clock::system(),
            timing: Timing::default(),
            limits: Limits::default(),
            seed: rand::random(),
            send: replica_calls::sender(&group, replica_calls::clients(remote)),
            machine: machine(state),
        });
        match started {
            Ok(replica) => {
                let replica = Arc::new(replica);
                self.replicas.insert(group, Arc::clone(&replica));
                Some(replica)
            }
            Err(error) => {
                log::error!("the log {group} is not available on this host: {error}");
                None
            }
        }
    }

    /// Answers a message of another host's replica.
    pub(super) fn handle(&self, from: &str, group: &str, message: &[u8]) -> PeerReply {
        match self.replicas.get(group) {
            Some(replica) => PeerReply::Message(replica.handle(from, message)),
            None => PeerReply::Refused(format!("no replicated log {group}")),
        }
    }

    /// State of each replica, by group name.
    pub(super) fn status(&self) -> IndexMap<String, ReplicaStatus> {
        let status =
            |(group, replica): (&String, &Arc<Replica<()>>)| (group.clone(), replica.status());
        self.replicas.iter().map(status).collect()
    }

    /// Passes the leadership on where this host leads.
    pub(super) fn hand_over(&self, deadline: Instant) {
        for (group, replica) in &self.replicas {
            if replica.leadership().is_none() {
                continue;
            }
            if let Err(error) = replica.transfer_leadership(None, deadline) {
                log::warn!("the leadership of {group} was not handed over: {error}");
            }
        }
    }

    /// Ends all replicas abruptly.
    pub(super) fn stop(&self) {
        for replica in self.replicas.values() {
            replica.shutdown();
        }
    }
}

/// Hosts of the data centre and its witness.
fn voters(settings: &Settings, data_centre: &str) -> Vec<HostId> {
    let votes = |host: &&crate::options::settings::CellHost| {
        host.data_centre == data_centre || host.witness_for.as_deref() == Some(data_centre)
    };
    let hosts = settings.cell.hosts.iter().filter(votes);
    hosts.map(|host| host.id.clone()).collect()
}

fn storage(folder: Option<PathBuf>) -> StorageOptions {
    folder.map_or(StorageOptions::Memory, StorageOptions::Folder)
}

/// Epoch of a host that keeps its records in memory alone; in the unit of the epochs of a
/// replicated log, so that adding a host to the data centre lowers none.
fn epoch_of_start() -> u64 {
    Clock::system().unix_seconds() * 1_000
}

fn machine(state: &Arc<Mutex<PlacementState>>) -> StateMachine<()> {
    let (apply, snapshot, restore) = (Arc::clone(state), Arc::clone(state), Arc::clone(state));
    StateMachine {
        apply: Box::new(move |index, command| match postcard::from_bytes(command) {
            Ok(record) => apply.lock().unwrap().apply(record),
            Err(error) => log::error!("record {index} cannot be decoded: {error}"),
        }),
        snapshot: Box::new(move || {
            let state = snapshot.lock().unwrap();
            postcard::to_stdvec(&*state).expect("the state consists of types postcard can encode")
        }),
        restore: Box::new(move |bytes| match postcard::from_bytes(bytes) {
            Ok(restored) => *restore.lock().unwrap() = restored,
            Err(error) => log::error!("a snapshot cannot be decoded: {error}"),
        }),
    }
}

fn journal(replica: Arc<Replica<()>>, state: Arc<Mutex<PlacementState>>) -> Journal {
    let leading = Arc::clone(&replica);
    Journal {
        append: Arc::new(move |record| append(&replica, &record)),
        epoch: Arc::new(move || leading.leadership()),
        state,
    }
}

fn append(replica: &Replica<()>, record: &PlacementRecord) -> Result<(), JournalError> {
    let command = postcard::to_stdvec(record)
        .map_err(|error| JournalError::NotLeader(format!("cannot encode the record: {error}")))?;
    match replica.propose(command, Instant::now() + APPEND_TIMEOUT) {
        Ok(_) => Ok(()),
        Err(error) if error.is_certainly_not_committed() => {
            Err(JournalError::NotLeader(error.to_string()))
        }
        Err(error) => Err(JournalError::Unconfirmed(error.to_string())),
    }
}

/// A journal of a host whose log cannot be used; the host forwards to the others.
fn unavailable_journal(state: Arc<Mutex<PlacementState>>) -> Journal {
    Journal {
        append: Arc::new(|_| {
            Err(JournalError::NotLeader(
                "the log is not available on this host".to_owned(),
            ))
        }),
        epoch: Arc::new(|| None),
        state,
    }
}
