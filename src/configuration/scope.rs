//! Scopes of exceptions, and targets of drains.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, FromStr as FromText};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{CallerId, HostId, MemberId, ServiceName, WorkerId};

/// Kind of a [`Scope`].
#[derive(Clone, Copy, Debug, Display, Eq, FromText, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum ScopeKind {
    /// All callers of a member.
    Member,
    /// One caller of a member.
    Caller,
    /// All requests to a service.
    Service,
    /// One worker.
    Worker,
}

/// Requests or worker to which an exception applies, written as `member:M`, `caller:M/C`,
/// `service:S` or `worker:W`.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Scope {
    /// All callers of a member.
    Member(MemberId),
    /// One caller of a member.
    Caller(MemberId, CallerId),
    /// All requests to a service.
    Service(ServiceName),
    /// One worker.
    Worker(WorkerId),
}

/// A worker or entry host that is drained, written as `worker:W` or `host:H`.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum DrainTarget {
    /// Worker that receives no new work.
    Worker(WorkerId),
    /// Entry host whose readiness check fails.
    Host(HostId),
}

/// The text is not a scope or drain target.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{text:?} must have the form {expected}")]
pub struct InvalidScope {
    /// The rejected text.
    pub text: String,
    /// Allowed forms, for the error message.
    pub expected: &'static str,
}

/// Request or worker for which a figure is looked up; an absent field matches no exception.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// Member that sends the request.
    pub member: Option<&'a str>,
    /// Caller within the member; ignored without a member.
    pub caller: Option<&'a str>,
    /// Service that the request calls.
    pub service: Option<&'a str>,
    /// Worker to which the figure applies.
    pub worker: Option<&'a str>,
}

impl Scope {
    /// Returns the kind of the scope.
    pub fn kind(&self) -> ScopeKind {
        match self {
            Self::Member(_) => ScopeKind::Member,
            Self::Caller(..) => ScopeKind::Caller,
            Self::Service(_) => ScopeKind::Service,
            Self::Worker(_) => ScopeKind::Worker,
        }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Member(member) => write!(formatter, "member:{member}"),
            Self::Caller(member, caller) => write!(formatter, "caller:{member}/{caller}"),
            Self::Service(service) => write!(formatter, "service:{service}"),
            Self::Worker(worker) => write!(formatter, "worker:{worker}"),
        }
    }
}

impl FromStr for Scope {
    type Err = InvalidScope;

    fn from_str(text: &str) -> Result<Self, InvalidScope> {
        let parsed = match text.split_once(':') {
            Some(("member", name)) if !name.contains('/') => parse_name(name).map(Self::Member),
            Some(("caller", names)) => names.split_once('/').and_then(|(member, caller)| {
                Some(Self::Caller(parse_name(member)?, parse_name(caller)?))
            }),
            Some(("service", name)) => parse_name(name).map(Self::Service),
            Some(("worker", name)) => parse_name(name).map(Self::Worker),
            _ => None,
        };
        parsed.ok_or_else(|| InvalidScope {
            text: text.to_owned(),
            expected: "member:MEMBER, caller:MEMBER/CALLER, service:SERVICE or worker:WORKER",
        })
    }
}

impl TryFrom<String> for Scope {
    type Error = InvalidScope;

    fn try_from(text: String) -> Result<Self, InvalidScope> {
        text.parse()
    }
}

impl From<Scope> for String {
    fn from(scope: Scope) -> Self {
        scope.to_string()
    }
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worker(worker) => write!(formatter, "worker:{worker}"),
            Self::Host(host) => write!(formatter, "host:{host}"),
        }
    }
}

impl FromStr for DrainTarget {
    type Err = InvalidScope;

    fn from_str(text: &str) -> Result<Self, InvalidScope> {
        let parsed = match text.split_once(':') {
            Some(("worker", name)) => parse_name(name).map(Self::Worker),
            Some(("host", name)) => parse_name(name).map(Self::Host),
            _ => None,
        };
        parsed.ok_or_else(|| InvalidScope {
            text: text.to_owned(),
            expected: "worker:WORKER or host:HOST",
        })
    }
}

impl TryFrom<String> for DrainTarget {
    type Error = InvalidScope;

    fn try_from(text: String) -> Result<Self, InvalidScope> {
        text.parse()
    }
}

impl From<DrainTarget> for String {
    fn from(target: DrainTarget) -> Self {
        target.to_string()
    }
}

fn parse_name(name: &str) -> Option<String> {
    let valid = !name.is_empty() && !name.chars().any(char::is_control);
    valid.then(|| name.to_owned())
}
