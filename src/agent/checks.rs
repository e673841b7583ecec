//! Checks of the headers of calls to a stand-in runner.

use crate::http::Request;
use crate::ids::{Epoch, Incarnation};
use crate::protocol::headers;
use crate::resources::Resources;
use crate::verdict::{ErrorCode, RequestError};

/// Parses the allocation from the header of a task of a job; `None` for a task of a request.
pub(super) fn task_resources(request: &Request) -> Result<Option<Resources>, RequestError> {
    let Some(text) = request.header(headers::RESOURCES) else {
        return Ok(None);
    };
    serde_json::from_str(text).map(Some).map_err(|error| {
        let message = format!("header jujubewinch-resources is not valid: {error}");
        RequestError::did_not_run(ErrorCode::BadRequest, message)
    })
}

/// Refuses calls of a former placer, and records the epoch of a later one.
pub(super) fn check_epoch(
    highest_epoch: &mut Epoch,
    request: &Request,
) -> Result<(), RequestError> {
    let epoch = request
        .parse_header::<Epoch>(headers::EPOCH)?
        .ok_or_else(|| {
            RequestError::did_not_run(
                ErrorCode::BadRequest,
                "header jujubewinch-epoch is required",
            )
        })?;
    if epoch < *highest_epoch {
        let message = format!("epoch {epoch} is stale; {highest_epoch} was seen");
        return Err(RequestError::did_not_run(ErrorCode::Unavailable, message));
    }
    *highest_epoch = epoch;
    Ok(())
}

/// Refuses calls for another incarnation, whose tasks this one does not know.
pub(super) fn check_incarnation(own: Incarnation, request: &Request) -> Result<(), RequestError> {
    let incarnation = request.parse_header::<Incarnation>(headers::INCARNATION)?;
    if incarnation.is_none_or(|incarnation| incarnation == own) {
        return Ok(());
    }
    let message = "the call is for another incarnation of this runner";
    Err(RequestError::did_not_run(ErrorCode::Unavailable, message))
}
