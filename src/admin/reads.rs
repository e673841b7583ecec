//! Read-only calls: health, metrics, configuration, audit trail, and the state of the cell.

use serde_json::{Value, json};

use super::{Admin, Call, bad_request};
use crate::configuration::audit::AuditEntry;
use crate::configuration::change::CHANGE_KINDS;
use crate::configuration::policy;
use crate::configuration::scope::{Scope, Subject};
use crate::http::Response;
use crate::telemetry::metrics;
use crate::verdict::{ErrorCode, RequestError};

/// Number of audit entries in a response when the request sets no limit.
const DEFAULT_AUDIT_LIMIT: usize = 1_000;
/// Maximum number of audit entries in a response; keeps the response below the client's body limit.
const MAX_AUDIT_LIMIT: usize = 5_000;

pub(super) fn live(_admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    Ok(Response::text(200, "live\n"))
}

pub(super) fn ready(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    if (admin.sources.ready)() {
        return Ok(Response::text(200, "ready\n"));
    }
    Ok(Response::text(503, "draining\n"))
}

pub(super) fn metrics(_admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    Ok(Response::text(200, metrics::metrics().render()))
}

pub(super) fn defaults(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let snapshot = admin.configuration.read();
    let mut list = Vec::new();
    for figure in policy::figures().values() {
        let configured = snapshot.content().defaults.get(figure.name);
        list.push(json!({
            "figure": figure.name,
            "unit": figure.unit,
            "value": snapshot.default(figure),
            "built_in": figure.default,
            "min": figure.min,
            "max": figure.max,
            "scopes": figure.scopes,
            "description": figure.description,
            "set_by": configured.map(|default| &default.origin),
        }));
    }
    Ok(versioned(snapshot.version(), "defaults", json!(list)))
}

pub(super) fn exceptions(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    let figure: Option<String> = call.query("figure")?;
    let scope: Option<Scope> = call.query("scope")?;
    let state: Option<String> = call.query("state")?;
    let states = ["in_effect", "lapsed"];
    if state
        .as_ref()
        .is_some_and(|state| !states.contains(&state.as_str()))
    {
        return Err(bad_request("state must be in_effect or lapsed"));
    }
    let now = admin.now_unix_ms();
    let snapshot = admin.configuration.read();
    let mut list = Vec::new();
    for exception in snapshot.content().exceptions.values() {
        let current_state = if exception.is_in_effect(now) {
            states[0]
        } else {
            states[1]
        };
        if figure
            .as_ref()
            .is_some_and(|figure| *figure != exception.figure)
            || scope
                .as_ref()
                .is_some_and(|scope| *scope != exception.scope)
            || state.as_ref().is_some_and(|state| state != current_state)
        {
            continue;
        }
        let mut item = json!(exception);
        item["state"] = json!(current_state);
        list.push(item);
    }
    Ok(versioned(snapshot.version(), "exceptions", json!(list)))
}

pub(super) fn explain(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    let name: String = call
        .query("figure")?
        .ok_or_else(|| bad_request("query parameter figure is required"))?;
    let figure = policy::figure(&name)
        .map_err(|message| RequestError::did_not_run(ErrorCode::NotFound, message))?;
    let parameter = |name| call.request.query.get(name).map(String::as_str);
    let subject = Subject {
        member: parameter("member"),
        caller: parameter("caller"),
        service: parameter("service"),
        worker: parameter("worker"),
    };
    if subject.caller.is_some() && subject.member.is_none() {
        return Err(bad_request("a caller needs its member as well"));
    }
    let snapshot = admin.configuration.read();
    Ok(Response::json(
        200,
        &snapshot.explain(figure, &subject, admin.now_unix_ms()),
    ))
}

pub(super) fn teams(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let snapshot = admin.configuration.read();
    let teams: Vec<_> = snapshot.content().teams.values().collect();
    Ok(versioned(snapshot.version(), "teams", json!(teams)))
}

pub(super) fn tokens(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let snapshot = admin.configuration.read();
    let mut list = Vec::new();
    for token in snapshot.content().tokens.values() {
        list.push(json!({
            "token": token.grant.token,
            "role": token.grant.role,
            "member": token.grant.member,
            "origin": token.origin,
        }));
    }
    Ok(versioned(snapshot.version(), "tokens", json!(list)))
}

pub(super) fn drains(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let snapshot = admin.configuration.read();
    let mut list = Vec::new();
    for (target, origin) in &snapshot.content().drains {
        list.push(json!({ "target": target, "origin": origin }));
    }
    Ok(versioned(snapshot.version(), "drains", json!(list)))
}

