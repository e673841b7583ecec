//! Commands of the configuration log and their outcomes.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::digest::Sha256Digest;
use super::scope::{DrainTarget, Scope};
use crate::ids::{ChangeId, ConfigVersion, MemberId};

/// Identifier of an exception, `exception-<version that added it>`.
pub type ExceptionId = String;
/// Name of a token, chosen by the operator; it appears in the audit trail.
pub type TokenId = String;

/// Longest name of a member, token, figure or author.
pub const MAX_NAME_BYTES: usize = 200;
/// Longest reason.
pub const MAX_REASON_BYTES: usize = 2_000;
/// Largest weight of a team.
pub const MAX_WEIGHT: u32 = 10_000;

/// Names of all kinds of changes, see [`Change::kind`].
pub const CHANGE_KINDS: [&str; 10] = [
    "set_default",
    "add_exception",
    "expire_exception",
    "challenge_exception",
    "set_team",
    "remove_team",
    "add_token",
    "revoke_token",
    "drain",
    "undrain",
];

/// An operator's change as it is written to the configuration log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Chosen by the operator's client; a resent command has the same.
    pub change_id: ChangeId,
    /// Version of the configuration that the author saw.
    pub expected_version: ConfigVersion,
    /// Who makes the change.
    pub author: String,
    /// Why; never empty.
    pub reason: String,
    /// Wall-clock time at which it was proposed.
    pub at_unix_ms: u64,
    /// What is changed.
    pub change: Change,
}

/// What a command changes. The encoding depends on the order; new variants go to the end.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Sets a fleet-wide default.
    SetDefault {
        /// Name of the policy figure.
        figure: String,
        /// New value.
        value: u64,
    },
    /// Adds an exception to a default; its reason is that of the command.
    AddException {
        /// Name of the policy figure.
        figure: String,
        /// For whom it holds.
        scope: Scope,
        /// Value in place of the default.
        value: u64,
        /// Wall-clock deadline after which it no longer counts.
        expires_at_unix_ms: Option<u64>,
    },
    /// Ends an exception.
    ExpireException {
        /// Exception.
        exception: ExceptionId,
    },
    /// Records an objection against an exception, which stays in effect.
    ChallengeException {
        /// Exception.
        exception: ExceptionId,
    },
    /// Adds or changes a team.
    SetTeam(Team),
    /// Removes a team.
    RemoveTeam {
        /// Member that no longer has a quota.
        member: MemberId,
    },
    /// Adds a token.
    AddToken(NewToken),
    /// Revokes a token.
    RevokeToken {
        /// Token.
        token: TokenId,
    },
    /// Drains a worker or entry host.
    Drain {
        /// What is drained.
        target: DrainTarget,
    },
    /// Ends a drain.
    Undrain {
        /// What is used again.
        target: DrainTarget,
    },
}

/// A member with a weight and quotas.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Member that the team is.
    pub member: MemberId,
    /// Share relative to other members, from 1 to [`MAX_WEIGHT`].
    pub weight: u32,
    /// Upper bounds.
    #[serde(default)]
    pub quota: Quota,
}

/// Upper bounds of a team; an absent bound does not limit it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Processor time in thousandths of a core.
    pub cpu_millis: Option<u64>,
    /// Memory in MiB.
    pub memory_mib: Option<u64>,
    /// Whole accelerators.
    pub accelerators: Option<u64>,
    /// Requests executing at once.
    pub request_slots: Option<u64>,
}

/// What the holder of a token may do.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Role {
    /// Reads the administration interface.
    Read,
    /// Submits requests and jobs for its member.
    Submit,
    /// Reads and changes through the administration interface.
    Operate,
    /// Announces runners and workers. It is a role of its own, since a false announcement gets
    /// the payloads of all members, while an operator's token would let a runner change policy.
    Announce,
}

/// A token to be added. Its secret is never sent to an entry host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewToken {
    /// Name of the token.
    pub token: TokenId,
    /// Digest of the secret.
    pub sha256: Sha256Digest,
    /// What the holder may do.
    pub role: Role,
    /// Member on whose behalf the holder acts; required for [`Role::Submit`].
    #[serde(default)]
    pub member: Option<MemberId>,
}

/// What became of a command. Equal on all hosts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is in the configuration.
    Accepted {
        /// Version that it made.
        version: ConfigVersion,
    },
    /// The expected version was not the present one.
    Conflict {
        /// Present version when the command was applied.
        version: ConfigVersion,
        /// The change that was accepted with the same expected version; absent when the expected
        /// version is in the future or the audit entry is no longer kept.
        accepted: Option<Box<AcceptedChange>>,
    },
    /// The change is not possible in the present configuration.
    Rejected {
        /// What is wrong and what to do.
        reason: String,
    },
}

/// A change as the authors of competing ones are told.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version that it made.
    pub version: ConfigVersion,
    /// Its id.
    pub change_id: ChangeId,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When it was proposed.
    pub at_unix_ms: u64,
    /// What it changed.
    pub change: Change,
}

impl Change {
    /// Name of the kind, as in filters of the audit trail.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::SetDefault { .. } => "set_default",
            Self::AddException { .. } => "add_exception",
            Self::ExpireException { .. } => "expire_exception",
            Self::ChallengeException { .. } => "challenge_exception",
            Self::SetTeam(_) => "set_team",
            Self::RemoveTeam { .. } => "remove_team",
            Self::AddToken(_) => "add_token",
            Self::RevokeToken { .. } => "revoke_token",
            Self::Drain { .. } => "drain",
            Self::Undrain { .. } => "undrain",
        }
    }

    /// What is changed, for people.
    pub fn subject(&self) -> String {
        match self {
            Self::SetDefault { figure, .. } => figure.clone(),
            Self::AddException { figure, scope, .. } => format!("{figure} for {scope}"),
            Self::ExpireException { exception } | Self::ChallengeException { exception } => {
                exception.clone()
            }
            Self::SetTeam(team) => team.member.clone(),
            Self::RemoveTeam { member } => member.clone(),
            Self::AddToken(token) => token.token.clone(),
            Self::RevokeToken { token } => token.clone(),
            Self::Drain { target } | Self::Undrain { target } => target.to_string(),
        }
    }
}

impl Command {
    /// Digest of everything that makes two commands the same change. The expected version and
    /// the time are left out, since a resend through another entry host may have others.
    pub fn digest(&self) -> Sha256Digest {
        let parts = (&self.author, &self.reason, &self.change);
        Sha256Digest::of(&postcard::to_stdvec(&parts).unwrap_or_default())
    }
}

impl ChangeOutcome {
    /// Encodes the outcome as output of the state machine.
    pub fn encode(&self) -> Vec<u8> {
        // Only a sequence of unknown length or a custom serializer can fail; there is none here.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
