//! HTTP handlers that submit, query and cancel jobs.

use super::access;
use super::api::Gateway;
use crate::configuration::change::Role;
use crate::http::{Request, Response};
use crate::placer::key;
use crate::protocol::headers;
use crate::protocol::job::{JobCall, JobSubmission, JobView};
use crate::scheduling::job::JobSpec;
use crate::verdict::{ErrorCode, RequestError};

/// Accepts a job. The response is sent once the job is committed.
pub(super) fn submit(gateway: &Gateway, request: &Request) -> Response {
    let accepted = gateway
        .accepts_work()
        .and_then(|()| spec(gateway, request))
        .and_then(|spec| gateway.router.job(JobCall::Submit(Box::new(spec))));
    respond(202, accepted)
}

/// Returns the state of a job.
pub(super) fn query(gateway: &Gateway, request: &Request, id: &str) -> Response {
    let found = access::require(gateway, request, Role::Submit)
        .and_then(|_| gateway.router.job(JobCall::Query(id.to_owned())));
    respond(200, found)
}

/// Cancels a job. Its running tasks are stopped after the response.
pub(super) fn cancel(gateway: &Gateway, request: &Request, id: &str) -> Response {
    let cancelled = access::require(gateway, request, Role::Submit)
        .and_then(|_| gateway.router.job(JobCall::Cancel(id.to_owned())));
    respond(200, cancelled)
}

fn respond(status: u16, outcome: Result<JobView, RequestError>) -> Response {
    match outcome {
        Ok(view) => Response::json(status, &view),
        Err(error) => Response::error(&error, ""),
    }
}

fn spec(gateway: &Gateway, request: &Request) -> Result<JobSpec, RequestError> {
    let member = access::member(gateway, request)?;
    let submission: JobSubmission = request.json()?;
    let id = match submission.id {
        Some(id) => {
            check_id(&id, &gateway.router.data_centres)?;
            id
        }
        None => gateway.generated_key(),
    };
    if submission.tasks == 0 {
        return Err(bad("tasks must be at least 1"));
    }
    Ok(JobSpec {
        id,
        workload: submission
            .workload
            .unwrap_or_else(|| submission.kind.clone()),
        kind: submission.kind,
        member,
        caller: request
            .header(headers::CALLER)
            .unwrap_or_default()
            .to_owned(),
        tasks: submission.tasks,
        resources: submission.resources,
        expected_run_ms: submission.expected_run_ms,
        urgency: submission.urgency,
        at_most_once: submission.at_most_once,
        preference: submission.preference,
        payload: submission.payload.into_bytes(),
    })
}

/// Checks the characters and the form of a job id. The id becomes a part of task ids and thus of
/// URL paths.
fn check_id(id: &str, data_centres: &[String]) -> Result<(), RequestError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if id.len() > key::MAX_KEY_BYTES || !id.chars().all(allowed) {
        return Err(bad(
            "id must have up to 200 letters, digits, '.', '_' and '-'",
        ));
    }
    if key::StructuredKey::parse(id, data_centres).is_none() {
        let names = data_centres.join(", ");
        return Err(bad(&format!(
            "id must have the form <data centre>.<Unix seconds>.<text> with one of {names}"
        )));
    }
    Ok(())
}

fn bad(message: &str) -> RequestError {
    RequestError::did_not_run(ErrorCode::BadRequest, message)
}
