//! Carries the messages between the replicas of one log over the peer transport.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::gateway::routing::RemoteHost;
use crate::ids::{DataCentreName, HostId};
use crate::peer::PeerClient;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::replication::SendMessage;

/// Returns the clients to all other hosts by host identifier.
pub(super) fn clients(
    remote: &IndexMap<DataCentreName, Vec<RemoteHost>>,
) -> IndexMap<HostId, PeerClient> {
    let hosts = remote.values().flatten();
    hosts
        .map(|host| (host.id.clone(), host.client.clone()))
        .collect()
}

/// Returns a function that sends messages of the named log.
pub(super) fn sender(group: &str, clients: IndexMap<HostId, PeerClient>) -> SendMessage {
    let group = group.to_owned();
    Arc::new(move |host, message, deadline| {
        let client = clients
            .get(host)
            .ok_or_else(|| format!("host {host} is not in the settings"))?;
        let request = PeerRequest::Replication {
            group: group.clone(),
            message,
        };
        match client.call(request, deadline) {
            Ok(PeerReply::Message(reply)) => Ok(reply),
            Ok(other) => Err(format!("unexpected reply: {other:?}")),
            Err(error) => Err(error.to_string()),
        }
    })
}
