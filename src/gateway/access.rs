//! Authentication of callers, runners and workers.

use super::api::Gateway;
use crate::configuration::change::Role;
use crate::configuration::identity::{Identity, require_role};
use crate::http::Request;
use crate::ids::MemberId;
use crate::protocol::headers;
use crate::verdict::{ErrorCode, RequestError};

/// Member of a request that names none while authentication is off.
const ANONYMOUS_MEMBER: &str = "anonymous";

/// Checks that the token of the request grants the role. Returns the identity of the token, or
/// `None` while authentication is off.
///
/// # Errors
///
/// `Unauthenticated` or `Forbidden`, with verdict `did_not_run`.
pub fn require(
    gateway: &Gateway,
    request: &Request,
    role: Role,
) -> Result<Option<Identity>, RequestError> {
    if !gateway.authentication {
        return Ok(None);
    }
    let header = request.header(headers::AUTHORIZATION);
    require_role(&gateway.configuration.read(), header, role).map(Some)
}

/// Returns the member on whose behalf a request is submitted. With authentication on, the token
/// determines the member.
///
/// # Errors
///
/// As [`require`], and `Forbidden` when the request names another member.
pub fn member(gateway: &Gateway, request: &Request) -> Result<MemberId, RequestError> {
    let named = request.header(headers::MEMBER);
    let Some(identity) = require(gateway, request, Role::Submit)? else {
        return Ok(named.unwrap_or(ANONYMOUS_MEMBER).to_owned());
    };
    let forbidden = |message| RequestError::did_not_run(ErrorCode::Forbidden, message);
    let member = identity
        .member
        .ok_or_else(|| forbidden(format!("token {} has no member", identity.name)))?;
    match named {
        Some(named) if named != member => Err(forbidden(format!(
            "token {} submits for {member}, not for {named}",
            identity.name
        ))),
        _ => Ok(member),
    }
}
