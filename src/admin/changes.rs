//! Calls that change the configuration, and the replies with their outcomes.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{Admin, Call, bad_request, parse_fields, validation};
use crate::configuration::change::{
    AcceptedChange, Change, ChangeOutcome, Command, NewToken, Quota, Team,
};
use crate::configuration::log::ProposeError;
use crate::configuration::machine::Preview;
use crate::configuration::scope::{DrainTarget, Scope};
use crate::http::Response;
use crate::ids::{ChangeId, ConfigVersion};
use crate::protocol::headers;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Author of changes while authentication is off and the client names no author.
const ANONYMOUS_AUTHOR: &str = "anonymous";

/// Outcome of a change as reported to the client.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ChangeResult {
    /// The change is in the configuration.
    Accepted,
    /// The expected version is not the current one, usually because of a concurrent change.
    Conflict,
    /// The change is not possible in the current configuration.
    Rejected,
    /// The change may have been accepted; the outcome was not received.
    Unknown,
    /// The change would be accepted; the request was a dry run.
    Valid,
}

/// Body of the response to a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// Id of the change, with which the client can resend it or query its outcome.
    pub change_id: ChangeId,
    /// Outcome of the change.
    pub outcome: ChangeResult,
    /// Version that the change created or would create; in a conflict, the current version.
    pub version: Option<ConfigVersion>,
    /// Human-readable explanation.
    pub message: Option<String>,
    /// In a conflict, the change that was accepted with the same expected version.
    pub accepted: Option<AcceptedChange>,
    /// The object before the change; only in a dry run.
    pub before: Option<Value>,
    /// The object after the change; only in a dry run.
    pub after: Option<Value>,
}

/// Fields that are common to the bodies of all changes.
#[derive(Deserialize)]
struct CommonFields {
    #[serde(default)]
    change_id: Option<ChangeId>,
    #[serde(default)]
    expected_version: Option<ConfigVersion>,
    #[serde(default)]
    author: Option<String>,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    dry_run: bool,
}

const COMMON_FIELDS: [&str; 5] = [
    "change_id",
    "expected_version",
    "author",
    "reason",
    "dry_run",
];

pub(super) fn set_default(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Body {
        value: u64,
    }
    handle_change(admin, call, |body| {
        let body: Body = parse_fields(body)?;
        Ok(Change::SetDefault {
            figure: call.argument(0),
            value: body.value,
        })
    })
}

pub(super) fn add_exception(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Body {
        figure: String,
        scope: Scope,
        value: u64,
        #[serde(default)]
        expires_at_unix_ms: Option<u64>,
    }
    handle_change(admin, call, |body| {
        let body: Body = parse_fields(body)?;
        Ok(Change::AddException {
            figure: body.figure,
            scope: body.scope,
            value: body.value,
            expires_at_unix_ms: body.expires_at_unix_ms,
        })
    })
}

pub(super) fn expire_exception(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    let exception = call.argument(0);
    change_without_fields(admin, call, Change::ExpireException { exception })
}

pub(super) fn challenge_exception(
    admin: &Admin,
    call: &Call<'_>,
) -> Result<Response, RequestError> {
    let exception = call.argument(0);
    change_without_fields(admin, call, Change::ChallengeException { exception })
}

pub(super) fn set_team(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Body {
        weight: u32,
        #[serde(default)]
        quota: Quota,
    }
    handle_change(admin, call, |body| {
        let body: Body = parse_fields(body)?;
        Ok(Change::SetTeam(Team {
            member: call.argument(0),
            weight: body.weight,
            quota: body.quota,
        }))
    })
}

pub(super) fn remove_team(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    let member = call.argument(0);
    change_without_fields(admin, call, Change::RemoveTeam { member })
}

pub(super) fn add_token(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    handle_change(admin, call, |body| {
        Ok(Change::AddToken(parse_fields::<NewToken>(body)?))
    })
}

