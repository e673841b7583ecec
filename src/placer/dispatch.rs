//! Runs one task on a runner by bounded HTTP exchanges.

use std::time::{Duration, Instant};

use hyper::Method;

use super::PlacerOptions;
use super::runners::RunnerSlot;
use crate::http::client::{ClientError, ClientRequest, ClientResponse};
use crate::ids::Epoch;
use crate::protocol::caller::Submission;
use crate::protocol::headers;
use crate::protocol::worker::TaskState;
use crate::verdict::{ErrorCode, RequestError};

/// Pause between attempts to reach a runner that does not answer.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Starts the task, waits for its end and returns the answer.
///
/// # Errors
///
/// [`RequestError`] whose verdict says what the runner did with the task.
pub(super) fn run_task(
    options: &PlacerOptions,
    submission: &Submission,
    slot: &RunnerSlot,
    epoch: Epoch,
) -> Result<Vec<u8>, RequestError> {
    let wait_ms = options.timing.exchange_wait_ms;
    let url = format!(
        "http://{}/v1/tasks/{}?wait_ms={wait_ms}",
        slot.address, slot.task
    );
    let remaining = submission
        .deadline
        .saturating_duration_since(options.clock.now());
    let mut create = ClientRequest::new(Method::PUT, &url, exchange_deadline(options))
        .header(headers::EPOCH, epoch.to_string())
        .header(headers::INCARNATION, slot.incarnation.to_string())
        .header(headers::LEASE_MS, options.timing.lease_ms.to_string())
        .header(headers::TIMEOUT_MS, remaining.as_millis().to_string());
    create.body = submission.payload.clone();
    let mut sent = options.client.send(create);
    loop {
        match sent {
            Ok(response) => match interpret(&response)? {
                Progress::Finished(body) => return Ok(body),
                Progress::Running => {}
            },
            Err(error) => {
                log::debug!("exchange with runner {} failed: {error}", slot.worker);
                if matches!(error, ClientError::NotSent { .. }) {
                    std::thread::sleep(RECONNECT_PAUSE);
                }
            }
        }
        if options.clock.now() >= submission.deadline {
            let message = "the deadline passed while the task may be running";
            return Err(RequestError::may_have_run(
                ErrorCode::DeadlineExceeded,
                message,
            ));
        }
        let mut query = ClientRequest::new(Method::GET, &url, exchange_deadline(options))
            .header(headers::EPOCH, epoch.to_string());
        query.fresh_connection = true;
        sent = options.client.send(query);
    }
}

fn exchange_deadline(options: &PlacerOptions) -> Instant {
    options.clock.now() + options.timing.exchange_timeout()
}

enum Progress {
    Finished(Vec<u8>),
    Running,
}

fn interpret(response: &ClientResponse) -> Result<Progress, RequestError> {
    let state = response
        .header(headers::TASK_STATE)
        .and_then(|text| text.parse().ok());
    let message = || String::from_utf8_lossy(&response.body).into_owned();
    match state {
        Some(TaskState::Running) => Ok(Progress::Running),
        Some(TaskState::Succeeded) => {
            let expected = response
                .header(headers::ANSWER_CRC32)
                .and_then(|text| text.parse().ok());
            if expected != Some(crc32fast::hash(&response.body)) {
                let message = "the answer arrived damaged";
                return Err(RequestError::ran(ErrorCode::TaskFailed, message));
            }
            Ok(Progress::Finished(response.body.clone()))
        }
        Some(TaskState::Failed) => Err(RequestError::ran(ErrorCode::TaskFailed, message())),
        Some(TaskState::Stopped) => Err(RequestError::may_have_run(
            ErrorCode::RunnerLost,
            "the runner stopped the task",
        )),
        Some(TaskState::NeverStarted) => {
            Err(RequestError::did_not_run(ErrorCode::Unavailable, message()))
        }
        None => {
            let message = format!(
                "unexpected reply from the runner, status {}",
                response.status
            );
            Err(RequestError::may_have_run(ErrorCode::Internal, message))
        }
    }
}
