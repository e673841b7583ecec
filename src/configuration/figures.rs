//! Policy figures that several modules read.

use super::policy::{Figure, RegisteredFigure, Unit};
use super::scope::ScopeKind;

/// Maximum number of a member's requests in the queue of one placer.
pub static MAX_QUEUED_PER_MEMBER: Figure = Figure {
    name: "request.max_queued_per_member",
    unit: Unit::Requests,
    default: 2_000,
    min: 1,
    max: 1_000_000,
    scopes: &[ScopeKind::Member],
    description: "requests of one member that may wait at one placer",
};

/// Maximum number of a caller's requests in the queue of one placer.
pub static MAX_QUEUED_PER_CALLER: Figure = Figure {
    name: "request.max_queued_per_caller",
    unit: Unit::Requests,
    default: 2_000,
    min: 1,
    max: 1_000_000,
    scopes: &[ScopeKind::Member, ScopeKind::Caller],
    description: "requests of one caller that may wait at one placer",
};

/// Queueing delay above which a member's requests are shed. The overload results in
/// `docs/measurements-requests.md` hold for the default of half a second.
pub static MAX_QUEUE_DELAY_MS: Figure = Figure {
    name: "request.max_queue_delay_ms",
    unit: Unit::Milliseconds,
    default: 500,
    min: 10,
    max: 120_000,
    scopes: &[ScopeKind::Member, ScopeKind::Caller, ScopeKind::Service],
    description: "standing wait above which requests of the member are shed with a retry-after",
};

/// Part of a member's share that its urgent work may use before other work.
pub static URGENT_SHARE_PERCENT: Figure = Figure {
    name: "request.urgent_share_percent",
    unit: Unit::Percent,
    default: 100,
    min: 0,
    max: 100,
    scopes: &[ScopeKind::Member],
    description: "part of a member's share that its urgent work may use before other work",
};

/// Maximum number of retries as a percentage of the requests.
pub static RETRY_BUDGET_PERCENT: Figure = Figure {
    name: "retry.budget_percent",
    unit: Unit::Percent,
    default: 10,
    min: 0,
    max: 100,
    scopes: &[ScopeKind::Member, ScopeKind::Service],
    description: "retries of the placer relative to the requests of a member or to a runner",
};

/// Weight of a member that has no team.
pub static MEMBER_WEIGHT: Figure = Figure {
    name: "member.weight",
    unit: Unit::Weight,
    default: 1,
    min: 1,
    max: 10_000,
    scopes: &[ScopeKind::Member],
    description: "share relative to other members, for members without a team",
};

/// Weight of a caller within its member.
pub static CALLER_WEIGHT: Figure = Figure {
    name: "caller.weight",
    unit: Unit::Weight,
    default: 1,
    min: 1,
    max: 10_000,
    scopes: &[ScopeKind::Member, ScopeKind::Caller],
    description: "share relative to other callers of the same member",
};

/// Maximum duration of a gang's reservation of workers.
pub static GANG_RESERVATION_MS: Figure = Figure {
    name: "job.gang_reservation_ms",
    unit: Unit::Milliseconds,
    default: 60_000,
    min: 1_000,
    max: 3_600_000,
    scopes: &[ScopeKind::Member],
    description: "time for which a gang may reserve workers before the next gang gets its turn",
};

/// Number of failures after which a worker is quarantined.
pub static QUARANTINE_FAILURES: Figure = Figure {
    name: "worker.quarantine_failures",
    unit: Unit::Failures,
    default: 5,
    min: 1,
    max: 1_000,
    scopes: &[ScopeKind::Worker],
    description: "failures of a worker, out of line with its workloads elsewhere, before quarantine",
};

inventory::submit! { RegisteredFigure(&MAX_QUEUED_PER_MEMBER) }
inventory::submit! { RegisteredFigure(&MAX_QUEUED_PER_CALLER) }
inventory::submit! { RegisteredFigure(&CALLER_WEIGHT) }
inventory::submit! { RegisteredFigure(&MAX_QUEUE_DELAY_MS) }
inventory::submit! { RegisteredFigure(&URGENT_SHARE_PERCENT) }
inventory::submit! { RegisteredFigure(&RETRY_BUDGET_PERCENT) }
inventory::submit! { RegisteredFigure(&MEMBER_WEIGHT) }
inventory::submit! { RegisteredFigure(&GANG_RESERVATION_MS) }
inventory::submit! { RegisteredFigure(&QUARANTINE_FAILURES) }
