//! Ranks waiting stages in the order in which they are placed.
//!
//! Load pattern: bursts of one queue exceed the capacity of the cell for seconds. Jobs that can
//! still meet their objective come first, the priority of the queue decides among them, and jobs
//! that are too late to count come last, so that they do not make further jobs late.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Multiple of the objective of a job after which its end no longer counts.
pub const LATE_FACTOR: u32 = 3;

/// Value that the end of a job still has, given when it can end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Usefulness {
    /// The job can end within its objective.
    InTime,
    /// The job can end within [`LATE_FACTOR`] times its objective.
    Late,
    /// The job ends later than that. It still runs, since it was accepted, but after others.
    TooLate,
}

/// A waiting job, as far as its rank depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Priority of its queue; zero is the most urgent.
    pub priority: u32,
    /// Time at which the job was first due.
    pub due_at: Instant,
    /// Time after `due_at` within which the job should end.
    pub objective: Duration,
    /// Expected run time of the work that is left.
    pub remaining: Duration,
    /// Whether jobs of this kind are placed newest first, since too many of them are already late.
    pub newest_first: bool,
    /// Time since which the stage, a gang, gathers room; `None` if it does not.
    pub gathers_since: Option<Instant>,
}

/// Sort key of a waiting stage; the smallest is placed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    group: Group,
    priority: u32,
    usefulness: Usefulness,
    tie_break: TieBreak,
}

/// Order among jobs that are equal in group, priority and usefulness.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum TieBreak {
    /// Gangs that gather room come first and keep their order: newer ones would take the room that
    /// they have gathered.
    Gathering(Instant),
    LatestStart(Instant),
    NewestFirst(Reverse<Instant>),
}

impl Rank {
    /// Returns an integer with the order of the rank among ranks of the same `now`. Sorting hundreds
    /// of ranks in each pass by their fields took a tenth of the pass.
    pub fn sort_key(&self, now: Instant) -> u128 {
        let (kind, at) = match self.tie_break {
            TieBreak::Gathering(at) => (0_u8, nanos_from(now, at)),
            TieBreak::LatestStart(at) => (1, nanos_from(now, at)),
            TieBreak::NewestFirst(Reverse(at)) => (2, !nanos_from(now, at)),
        };
        let class = u128::from(self.group as u8) << 34
            | u128::from(self.priority) << 2
            | u128::from(self.usefulness as u8);
        class << 66 | u128::from(kind) << 64 | u128::from(at)
    }

    /// Returns the rank of a stage whose customer has more than its share: it comes after all stages
    /// of customers within their share, except that stages that are too late to count come last.
    #[must_use]
    pub fn of_customer_over_share(self) -> Self {
        let group = match self.group {
            Group::Urgent => Group::OverShareUrgent,
            Group::InTime => Group::OverShareInTime,
            Group::Late => Group::OverShareLate,
            Group::TooLate => Group::OverShareTooLate,
            group => group,
        };
        Self { group, ..self }
    }

    /// Priority of the queue.
    pub fn priority(&self) -> u32 {
        self.priority
    }

    /// Whether the job can still end within its objective.
    pub fn is_in_time(&self) -> bool {
        self.usefulness == Usefulness::InTime
    }

    /// Whether the end of the job no longer counts.
    pub fn is_too_late(&self) -> bool {
        self.usefulness == Usefulness::TooLate
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Group {
    /// Jobs of the most urgent queue that are not too late to count. They are small: many of them
    /// fit into the room of one larger job, and placing them late is better than not at all.
    Urgent,
    InTime,
    Late,
    /// Like `Urgent`, of a customer that has more than its share.
    OverShareUrgent,
    OverShareInTime,
    OverShareLate,
    TooLate,
    OverShareTooLate,
}

/// Returns the nanoseconds from `now` to a time, in the order of the times: times before `now` are in
/// the lower half of the range.
fn nanos_from(now: Instant, at: Instant) -> u64 {
    const MIDDLE: u64 = 1 << 63;
    let nanos = |duration: Duration| u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
    match at.checked_duration_since(now) {
        Some(after) => MIDDLE.saturating_add(nanos(after)),
        None => MIDDLE.saturating_sub(nanos(now.saturating_duration_since(at))),
    }
}

/// Classifies a waiting job by the time at which it can end if it starts now.
pub fn usefulness(waiting: &Waiting, now: Instant) -> Usefulness {
    let ends_at = now + waiting.remaining;
    if ends_at <= waiting.due_at + waiting.objective {
        Usefulness::InTime
    } else if ends_at <= waiting.due_at + waiting.objective * LATE_FACTOR {
        Usefulness::Late
    } else {
        Usefulness::TooLate
    }
}

/// Rank of a waiting stage.
pub fn rank(waiting: &Waiting, now: Instant) -> Rank {
    let usefulness = usefulness(waiting, now);
    let group = match usefulness {
        Usefulness::TooLate => Group::TooLate,
        _ if waiting.priority == 0 => Group::Urgent,
        Usefulness::InTime => Group::InTime,
        Usefulness::Late => Group::Late,
    };
    let latest_end = match usefulness {
        Usefulness::InTime => waiting.due_at + waiting.objective,
        Usefulness::Late | Usefulness::TooLate => waiting.due_at + waiting.objective * LATE_FACTOR,
    };
    let latest_start = latest_end
        .checked_sub(waiting.remaining)
        .unwrap_or(waiting.due_at);
    let tie_break = match (usefulness, waiting.gathers_since) {
        (Usefulness::InTime, Some(since)) => TieBreak::Gathering(since),
        (Usefulness::InTime, None) if waiting.newest_first => {
            TieBreak::NewestFirst(Reverse(waiting.due_at))
        }
        _ => TieBreak::LatestStart(latest_start),
    };
    Rank {
        group,
        priority: waiting.priority,
        usefulness,
        tie_break,
    }
}
