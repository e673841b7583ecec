//! Authentication by bearer tokens.

use subtle::ConstantTimeEq;

use super::change::Role;
use super::digest::Sha256Digest;
use super::snapshot::ConfigurationSnapshot;
use crate::ids::MemberId;
use crate::verdict::{ErrorCode, RequestError};

/// Name of the operator whose token hash is in the settings.
pub const SETTINGS_OPERATOR: &str = "settings-operator";

/// Who holds a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Name of the token; the author of changes.
    pub name: String,
    /// What the holder may do.
    pub role: Role,
    /// Member on whose behalf the holder acts.
    pub member: Option<MemberId>,
}

impl Identity {
    /// Tells whether the role covers the needed one; an operator may also read.
    pub fn may(&self, needed: Role) -> bool {
        self.role == needed || (needed == Role::Read && self.role == Role::Operate)
    }
}

/// Value of an `Authorization` header as a bearer token.
pub fn bearer_token(header: Option<&str>) -> Option<&str> {
    let (scheme, token) = header?.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| token.trim())
        .filter(|token| !token.is_empty())
}

/// Finds the holder of a token.
///
/// # Errors
///
/// `Unauthenticated` with verdict `did_not_run` when the token is absent, unknown or revoked.
pub fn authenticate(
    snapshot: &ConfigurationSnapshot,
    token: Option<&str>,
) -> Result<Identity, RequestError> {
    let refused =
        |message: &str| RequestError::did_not_run(ErrorCode::Unauthenticated, message.to_owned());
    let token = token.ok_or_else(|| {
        refused("a token is required; send it in the header `authorization: Bearer TOKEN`")
    })?;
    let digest = Sha256Digest::of(token.as_bytes());
    let equal = |known: &Sha256Digest| bool::from(known.0.ct_eq(&digest.0));
    let mut identity = None;
    // The loop does not stop at a match, so that the time tells nothing about its position.
    for known in snapshot.tokens_like(&digest) {
        if equal(&known.grant.sha256) {
            identity = Some(Identity {
                name: known.grant.token.clone(),
                role: known.grant.role,
                member: known.grant.member.clone(),
            });
        }
    }
    if snapshot.operator_token().is_some_and(equal) {
        identity = Some(Identity {
            name: SETTINGS_OPERATOR.to_owned(),
            role: Role::Operate,
            member: None,
        });
    }
    identity.ok_or_else(|| refused("the token is unknown or revoked"))
}

/// Finds the holder of the token in an `Authorization` header and checks the role.
///
/// # Errors
///
/// `Unauthenticated` as [`authenticate`], `Forbidden` when the role does not permit the call.
pub fn require_role(
    snapshot: &ConfigurationSnapshot,
    header: Option<&str>,
    needed: Role,
) -> Result<Identity, RequestError> {
    let identity = authenticate(snapshot, bearer_token(header))?;
    if identity.may(needed) {
        return Ok(identity);
    }
    let message = format!(
        "token {} has the role {}; the call needs {needed}",
        identity.name, identity.role
    );
    Err(RequestError::did_not_run(ErrorCode::Forbidden, message))
}
