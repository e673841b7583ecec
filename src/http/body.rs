//! Receives the body of a request within the limit of its listener and the budget of the process.

use std::time::Instant;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::body_budget::{Refusal, Reservation};
use super::message::Response;
use crate::verdict::{ErrorCode, RequestError};

/// First memory of a body that is longer or of unknown length. It then doubles, so that a body holds
/// at most twice what has arrived.
const FIRST_BODY_BYTES: usize = 4 * 1024;
/// Time that a client is asked to wait after its body found no room.
const NO_ROOM_RETRY_MS: u64 = 1_000;

/// Reason for which a request has no complete body.
pub(super) enum BodyError {
    /// The request is refused and did not run.
    Refused(Refusal),
    /// The connection ended or the body is malformed.
    Unreadable(hyper::Error),
}

/// Receives a body into one buffer, with memory reserved before the buffer grows. A body over the
/// limit is refused from its announced length, or else at the limit, and not read further.
/// `open` starts the reservation of a request that has a body. `set_deadline` is told after each
/// chunk when the body counts as too slow.
pub(super) async fn receive_body(
    mut body: Incoming,
    limit: usize,
    open: impl FnOnce() -> Reservation,
    set_deadline: impl Fn(Instant),
) -> Result<(Vec<u8>, Option<Reservation>), BodyError> {
    if body.is_end_stream() {
        return Ok((Vec::new(), None));
    }
    let announced = body.size_hint().exact();
    if announced.is_some_and(|announced| announced > limit as u64) {
        return Err(BodyError::Refused(Refusal::TooLarge));
    }
    let most = announced.map_or(limit, |announced| announced as usize);
    let mut buffer = Vec::new();
    let mut reservation = open();
    set_deadline(reservation.progress(0));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Unreadable)?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        let length = buffer.len() + chunk.len();
        if length > limit {
            return Err(BodyError::Refused(Refusal::TooLarge));
        }
        if length > buffer.capacity() {
            let doubled = (buffer.capacity() * 2).max(FIRST_BODY_BYTES);
            let capacity = doubled.min(most).max(length);
            let reserved = reservation.grow_to(capacity);
            reserved.map_err(BodyError::Refused)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&chunk);
        set_deadline(reservation.progress(buffer.len()));
    }
    reservation.complete().map_err(BodyError::Refused)?;
    Ok((buffer, Some(reservation)))
}

/// Returns the response to a request whose body was not received, and which therefore did not run.
pub(super) fn refuse_body(refusal: Refusal, limit: usize) -> Response {
    if refusal == Refusal::TooLarge {
        let message = format!("the body exceeds {limit} bytes");
        let error = RequestError::did_not_run(ErrorCode::TooLarge, message);
        return Response::error(&error, "").header("connection", "close");
    }
    let message = "no memory for the body of the request";
    let error = RequestError::did_not_run(ErrorCode::Overloaded, message);
    let mut response = Response::error(&error.retry_after_ms(NO_ROOM_RETRY_MS), "");
    response.status = 503;
    response.header("connection", "close")
}
