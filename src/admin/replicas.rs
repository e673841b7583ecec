//! Calls that list and change the replicas of the configuration log.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::changes::change_author;
use super::sources::Source;
use super::{Admin, Call, bad_request};
use crate::http::Response;
use crate::ids::{ConfigVersion, DataCentreName, HostId, Incarnation};
use crate::membership::HostState;
use crate::protocol::headers;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Role of a host in the configuration log.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ReplicaRole {
    /// The host votes on elections and entries.
    Voter,
    /// The host lost its storage and votes again once it has caught up.
    Returning,
    /// The host receives the log without voting.
    Learner,
    /// The host does not receive the log yet.
    Outside,
}

/// State of an entry host as a replica of the configuration log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplicaView {
    /// Identifier of the entry host.
    pub host: HostId,
    /// Data centre of the entry host.
    pub data_centre: DataCentreName,
    /// Role in the membership of the log.
    pub role: ReplicaRole,
    /// Identity of the host's storage in the membership of the log.
    pub incarnation: Option<Incarnation>,
    /// Phase in the host's last report: `joining`, `follower`, `candidate`, `leader` or `faulty`.
    pub phase: Option<String>,
    /// Cause of the `faulty` phase.
    pub fault: Option<String>,
    /// Whether the host keeps the log on a disk.
    pub on_disk: Option<bool>,
    /// Applied version in the host's last report.
    pub version: Option<ConfigVersion>,
    /// Number of changes by which the host lags behind the latest version that any host reported.
    pub behind: Option<u64>,
    /// Time since the host's last report.
    pub reported_age_ms: Option<u64>,
    /// State of the host according to the failure detector of this host.
    pub liveness: Option<HostState>,
}

/// A membership change of the configuration log.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOperation {
    /// Adds the host as a learner.
    Add(HostId),
    /// Makes a learner a voter.
    Promote(HostId),
    /// Removes the host from the membership. A running host that the settings list becomes a
    /// learner again.
    Remove(HostId),
    /// Adds and promotes `new`, then removes `old`.
    Replace {
        /// Voter to be removed.
        old: HostId,
        /// Host that votes in place of `old`.
        new: HostId,
    },
}

/// Outcome of a membership operation.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ReplicaOutcome {
    /// All steps are done.
    Done,
    /// The operation was rejected without a change.
    Refused,
    /// Some steps are done; repeating the operation continues with the remaining steps.
    Stopped,
    /// The step that follows the done steps may have been carried out too.
    Unknown,
}

/// Body of the response to a membership operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReply {
    /// Outcome of the operation.
    pub outcome: ReplicaOutcome,
    /// Steps that are done, in order.
    pub done: Vec<String>,
    /// Cause and remedy, when the operation is not done.
    pub message: Option<String>,
}

/// Carries out a membership operation and waits until it ends.
pub type ChangeReplicas = Arc<dyn Fn(&ReplicaOperation) -> ReplicaReply + Send + Sync>;

/// Closures that list and change the replicas of the configuration log.
#[derive(Clone)]
pub struct ReplicaControl {
    /// Lists all entry hosts of the cell.
    pub list: Source<Vec<ReplicaView>>,
    /// Carries out a membership operation.
    pub change: ChangeReplicas,
}

fn replica_control(admin: &Admin) -> Result<&ReplicaControl, RequestError> {
    admin.sources.replicas.as_ref().ok_or_else(|| {
        let message = "the settings name no voter, so this cell has no configuration log";
        RequestError::did_not_run(ErrorCode::NotFound, message)
    })
}

pub(super) fn list(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let replicas = (replica_control(admin)?.list)();
    let body = json!({ "host": admin.host, "replicas": replicas });
    Ok(Response::json(200, &body))
}

/// Body of a request for a membership operation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperationBody {
    reason: String,
    #[serde(default)]
    author: Option<String>,
    /// Host that votes in place of the removed host; only for `replace`.
    #[serde(default)]
    new: Option<HostId>,
}

pub(super) fn add(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    operate(admin, call, |host, _| Ok(ReplicaOperation::Add(host)))
}

pub(super) fn promote(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    operate(admin, call, |host, _| Ok(ReplicaOperation::Promote(host)))
}

pub(super) fn remove(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    operate(admin, call, |host, _| Ok(ReplicaOperation::Remove(host)))
}

pub(super) fn replace(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    operate(admin, call, |old, new| {
        let new =
            new.ok_or_else(|| bad_request("new is required: the host that takes the place"))?;
        Ok(ReplicaOperation::Replace { old, new })
    })
}

fn operate(
    admin: &Admin,
    call: &Call<'_>,
    build_operation: impl FnOnce(HostId, Option<HostId>) -> Result<ReplicaOperation, RequestError>,
) -> Result<Response, RequestError> {
    let body: OperationBody = call.request.json()?;
    if body.reason.trim().is_empty() {
        return Err(bad_request("reason is required"));
    }
    let is_replacement = call.request.path.ends_with("/replace");
    if body.new.is_some() && !is_replacement {
        return Err(bad_request("new belongs to replace only"));
    }
    let author = change_author(call, body.author)?;
    let operation = build_operation(call.argument(0), body.new)?;
    let reply = (replica_control(admin)?.change)(&operation);
    log::info!(
        author = author.as_str(), reason = body.reason.as_str(),
        outcome = reply.outcome.to_string().as_str();
        "{operation:?}: {:?}", reply.done
    );
    let (status, verdict) = match reply.outcome {
        ReplicaOutcome::Done => (200, Verdict::Ran),
        ReplicaOutcome::Refused => (409, Verdict::DidNotRun),
        ReplicaOutcome::Stopped | ReplicaOutcome::Unknown => (502, Verdict::MayHaveRun),
    };
    Ok(Response::json(status, &reply).header(headers::VERDICT, verdict.to_string()))
}
