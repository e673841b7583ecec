//! Content of the configuration at one version, and the effect of each change on the content.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::change::{Change, Command, ExceptionId, NewToken, Team, TokenId};
use super::scope::{DrainTarget, Scope};
use crate::ids::{ConfigVersion, MemberId};

/// Maximum number of exceptions, lapsed ones included; bounds the memory of every entry host.
const MAX_EXCEPTIONS: usize = 10_000;
/// Maximum number of challenges of one exception.
const MAX_CHALLENGES: usize = 100;

/// The configuration at one version.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationContent {
    /// Number of accepted changes.
    pub version: ConfigVersion,
    /// Defaults that operators set in place of the built-in ones, by figure.
    pub defaults: IndexMap<String, SetDefault>,
    /// Exceptions in the order in which they were added.
    pub exceptions: IndexMap<ExceptionId, Exception>,
    /// Teams by member.
    pub teams: IndexMap<MemberId, Team>,
    /// Tokens that are not revoked, by name.
    pub tokens: IndexMap<TokenId, Token>,
    /// Drained workers and entry hosts, with the changes that drained them.
    pub drains: IndexMap<DrainTarget, Origin>,
}

/// Author, time and reason of a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the operator who made the change.
    pub author: String,
    /// Wall-clock time at which the change was proposed.
    pub at_unix_ms: u64,
    /// The author's reason.
    pub reason: String,
}

/// A default that an operator set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SetDefault {
    /// Default in the unit of the figure.
    pub value: u64,
    /// Change that set the default.
    pub origin: Origin,
}

/// A deviation from a default.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Exception {
    /// Identifier, derived from the version of the change that added the exception.
    pub id: ExceptionId,
    /// Name of the policy figure.
    pub figure: String,
    /// Requests or worker to which the exception applies.
    pub scope: Scope,
    /// Value in place of the default, in the unit of the figure.
    pub value: u64,
    /// Wall-clock time from which the exception has no effect; `None` if it does not expire.
    pub expires_at_unix_ms: Option<u64>,
    /// Change that added the exception.
    pub origin: Origin,
    /// Objections, oldest first.
    pub challenges: Vec<Origin>,
}

impl Exception {
    /// Returns whether the exception is in effect at the given wall-clock time.
    pub fn is_in_effect(&self, now_unix_ms: u64) -> bool {
        self.expires_at_unix_ms
            .is_none_or(|expiry| now_unix_ms < expiry)
    }
}

/// A valid token.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Name, digest and permissions of the token.
    pub grant: NewToken,
    /// Change that added the token.
    pub origin: Origin,
}

/// The changed object before and after a change, as JSON.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Effect {
    /// The object before the change; absent when it did not exist.
    pub before: Option<String>,
    /// The object after the change; absent when it no longer exists.
    pub after: Option<String>,
}

impl Effect {
    fn new(before: Option<impl Serialize>, after: Option<impl Serialize>) -> Self {
        Self {
            before: before.as_ref().map(to_json),
            after: after.as_ref().map(to_json),
        }
    }
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

impl ConfigurationContent {
    /// Applies a change whose expected version the caller has checked, and increments the version.
    ///
    /// # Errors
    ///
    /// Returns the cause when the change is not possible. The content may then be partly changed
    /// and must be discarded.
    pub(super) fn apply(&mut self, command: &Command) -> Result<Effect, String> {
        if command.reason.trim().is_empty() {
            return Err("the reason is empty; state why the change is made".to_owned());
        }
        if command.author.trim().is_empty() {
            return Err("the author is empty".to_owned());
        }
        self.version += 1;
        let origin = Origin {
            author: command.author.clone(),
            at_unix_ms: command.at_unix_ms,
            reason: command.reason.clone(),
        };
        match &command.change {
            Change::SetDefault { figure, value } => {
                let value = *value;
                let after = SetDefault { value, origin };
                let before = self.defaults.insert(figure.clone(), after.clone());
                Ok(Effect::new(before, Some(after)))
            }
            Change::AddException { .. } => self.add_exception(&command.change, origin),
            Change::ExpireException { exception } => {
                let removed = self.exceptions.shift_remove(exception);
                let removed = removed.ok_or_else(|| not_found("exception", exception))?;
                Ok(Effect::new(Some(removed), None::<()>))
            }
            Change::ChallengeException { exception } => self.challenge(exception, origin),
            Change::SetTeam(team) => {
                let before = self.teams.insert(team.member.clone(), team.clone());
                Ok(Effect::new(before, Some(team)))
            }
            Change::RemoveTeam { member } => {
                let removed = self.teams.shift_remove(member);
                let removed = removed.ok_or_else(|| not_found("team", member))?;
                Ok(Effect::new(Some(removed), None::<()>))
            }
            Change::AddToken(grant) => self.add_token(grant, origin),
            Change::RevokeToken { token } => {
                let removed = self.tokens.shift_remove(token);
                let removed = removed.ok_or_else(|| not_found("token", token))?;
                Ok(Effect::new(Some(removed), None::<()>))
            }
            Change::Drain { target } => {
                if self.drains.contains_key(target) {
                    return Err(format!("{target} is already drained"));
                }
                self.drains.insert(target.clone(), origin.clone());
                Ok(Effect::new(None::<()>, Some(origin)))
            }
            Change::Undrain { target } => {
                let removed = self.drains.shift_remove(target);
                let removed = removed.ok_or_else(|| format!("{target} is not drained"))?;
                Ok(Effect::new(Some(removed), None::<()>))
            }
        }
    }

    fn add_exception(&mut self, change: &Change, origin: Origin) -> Result<Effect, String> {
        let Change::AddException {
            figure,
            scope,
            value,
            expires_at_unix_ms,
        } = change
        else {
            return Err("not an exception".to_owned());
        };
        if self.exceptions.len() >= MAX_EXCEPTIONS {
            return Err(format!(
                "{MAX_EXCEPTIONS} exceptions exist; expire those that have lapsed first"
            ));
        }
        let exception = Exception {
            id: format!("exception-{}", self.version),
            figure: figure.clone(),
            scope: scope.clone(),
            value: *value,
            expires_at_unix_ms: *expires_at_unix_ms,
            origin,
            challenges: Vec::new(),
        };
        let effect = Effect::new(None::<()>, Some(&exception));
        self.exceptions.insert(exception.id.clone(), exception);
        Ok(effect)
    }

    fn challenge(&mut self, id: &str, origin: Origin) -> Result<Effect, String> {
        let exception = self
            .exceptions
            .get_mut(id)
            .ok_or_else(|| not_found("exception", id))?;
        if exception.challenges.len() >= MAX_CHALLENGES {
            return Err(format!("{id} has {MAX_CHALLENGES} challenges already"));
        }
        let before = exception.clone();
        exception.challenges.push(origin);
        Ok(Effect::new(Some(&before), Some(&*exception)))
    }

    fn add_token(&mut self, grant: &NewToken, origin: Origin) -> Result<Effect, String> {
        if self.tokens.contains_key(&grant.token) {
            return Err(format!(
                "token {} exists; revoke it first or choose another name",
                grant.token
            ));
        }
        let token = Token {
            grant: grant.clone(),
            origin,
        };
        let effect = Effect::new(None::<()>, Some(&token));
        self.tokens.insert(grant.token.clone(), token);
        Ok(effect)
    }
}

fn not_found(kind: &str, name: &str) -> String {
    format!("no {kind} {name}; list them first")
}