pub(super) fn audit(admin: &Admin, call: &Call<'_>) -> Result<Response, RequestError> {
    let author: Option<String> = call.query("author")?;
    let kind: Option<String> = call.query("kind")?;
    if kind
        .as_ref()
        .is_some_and(|kind| !CHANGE_KINDS.contains(&kind.as_str()))
    {
        let kinds = CHANGE_KINDS.join(", ");
        return Err(bad_request(format!("kind must be one of {kinds}")));
    }
    let since: u64 = call.query("since_unix_ms")?.unwrap_or(0);
    let until: u64 = call.query("until_unix_ms")?.unwrap_or(u64::MAX);
    let limit = call.query("limit")?.unwrap_or(DEFAULT_AUDIT_LIMIT);
    if !(1..=MAX_AUDIT_LIMIT).contains(&limit) {
        return Err(bad_request(format!(
            "limit must be from 1 to {MAX_AUDIT_LIMIT}"
        )));
    }
    let entries = admin.configuration.audit(limit, |entry| {
        author.as_ref().is_none_or(|author| *author == entry.author)
            && kind.as_ref().is_none_or(|kind| kind == entry.change.kind())
            && (since..=until).contains(&entry.at_unix_ms)
    });
    let entries: Vec<Value> = entries.iter().map(audit_item).collect();
    Ok(Response::json(200, &json!({ "entries": entries })))
}

fn audit_item(entry: &AuditEntry) -> Value {
    let parse =
        |text: &Option<String>| -> Option<Value> { serde_json::from_str(text.as_deref()?).ok() };
    json!({
        "version": entry.version,
        "change_id": entry.change_id,
        "author": entry.author,
        "at_unix_ms": entry.at_unix_ms,
        "reason": entry.reason,
        "kind": entry.change.kind(),
        "subject": entry.change.subject(),
        "before": parse(&entry.before),
        "after": parse(&entry.after),
        "predecessor": entry.predecessor,
        "sha256": entry.digest(),
    })
}

pub(super) fn verify_audit(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    match admin.configuration.verify_audit() {
        Ok(entries) => Ok(Response::json(
            200,
            &json!({ "intact": true, "entries": entries }),
        )),
        Err(fault) => {
            let fault = fault.to_string();
            Ok(Response::json(
                200,
                &json!({ "intact": false, "fault": fault }),
            ))
        }
    }
}

pub(super) fn status(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let snapshot = admin.configuration.read();
    let version = snapshot.version();
    let mut hosts = Vec::new();
    for applied in (admin.sources.applied_versions)() {
        let mut item = json!(applied);
        item["behind"] = json!(version.saturating_sub(applied.version));
        hosts.push(item);
    }
    let body = json!({
        "host": admin.host,
        "version": version,
        "log": (admin.log.status)(),
        "applied": hosts,
    });
    Ok(Response::json(200, &body))
}

pub(super) fn hosts(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let snapshot = admin.configuration.read();
    let mut list = Vec::new();
    for host in (admin.sources.hosts)() {
        let mut item = json!(host);
        item["drained"] = json!(snapshot.is_host_drained(&host.host));
        list.push(item);
    }
    Ok(Response::json(200, &json!({ "hosts": list })))
}

pub(super) fn fleet(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let snapshot = admin.configuration.read();
    let mut list = Vec::new();
    for announcement in (admin.sources.fleet)() {
        list.push(json!({
            "worker": announcement.worker,
            "data_centre": announcement.data_centre,
            "rack": announcement.rack,
            "address": announcement.address,
            "incarnation": announcement.incarnation,
            "phase": announcement.phase,
            "resources": announcement.resources,
            "runner": announcement.runner,
            "tasks": announcement.tasks.len(),
            "drained": snapshot.is_worker_drained(&announcement.worker),
        }));
    }
    Ok(Response::json(200, &json!({ "workers": list })))
}

pub(super) fn queue(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let queues = (admin.sources.queues)();
    Ok(Response::json(200, &json!({ "queues": queues })))
}

pub(super) fn members(admin: &Admin, _call: &Call<'_>) -> Result<Response, RequestError> {
    let snapshot = admin.configuration.read();
    let teams = &snapshot.content().teams;
    let mut list = Vec::new();
    let work = (admin.sources.members)();
    for work in &work {
        let mut item = json!(work);
        item["team"] = json!(teams.get(&work.member));
        list.push(item);
    }
    for (member, team) in teams {
        if !work.iter().any(|work| work.member == *member) {
            list.push(json!({ "member": member, "team": team }));
        }
    }
    Ok(Response::json(200, &json!({ "members": list })))
}

/// Builds a response from a list and the configuration version of the list. A change that depends
/// on the list sends this version as its expected version.
fn versioned(version: u64, name: &str, list: Value) -> Response {
    let mut body = serde_json::Map::new();
    body.insert("version".to_owned(), json!(version));
    body.insert(name.to_owned(), list);
    Response::json(200, &body)
}
