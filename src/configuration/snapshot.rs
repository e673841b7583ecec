//! Immutable snapshot of the configuration for readers, with indexes of exceptions and tokens.

use std::sync::Arc;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use super::content::{ConfigurationContent, Exception, Origin, Token};
use super::digest::Sha256Digest;
use super::policy::Figure;
use super::scope::{DrainTarget, Scope, Subject};
use crate::ids::{ConfigVersion, HostId, MemberId, WorkerId};

/// The configuration at one version, which the request path reads without a lock.
pub struct ConfigurationSnapshot {
    content: Arc<ConfigurationContent>,
    /// Positions in `content.exceptions` by figure, oldest first.
    exceptions: IndexMap<String, FigureExceptions>,
    /// Positions in `content.tokens` by the first bytes of the token's digest.
    tokens: IndexMap<DigestPrefix, Vec<usize>>,
    drained_workers: IndexSet<WorkerId>,
    drained_hosts: IndexSet<HostId>,
    operator_token: Option<Sha256Digest>,
    applied_at: Instant,
}

type DigestPrefix = [u8; 2];

fn digest_prefix(digest: &Sha256Digest) -> DigestPrefix {
    [digest.0[0], digest.0[1]]
}

/// Positions of the exceptions to one figure, by scope.
#[derive(Default)]
struct FigureExceptions {
    members: IndexMap<String, Vec<usize>>,
    callers: IndexMap<MemberId, IndexMap<String, Vec<usize>>>,
    services: IndexMap<String, Vec<usize>>,
    workers: IndexMap<String, Vec<usize>>,
}

/// Origin of the value of a figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Source {
    /// The built-in default, since no operator has set one.
    BuiltIn,
    /// A fleet-wide default that an operator set.
    Default {
        /// Change that set the default.
        origin: Origin,
    },
    /// An exception to the default.
    Exception {
        /// The exception with its author, reason and challenges.
        exception: Exception,
    },
}

/// Value of a figure and the origin of the value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// Name of the figure.
    pub figure: String,
    /// Value in effect.
    pub value: u64,
    /// Value without exceptions.
    pub default: u64,
    /// Origin of `value`.
    pub decided_by: Source,
}

impl ConfigurationSnapshot {
    pub(super) fn new(
        content: Arc<ConfigurationContent>,
        operator_token: Option<Sha256Digest>,
        applied_at: Instant,
    ) -> Self {
        let mut exceptions: IndexMap<String, FigureExceptions> = IndexMap::new();
        for (position, exception) in content.exceptions.values().enumerate() {
            let index = exceptions.entry(exception.figure.clone()).or_default();
            index.add(&exception.scope, position);
        }
        let mut tokens: IndexMap<DigestPrefix, Vec<usize>> = IndexMap::new();
        for (position, token) in content.tokens.values().enumerate() {
            let positions = tokens
                .entry(digest_prefix(&token.grant.sha256))
                .or_default();
            positions.push(position);
        }
        let mut drained_workers = IndexSet::new();
        let mut drained_hosts = IndexSet::new();
        for target in content.drains.keys() {
            match target {
                DrainTarget::Worker(worker) => drained_workers.insert(worker.clone()),
                DrainTarget::Host(host) => drained_hosts.insert(host.clone()),
            };
        }
        Self {
            content,
            exceptions,
            tokens,
            drained_workers,
            drained_hosts,
            operator_token,
            applied_at,
        }
    }

    /// Returns the number of accepted changes.
    pub fn version(&self) -> ConfigVersion {
        self.content.version
    }

    /// Returns the whole content.
    pub fn content(&self) -> &Arc<ConfigurationContent> {
        &self.content
    }

    /// Returns the time at which this host applied the version.
    pub fn applied_at(&self) -> Instant {
        self.applied_at
    }

    /// Returns the digest of the operator token from the settings.
    pub fn operator_token(&self) -> Option<&Sha256Digest> {
        self.operator_token.as_ref()
    }

