//! Order in which waiting stages get room.
//!
//! Load pattern: bursts of one queue exceed the cell for seconds. Jobs that can still meet their
//! objective come first, the queue's priority decides among them, and jobs that are too late to
//! count come last, so that they do not make further jobs late.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Multiple of its objective after which the end of a job no longer counts.
pub const LATE_FACTOR: u32 = 3;

/// How useful the end of a job still is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Usefulness {
    /// It can end within its objective.
    InTime,
    /// It can end within [`LATE_FACTOR`] times its objective.
    Late,
    /// It must run, since it was accepted, but later than others.
    TooLate,
}

/// What is known of a job that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Priority of its queue; zero is the most urgent.
    pub priority: u32,
    /// When the job was first due.
    pub due_at: Instant,
    /// Time that it may take.
    pub objective: Duration,
    /// Expected run time of the rest.
    pub remaining: Duration,
    /// Whether jobs of its kind are served newest first, since too many are late already.
    pub newest_first: bool,
}

/// Sorts waiting stages; smaller comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    group: Group,
    priority: u32,
    usefulness: Usefulness,
    turn: Turn,
}

/// Order among jobs of equal rank otherwise.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Turn {
    LatestStart(Instant),
    NewestFirst(Reverse<Instant>),
}

impl Rank {
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
    /// The most urgent queue while its jobs count at all. They are small: many of them are served
    /// with the room of one larger job, and serving them late is better than not at all.
    Urgent,
    InTime,
    Late,
    TooLate,
}

/// How useful the end of a waiting job still is.
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
    Rank {
        group,
        priority: waiting.priority,
        usefulness,
        turn: if waiting.newest_first && usefulness == Usefulness::InTime {
            Turn::NewestFirst(Reverse(waiting.due_at))
        } else {
            Turn::LatestStart(latest_start)
        },
    }
}