pub(super) fn revoke_token(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    let token = call.argument(0);
    change_without_fields(admin, call, Change::RevokeToken { token })
}

pub(super) fn drain(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    let target = drain_target(call)?;
    change_without_fields(admin, call, Change::Drain { target })
}

pub(super) fn undrain(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    let target = drain_target(call)?;
    change_without_fields(admin, call, Change::Undrain { target })
}

/// Reports the outcome of an earlier change.
pub(super) fn status(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    let change_id = call.argument(0);
    let Some(outcome) = admin.configuration.outcome(&change_id) else {
        let message = format!(
            "{} has applied no change {change_id} up to version {}; a change in flight may still \
             be accepted, so ask again or resend it with the same change id",
            admin.host,
            admin.configuration.read().version()
        );
        return Err(RequestError::did_not_run(ErrorCode::NotFound, message));
    };
    Ok(Response::json(200, &change_reply(change_id, outcome)))
}

fn drain_target(call: &Call<'_>) -> Result<DrainTarget, RequestError> {
    let parsed = call.argument(0).parse::<DrainTarget>();
    parsed.map_err(|error| bad_request(error.to_string()))
}

fn change_without_fields(
    admin: &Admin,
    call: &Call<'_>,
    change: Change,
) -> Result<Response, RequestError> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Body {}
    handle_change(admin, call, |body| {
        let Body {} = parse_fields(body)?;
        Ok(change)
    })
}

/// Builds a command from the body, checks the command, and proposes or previews it. `parse_change`
/// receives the fields that are specific to the kind of change.
fn handle_change(
    admin: &Admin,
    call: &Call<'_>,
    parse_change: impl FnOnce(Map<String, Value>) -> Result<Change, RequestError>,
) -> Result<Response, RequestError> {
    let mut body: Map<String, Value> = call.request.json()?;
    let mut common = Map::new();
    for name in COMMON_FIELDS {
        if let Some((name, value)) = body.remove_entry(name) {
            common.insert(name, value);
        }
    }
    let common: CommonFields = parse_fields(common)?;
    let command = Command {
        change_id: common.change_id.unwrap_or_else(new_change_id),
        expected_version: common
            .expected_version
            .unwrap_or_else(|| admin.configuration.read().version()),
        author: change_author(call, common.author)?,
        reason: common.reason,
        at_unix_ms: admin.now_unix_ms(),
        change: parse_change(body)?,
    };
    // A resent command may no longer pass the checks, for example when the expiry that it sets has
    // passed.
    let is_resend = admin.configuration.outcome(&command.change_id).is_some();
    if common.dry_run || !is_resend {
        validation::check(&command)?;
    }
    if common.dry_run {
        let preview = admin.configuration.preview(&command);
        return Ok(preview_response(command.change_id, preview));
    }
    propose(admin, &command)
}

/// Returns a random change id.
pub fn new_change_id() -> ChangeId {
    format!("change-{:032x}", rand::random::<u128>())
}

/// Returns the author to record. With authentication on, the author is the holder of the token, so
/// that nobody can write an audit entry in another author's name.
pub(super) fn change_author(
    call: &Call<'_>,
    claimed: Option<String>,
) -> Result<String, RequestError> {
    let Some(identity) = &call.identity else {
        return Ok(claimed.unwrap_or_else(|| ANONYMOUS_AUTHOR.to_owned()));
    };
    if claimed.is_some_and(|claimed| claimed != identity.name) {
        let message = format!(
            "the author is the holder of the token, {}; leave out author",
            identity.name
        );
        return Err(RequestError::did_not_run(ErrorCode::Forbidden, message));
    }
    Ok(identity.name.clone())
}

