//! Commands of the configuration log and their outcomes.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::digest::Sha256Digest;
use super::scope::{DrainTarget, Scope};
use crate::ids::{ChangeId, ConfigVersion, MemberId};

/// Identifier of an exception, `exception-<version of the change that added it>`.
pub type ExceptionId = String;
/// Name of a token, chosen by the operator; it appears in the audit trail.
pub type TokenId = String;

/// Maximum length of the name of a member, token, figure or author.
pub const MAX_NAME_BYTES: usize = 200;
/// Maximum length of the reason of a change.
pub const MAX_REASON_BYTES: usize = 2_000;
/// Maximum weight of a team.
pub const MAX_WEIGHT: u32 = 10_000;

/// Values of [`Change::kind`].
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

/// An operator's change in the form in which the configuration log stores it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Id chosen by the operator's client; a resent command carries the same id.
    pub change_id: ChangeId,
    /// Version of the configuration that the author saw.
    pub expected_version: ConfigVersion,
    /// Name of the operator who makes the change.
    pub author: String,
    /// The author's reason; never empty.
    pub reason: String,
    /// Wall-clock time at which the command was proposed.
    pub at_unix_ms: u64,
    /// The change itself.
    pub change: Change,
}

/// What a command changes. The encoding depends on the order of the variants; new variants are
/// appended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Sets a fleet-wide default.
    SetDefault {
        /// Name of the policy figure.
        figure: String,
        /// New default, in the unit of the figure.
        value: u64,
    },
    /// Adds an exception to a default; the command's reason is also the reason of the exception.
    AddException {
        /// Name of the policy figure.
        figure: String,
        /// Requests or worker to which the exception applies.
        scope: Scope,
        /// Value in place of the default, in the unit of the figure.
        value: u64,
        /// Wall-clock time from which the exception has no effect; `None` if it does not expire.
        expires_at_unix_ms: Option<u64>,
    },
    /// Ends an exception.
    ExpireException {
        /// Id of an existing exception.
        exception: ExceptionId,
    },
    /// Records an objection to an exception; the exception stays in effect.
    ChallengeException {
        /// Id of an existing exception.
        exception: ExceptionId,
    },
    /// Adds or changes a team.
    SetTeam(Team),
    /// Removes a team.
    RemoveTeam {
        /// Member that loses its weight and quota.
        member: MemberId,
    },
    /// Adds a token under a name that no other token has.
    AddToken(NewToken),
    /// Revokes a token.
    RevokeToken {
        /// Name of an existing token.
        token: TokenId,
    },
    /// Drains a worker or entry host.
    Drain {
        /// Worker or entry host that receives no new work.
        target: DrainTarget,
    },
    /// Ends a drain.
    Undrain {
        /// Worker or entry host that receives new work again.
        target: DrainTarget,
    },
}

/// A member with a weight and quotas.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Member to which the weight and the quota apply.
    pub member: MemberId,
    /// Share relative to other members, from 1 to [`MAX_WEIGHT`].
    pub weight: u32,
    /// Upper bounds on the resources that the member uses at once.
    #[serde(default)]
    pub quota: Quota,
}

/// Upper bounds of a team; an absent bound means no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Processor time in thousandths of a core.
    pub cpu_millis: Option<u64>,
    /// Memory in MiB, summed over everything that the member runs.
    pub memory_mib: Option<u64>,
    /// Number of whole accelerators.
    pub accelerators: Option<u64>,
    /// Number of requests that execute at once.
    pub request_slots: Option<u64>,
}

/// Permissions of the holder of a token.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Role {
    /// Reads through the administration interface.
    Read,
    /// Submits requests and jobs on behalf of the token's member.
    Submit,
    /// Reads and changes the configuration through the administration interface.
    Operate,
    /// Announces runners and workers. This is a separate role, since the sender of a false
    /// announcement receives the payloads of all members, and a runner with an operator's token
    /// could change policy.
    Announce,
}

/// A token to be added. The token's secret is never sent to an entry host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewToken {
    /// Name of the token; must not be in use.
    pub token: TokenId,
    /// Digest of the secret that the holder presents.
    pub sha256: Sha256Digest,
    /// Permissions of the holder.
    pub role: Role,
    /// Member on whose behalf the holder acts; required for [`Role::Submit`].
    #[serde(default)]
    pub member: Option<MemberId>,
}

/// Outcome of a command; equal on all hosts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is in the configuration.
    Accepted {
        /// Version that the change created.
        version: ConfigVersion,
    },
    /// The expected version differed from the current version.
    Conflict {
        /// Current version at the time the command was applied.
        version: ConfigVersion,
        /// The change that was accepted with the same expected version; absent when the expected
        /// version is in the future or the audit entry is no longer kept.
        accepted: Option<Box<AcceptedChange>>,
    },
    /// The change is not possible in the current configuration.
    Rejected {
        /// Cause and remedy, shown to the operator.
        reason: String,
    },
}

/// An accepted change, as reported to the author of a conflicting change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version that the change created.
    pub version: ConfigVersion,
    /// Id that the client chose for the change.
    pub change_id: ChangeId,
    /// Name of the operator who made the change.
    pub author: String,
    /// The author's reason.
    pub reason: String,
    /// Wall-clock time at which the change was proposed.
    pub at_unix_ms: u64,
    /// The change itself.
    pub change: Change,
}

impl Change {
    /// Returns the name of the kind of change; filters of the audit trail match this name.
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

    /// Returns a human-readable name of the changed object.
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
    /// Returns the digest of the parts that make two commands the same change. The expected version
    /// and the time are left out, since both may differ when the command is resent through another
    /// entry host.
    pub fn digest(&self) -> Sha256Digest {
        let parts = (&self.author, &self.reason, &self.change);
        Sha256Digest::of(&postcard::to_stdvec(&parts).unwrap_or_default())
    }
}

impl ChangeOutcome {
    /// Encodes the outcome as output of the state machine.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding fails only for a sequence of unknown length or a custom serializer, and the
        // outcome contains neither.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
