//! What the configuration holds at one version, and the effect of each change on it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::change::{Change, Command, ExceptionId, NewToken, Team, TokenId};
use super::scope::{DrainTarget, Scope};
use crate::ids::{ConfigVersion, MemberId};

/// Exceptions kept at once, lapsed ones included; bounds the memory of every entry host.
const MAX_EXCEPTIONS: usize = 10_000;
/// Challenges kept for one exception.
const MAX_CHALLENGES: usize = 100;

/// The configuration at one version.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationContent {
    /// Number of accepted changes.
    pub version: ConfigVersion,
    /// Defaults that differ from the built-in ones, by figure.
    pub defaults: IndexMap<String, SetDefault>,
    /// Exceptions in the order in which they were added.
    pub exceptions: IndexMap<ExceptionId, Exception>,
    /// Teams by member.
    pub teams: IndexMap<MemberId, Team>,
    /// Tokens that are not revoked.
    pub tokens: IndexMap<TokenId, Token>,
    /// Drained workers and entry hosts.
    pub drains: IndexMap<DrainTarget, Origin>,
}

/// Who made something, when and why.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Who.
    pub author: String,
    /// When.
    pub at_unix_ms: u64,
    /// Why.
    pub reason: String,
}

/// A default that an operator set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SetDefault {
    /// Value.
    pub value: u64,
    /// Who set it.
    pub origin: Origin,
}

/// A deviation from a default.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Exception {
    /// Identifier.
    pub id: ExceptionId,
    /// Name of the policy figure.
    pub figure: String,
    /// For whom it holds.
    pub scope: Scope,
    /// Value in place of the default.
    pub value: u64,
    /// Wall-clock deadline after which it no longer counts.
    pub expires_at_unix_ms: Option<u64>,
    /// Who added it.
    pub origin: Origin,
    /// Objections, oldest first.
    pub challenges: Vec<Origin>,
}

impl Exception {
    /// Tells whether it counts at that wall-clock time.
    pub fn is_in_effect(&self, now_unix_ms: u64) -> bool {
        self.expires_at_unix_ms
            .is_none_or(|expiry| now_unix_ms < expiry)
    }
}

/// A token that is accepted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// What it permits.
    pub grant: NewToken,
    /// Who added it.
    pub origin: Origin,
}

/// The changed object as JSON.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Effect {
    /// Before the change; absent when it did not exist.
    pub before: Option<String>,
    /// After the change; absent when it no longer exists.
    pub after: Option<String>,
}

impl Effect {
    fn new(before: Option<impl Serialize>, after: Option<impl Serialize>) -> Self {
        Self {
            before: before.as_ref().map(json),
            after: after.as_ref().map(json),
        }
    }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

impl ConfigurationContent {
    /// Applies a change whose expected version was checked, and grows the version.
    ///
    /// # Errors
    ///
    /// Why the change is not possible; the content may then be changed in part and must be
    /// discarded.
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
                let removed = removed.ok_or_else(|| unknown("exception", exception))?;
                Ok(Effect::new(Some(removed), None::<()>))
            }
            Change::ChallengeException { exception } => self.challenge(exception, origin),
            Change::SetTeam(team) => {
                let before = self.teams.insert(team.member.clone(), team.clone());
                Ok(Effect::new(before, Some(team)))
            }
            Change::RemoveTeam { member } => {
                let removed = self.teams.shift_remove(member);
                let removed = removed.ok_or_else(|| unknown("team", member))?;
                Ok(Effect::new(Some(removed), None::<()>))
            }
            Change::AddToken(grant) => self.add_token(grant, origin),
            Change::RevokeToken { token } => {
                let removed = self.tokens.shift_remove(token);
                let removed = removed.ok_or_else(|| unknown("token", token))?;
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
            .ok_or_else(|| unknown("exception", id))?;
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

fn unknown(kind: &str, name: &str) -> String {
    format!("no {kind} {name}; list them first")
}
