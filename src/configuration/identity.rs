//! Authentication by bearer tokens.

use subtle::ConstantTimeEq;

use super::change::Role;
use super::digest::Sha256Digest;
use super::snapshot::ConfigurationSnapshot;
use crate::ids::MemberId;
use crate::verdict::{ErrorCode, RequestError};

/// Author of changes made with the operator token whose digest is in the settings.
pub const SETTINGS_OPERATOR: &str = "settings-operator";

/// Holder of a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Name of the token; recorded as the author of changes.
    pub name: String,
    /// Permissions of the holder.
    pub role: Role,
    /// Member on whose behalf the holder acts; `None` when the token is bound to no member.
    pub member: Option<MemberId>,
}

impl Identity {
    /// Returns whether the role includes the required role; an operator may also read.
    pub fn has_role(&self, required: Role) -> bool {
        self.role == required || (required == Role::Read && self.role == Role::Operate)
    }
}

/// Extracts the bearer token from the value of an `Authorization` header.
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
/// Returns `Unauthenticated` with verdict `did_not_run` when the token is absent, unknown or revoked.
pub fn authenticate(
    snapshot: &ConfigurationSnapshot,
    token: Option<&str>,
) -> Result<Identity, RequestError> {
    let unauthenticated =
        |message: &str| RequestError::did_not_run(ErrorCode::Unauthenticated, message.to_owned());
    let token = token.ok_or_else(|| {
        unauthenticated("a token is required; send it in the header `authorization: Bearer TOKEN`")
    })?;
    let digest = Sha256Digest::of(token.as_bytes());
    let equal = |known: &Sha256Digest| bool::from(known.0.ct_eq(&digest.0));
    let mut identity = None;
    // The loop does not stop at a match, so that the duration does not reveal the position of the
    // matching token.
    for known in snapshot.tokens_with_prefix_of(&digest) {
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
    identity.ok_or_else(|| unauthenticated("the token is unknown or revoked"))
}

/// Whether the token in an `Authorization` header is the operator token of the settings, which does
/// not depend on the received configuration.
pub fn holds_settings_token(snapshot: &ConfigurationSnapshot, header: Option<&str>) -> bool {
    let digest = bearer_token(header).map(|token| Sha256Digest::of(token.as_bytes()));
    let known = snapshot.operator_token();
    known
        .zip(digest)
        .is_some_and(|(known, digest)| known.0.ct_eq(&digest.0).into())
}

/// Finds the holder of the token in an `Authorization` header and checks the role.
///
/// # Errors
///
/// Returns the errors of [`authenticate`], and `Forbidden` when the role does not permit the call.
pub fn require_role(
    snapshot: &ConfigurationSnapshot,
    header: Option<&str>,
    required: Role,
) -> Result<Identity, RequestError> {
    let identity = authenticate(snapshot, bearer_token(header))?;
    if identity.has_role(required) {
        return Ok(identity);
    }
    let message = format!(
        "token {} has the role {}; the call needs {required}",
        identity.name, identity.role
    );
    Err(RequestError::did_not_run(ErrorCode::Forbidden, message))
}
