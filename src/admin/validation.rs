//! Validation of commands, as far as it does not depend on the current configuration.

use super::bad_request;
use crate::configuration::change::{
    Change, Command, MAX_NAME_BYTES, MAX_REASON_BYTES, MAX_WEIGHT, NewToken, Role, Team,
};
use crate::configuration::policy;
use crate::verdict::RequestError;

/// Checks a command before it is proposed.
///
/// # Errors
///
/// Returns `BadRequest` with the cause and the remedy.
pub fn check(command: &Command) -> Result<(), RequestError> {
    check_text(command)
        .and_then(|()| check_change(&command.change, command.at_unix_ms))
        .map_err(bad_request)
}

fn check_text(command: &Command) -> Result<(), String> {
    check_name("change_id", &command.change_id)?;
    check_name("author", &command.author)?;
    if command.reason.trim().is_empty() {
        return Err("reason is required; state why the change is made".to_owned());
    }
    if command.reason.len() > MAX_REASON_BYTES {
        return Err(format!("reason exceeds {MAX_REASON_BYTES} bytes"));
    }
    Ok(())
}

fn check_change(change: &Change, now_unix_ms: u64) -> Result<(), String> {
    match change {
        Change::SetDefault { figure, value } => policy::figure(figure)?.check(*value),
        Change::AddException {
            figure,
            scope,
            value,
            expires_at_unix_ms,
        } => {
            let figure = policy::figure(figure)?;
            figure.check(*value)?;
            figure.check_scope(scope.kind())?;
            check_name("scope", &scope.to_string())?;
            if expires_at_unix_ms.is_some_and(|expiry| expiry <= now_unix_ms) {
                return Err("expires_at_unix_ms is in the past".to_owned());
            }
            Ok(())
        }
        Change::ExpireException { exception } | Change::ChallengeException { exception } => {
            check_name("exception", exception)
        }
        Change::SetTeam(team) => check_team(team),
        Change::RemoveTeam { member } => check_name("member", member),
        Change::AddToken(token) => check_token(token),
        Change::RevokeToken { token } => check_name("token", token),
        Change::Drain { target } | Change::Undrain { target } => {
            check_name("target", &target.to_string())
        }
    }
}

fn check_team(team: &Team) -> Result<(), String> {
    check_member(&team.member)?;
    if !(1..=MAX_WEIGHT).contains(&team.weight) {
        return Err(format!("weight must be from 1 to {MAX_WEIGHT}"));
    }
    Ok(())
}

fn check_token(token: &NewToken) -> Result<(), String> {
    check_name("token", &token.token)?;
    match (&token.member, token.role) {
        (Some(member), _) => check_member(member),
        (None, Role::Submit) => Err("member is required for the role submit".to_owned()),
        (None, _) => Ok(()),
    }
}

/// Checks the name of a member. A slash is not allowed, since it separates member and caller in the
/// text of a scope.
fn check_member(member: &str) -> Result<(), String> {
    if member.contains('/') {
        return Err("member must not contain a slash".to_owned());
    }
    check_name("member", member)
}

fn check_name(field: &str, name: &str) -> Result<(), String> {
    if name.trim().is_empty() {
        return Err(format!("{field} is empty"));
    }
    if name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        return Err(format!(
            "{field} must have at most {MAX_NAME_BYTES} bytes and no control characters"
        ));
    }
    Ok(())
}