fn propose(admin: &Admin, command: &Command) -> Result<Response, RequestError> {
    let internal = |message: String| RequestError::did_not_run(ErrorCode::Internal, message);
    let bytes = postcard::to_stdvec(command)
        .map_err(|error| internal(format!("cannot encode the change: {error}")))?;
    let change_id = command.change_id.clone();
    let output = match (admin.log.propose)(bytes) {
        Ok(output) => output,
        Err(error @ ProposeError::NotAccepted(_)) => {
            let mut message = error.to_string();
            if let Some(leader) = (admin.log.leader_hint)() {
                message.push_str(&format!("; the leader is {leader}"));
            }
            let error = RequestError::did_not_run(ErrorCode::Unavailable, message);
            return Err(error.retry_after_ms(1_000));
        }
        Err(error) => return Ok(unknown_response(change_id, &error.to_string())),
    };
    // The command is in the log at this point, so an undecodable outcome does not mean that the
    // change was rejected.
    let Ok(outcome) = postcard::from_bytes::<ChangeOutcome>(&output) else {
        return Ok(unknown_response(change_id, "the outcome cannot be decoded"));
    };
    let reply = change_reply(change_id, outcome);
    log::info!(
        change_id = command.change_id.as_str(), author = command.author.as_str(),
        kind = command.change.kind(), outcome = reply.outcome.to_string().as_str();
        "configuration change"
    );
    Ok(reply_response(&reply))
}

fn preview_response(change_id: ChangeId, preview: Preview) -> Response {
    let mut reply = change_reply(change_id, preview.outcome);
    if reply.outcome == ChangeResult::Accepted {
        reply.outcome = ChangeResult::Valid;
    }
    let parse = |text: Option<String>| text.and_then(|text| serde_json::from_str(&text).ok());
    reply.before = parse(preview.effect.before);
    reply.after = parse(preview.effect.after);
    reply_response(&reply)
}

fn unknown_response(change_id: ChangeId, reason: &str) -> Response {
    let message = format!(
        "{reason}; ask for the outcome of {change_id} or resend it with the same change id"
    );
    reply_response(&ChangeReply {
        message: Some(message),
        ..empty_reply(change_id, ChangeResult::Unknown)
    })
}

fn reply_response(reply: &ChangeReply) -> Response {
    let (status, verdict) = match reply.outcome {
        ChangeResult::Accepted => (200, Verdict::Ran),
        ChangeResult::Valid => (200, Verdict::DidNotRun),
        ChangeResult::Conflict => (409, Verdict::DidNotRun),
        ChangeResult::Rejected => (422, Verdict::DidNotRun),
        ChangeResult::Unknown => (502, Verdict::MayHaveRun),
    };
    Response::json(status, reply).header(headers::VERDICT, verdict.to_string())
}

fn empty_reply(change_id: ChangeId, outcome: ChangeResult) -> ChangeReply {
    ChangeReply {
        change_id,
        outcome,
        version: None,
        message: None,
        accepted: None,
        before: None,
        after: None,
    }
}

fn change_reply(change_id: ChangeId, outcome: ChangeOutcome) -> ChangeReply {
    match outcome {
        ChangeOutcome::Accepted { version } => ChangeReply {
            version: Some(version),
            ..empty_reply(change_id, ChangeResult::Accepted)
        },
        ChangeOutcome::Conflict { version, accepted } => ChangeReply {
            version: Some(version),
            message: Some(conflict_message(version, accepted.as_deref())),
            accepted: accepted.map(|accepted| *accepted),
            ..empty_reply(change_id, ChangeResult::Conflict)
        },
        ChangeOutcome::Rejected { reason } => ChangeReply {
            message: Some(reason),
            ..empty_reply(change_id, ChangeResult::Rejected)
        },
    }
}

fn conflict_message(version: ConfigVersion, accepted: Option<&AcceptedChange>) -> String {
    let Some(accepted) = accepted else {
        return format!("the configuration has version {version}; read it and try again");
    };
    format!(
        "{} changed {} first and made version {} ({}); look at that change and try again",
        accepted.author,
        accepted.change.subject(),
        accepted.version,
        accepted.reason
    )
}