    /// Returns the tokens whose digest has the same prefix. Comparing a request with each of 500
    /// tokens takes 27 us; the prefix of a digest reveals nothing about a secret of 256 random
    /// bits.
    pub(super) fn tokens_with_prefix_of(
        &self,
        digest: &Sha256Digest,
    ) -> impl Iterator<Item = &Token> {
        let positions = self.tokens.get(&digest_prefix(digest));
        let positions = positions.map(Vec::as_slice).unwrap_or_default();
        let found = |position: &usize| self.content.tokens.get_index(*position);
        positions
            .iter()
            .filter_map(move |position| found(position).map(|(_, token)| token))
    }

    /// Returns whether the worker is drained and must receive no new work.
    pub fn is_worker_drained(&self, worker: &str) -> bool {
        self.drained_workers.contains(worker)
    }

    /// Returns whether the entry host is drained and must fail its readiness check.
    pub fn is_host_drained(&self, host: &str) -> bool {
        self.drained_hosts.contains(host)
    }

    /// Returns the value of a figure. An exception for the caller takes precedence over exceptions
    /// for the member, the service and the worker, in this order; among exceptions of equal scope
    /// the newest applies. A value outside of the range of this release is clamped.
    pub fn value(&self, figure: &Figure, subject: &Subject<'_>, now_unix_ms: u64) -> u64 {
        let exception = self.exception(figure.name, subject, now_unix_ms);
        let value = exception.map_or_else(|| self.default(figure), |exception| exception.value);
        value.clamp(figure.min, figure.max)
    }

    /// Returns the fleet-wide default of a figure, clamped to the range of this release.
    pub fn default(&self, figure: &Figure) -> u64 {
        let set = self.content.defaults.get(figure.name);
        set.map_or(figure.default, |set| {
            set.value.clamp(figure.min, figure.max)
        })
    }

    /// Returns the value of a figure with the default or exception from which it comes.
    pub fn explain(&self, figure: &Figure, subject: &Subject<'_>, now_unix_ms: u64) -> Explanation {
        let decided_by = if let Some(exception) = self.exception(figure.name, subject, now_unix_ms)
        {
            Source::Exception {
                exception: exception.clone(),
            }
        } else if let Some(set) = self.content.defaults.get(figure.name) {
            Source::Default {
                origin: set.origin.clone(),
            }
        } else {
            Source::BuiltIn
        };
        Explanation {
            figure: figure.name.to_owned(),
            value: self.value(figure, subject, now_unix_ms),
            default: self.default(figure),
            decided_by,
        }
    }

    fn exception(
        &self,
        figure: &str,
        subject: &Subject<'_>,
        now_unix_ms: u64,
    ) -> Option<&Exception> {
        let index = self.exceptions.get(figure)?;
        for positions in index.positions(subject).into_iter().flatten() {
            for position in positions.iter().rev() {
                let (_, exception) = self.content.exceptions.get_index(*position)?;
                if exception.is_in_effect(now_unix_ms) {
                    return Some(exception);
                }
            }
        }
        None
    }
}

impl FigureExceptions {
    fn add(&mut self, scope: &Scope, position: usize) {
        let positions = match scope {
            Scope::Member(member) => self.members.entry(member.clone()),
            Scope::Caller(member, caller) => self
                .callers
                .entry(member.clone())
                .or_default()
                .entry(caller.clone()),
            Scope::Service(service) => self.services.entry(service.clone()),
            Scope::Worker(worker) => self.workers.entry(worker.clone()),
        };
        positions.or_default().push(position);
    }

    /// Returns the positions of the matching exceptions in order of decreasing precedence.
    fn positions(&self, subject: &Subject<'_>) -> [Option<&Vec<usize>>; 4] {
        let caller = match (subject.member, subject.caller) {
            (Some(member), Some(caller)) => self
                .callers
                .get(member)
                .and_then(|callers| callers.get(caller)),
            _ => None,
        };
        [
            caller,
            subject.member.and_then(|member| self.members.get(member)),
            subject
                .service
                .and_then(|service| self.services.get(service)),
            subject.worker.and_then(|worker| self.workers.get(worker)),
        ]
    }
}
