//! Calls about the replicas of the configuration log.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::changes::author;
use super::sources::Source;
use super::{Admin, Call, bad_request};
use crate::http::Response;
use crate::ids::{ConfigVersion, DataCentreName, HostId, Incarnation};
use crate::membership::HostState;
use crate::protocol::headers;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// What a host counts for in the configuration log.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ReplicaRole {
    /// Votes.
    Voter,
    /// Lost its storage; votes again once it has caught up.
    Returning,
    /// Receives the log only.
    Learner,
    /// Does not receive the log yet.
    Outside,
}

/// An entry host as replica of the configuration log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplicaView {
    /// Entry host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// What it counts for.
    pub role: ReplicaRole,
    /// Identity of its storage in the membership of the log.
    pub incarnation: Option<Incarnation>,
    /// What the replica does, as it last reported: `joining`, `follower`, `candidate`, `leader`
    /// or `faulty`.
    pub phase: Option<String>,
    /// Why it is faulty.
    pub fault: Option<String>,
    /// Whether it keeps the log on a disk.
    pub on_disk: Option<bool>,
    /// Version that it applies, as it last reported.
    pub version: Option<ConfigVersion>,
    /// Changes by which it is behind the latest version that any host reported.
    pub behind: Option<u64>,
    /// Age of its report.
    pub reported_age_ms: Option<u64>,
    /// What the failure detection of this host believes.
    pub liveness: Option<HostState>,
}

/// A change of the members of the configuration log.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOperation {
    /// Lets the host receive the log.
    Add(HostId),
    /// Makes a learner a voter.
    Promote(HostId),
    /// Ends the membership. A running host of the settings becomes a learner again.
    Remove(HostId),
    /// Adds and promotes `new`, then removes `old`.
    Replace {
        /// Voter that goes.
        old: HostId,
        /// Host that takes its place.
        new: HostId,
    },
}

/// What became of an operation.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ReplicaOutcome {
    /// All steps are done.
    Done,
    /// Nothing was changed.
    Refused,
    /// Some steps are done; repeating the operation goes on with the others.
    Stopped,
    /// The step after those that are done may have been done as well.
    Unknown,
}

/// Body of the answer to an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReply {
    /// What became of it.
    pub outcome: ReplicaOutcome,
    /// Steps that are done, in order.
    pub done: Vec<String>,
    /// Why it was refused or stopped, and what to do.
    pub message: Option<String>,
}

/// Carries out an operation and waits for its end.
pub type ChangeReplicas = Arc<dyn Fn(&ReplicaOperation) -> ReplicaReply + Send + Sync>;

/// Access to the replicas of the configuration log.
#[derive(Clone)]
pub struct ReplicaControl {
    /// All entry hosts.
    pub list: Source<Vec<ReplicaView>>,
    /// Carries out an operation.
    pub change: ChangeReplicas,
}

fn control(admin: &Admin) -> Result<&ReplicaControl, RequestError> {
    admin.sources.replicas.as_ref().ok_or_else(|| {
        let message = "the settings name no voter, so this cell has no configuration log";
        RequestError::did_not_run(ErrorCode::NotFound, message)
    })
}

pub(super) fn list(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let replicas = (control(admin)?.list)();
    let body = json!({ "host": admin.host, "replicas": replicas });
    Ok(Response::json(200, &body))
}

/// Fields of the body of an operation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    reason: String,
    #[serde(default)]
    author: Option<String>,
    /// Host that takes the place; of `replace` only.
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
    operation: impl FnOnce(HostId, Option<HostId>) -> Result<ReplicaOperation, RequestError>,
) -> Result<Response, RequestError> {
    let body: Body = call.request.json()?;
    if body.reason.trim().is_empty() {
        return Err(bad_request("reason is required"));
    }
    let is_replacement = call.request.path.ends_with("/replace");
    if body.new.is_some() && !is_replacement {
        return Err(bad_request("new belongs to replace only"));
    }
    let author = author(call, body.author)?;
    let operation = operation(call.argument(0), body.new)?;
    let reply = (control(admin)?.change)(&operation);
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
