//! Order in which waiting stages get room.
//!
//! Load pattern: bursts of one queue exceed the cell for seconds. Jobs that can still meet their
//! objective come first, the queue's priority decides among them, and jobs that are too late to
//! count come last, so that they do not make further jobs late.

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
    /// Expected processor time of the whole job, in milliseconds of one core.
    pub cpu_work_ms: u64,
}

/// Sorts waiting stages; smaller comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    usefulness: Usefulness,
    priority: u32,
    latest_start: Instant,
}

/// Rank of a waiting stage.
pub fn rank(waiting: &Waiting, now: Instant) -> Rank {
    let ends_at = now + waiting.remaining;
    let in_time_until = waiting.due_at + waiting.objective;
    let late_until = waiting.due_at + waiting.objective * LATE_FACTOR;
    let usefulness = if ends_at <= in_time_until {
        Usefulness::InTime
    } else if ends_at <= late_until {
        Usefulness::Late
    } else {
        Usefulness::TooLate
    };
    let latest_end = match usefulness {
        Usefulness::InTime => in_time_until,
        Usefulness::Late | Usefulness::TooLate => late_until,
    };
    Rank {
        usefulness,
        priority: waiting.priority,
        latest_start: latest_end
            .checked_sub(waiting.remaining)
            .unwrap_or(waiting.due_at),
    }
}
