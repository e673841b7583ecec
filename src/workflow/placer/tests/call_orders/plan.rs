//! Plans of faults and jobs, drawn from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ids::WorkerId;

/// What is held on its way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Target {
    Start,
    Stop,
    Renewal,
    Acknowledgement,
    Heartbeat,
    Answer,
    Report,
}

const TARGETS: [Target; 7] = [
    Target::Start,
    Target::Stop,
    Target::Renewal,
    Target::Acknowledgement,
    Target::Heartbeat,
    Target::Answer,
    Target::Report,
];

/// A fault or a job; times in milliseconds since the beginning of the play.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    Hold {
        worker: WorkerId,
        target: Target,
        at_ms: u64,
        until_ms: u64,
    },
    Restart {
        worker: WorkerId,
        at_ms: u64,
        down_ms: u64,
    },
    Cut {
        worker: WorkerId,
        at_ms: u64,
        until_ms: u64,
    },
    Placer {
        at_ms: u64,
    },
    Relay {
        relay: usize,
        at_ms: u64,
    },
    SlowDisk {
        at_ms: u64,
        until_ms: u64,
    },
    Job {
        number: u64,
        at_ms: u64,
        tasks: u32,
        work_ms: u64,
    },
}

impl Fault {
    pub(super) fn at_ms(&self) -> u64 {
        match self {
            Self::Hold { at_ms, .. }
            | Self::Restart { at_ms, .. }
            | Self::Cut { at_ms, .. }
            | Self::Placer { at_ms }
            | Self::Relay { at_ms, .. }
            | Self::SlowDisk { at_ms, .. }
            | Self::Job { at_ms, .. } => *at_ms,
        }
    }

    fn until_ms(&self) -> u64 {
        match self {
            Self::Hold { until_ms, .. }
            | Self::Cut { until_ms, .. }
            | Self::SlowDisk { until_ms, .. } => *until_ms,
            _ => self.at_ms(),
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub permits: bool,
    pub workers: usize,
    /// Whether workers check the ticket before all else but the fence.
    pub checks_ticket_first: bool,
    pub network_seed: u64,
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a plan of two to four bursts of faults around a worker.
    pub(super) fn draw(seed: u64, permits: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = rng.random_range(2..=3);
        let mut plan = Self {
            permits,
            workers,
            checks_ticket_first: rng.random_bool(0.5),
            network_seed: seed,
            faults: Vec::new(),
        };
        let mut at_ms = 3_000;
        for _ in 0..rng.random_range(2..=4) {
            at_ms += rng.random_range(500..9_000);
            plan.draw_burst(at_ms, &mut rng);
        }
        plan
    }

    fn draw_burst(&mut self, at_ms: u64, rng: &mut StdRng) {
        let worker = format!("w{}", rng.random_range(0..self.workers));
        let mut around =
            |before: u64, after: u64| at_ms - before + rng.random_range(0..before + after);
        let job_at = [around(1_500, 1_000), around(1_500, 1_000)];
        let second_at = around(0, 6_000) + 700;
        let cut_at = around(200, 2_500);
        let placer_at = around(500, 4_000);
        let relay_at = around(1_000, 3_000);
        let disk_at = around(1_500, 1_000);
        let hold_at: Vec<u64> = TARGETS.iter().map(|_| around(1_800, 600)).collect();
        let stream_at = around(900, 200);
        if rng.random_bool(0.5) {
            for index in 0..6 {
                let number = (self.faults.len() + 1_000 * index) as u64;
                let at_ms = stream_at + index as u64 * rng.random_range(60..250);
                let work_ms = rng.random_range(20..400);
                self.faults.push(Fault::Job {
                    number,
                    at_ms,
                    tasks: 1,
                    work_ms,
                });
            }
        }
        for (index, at_ms) in job_at.into_iter().enumerate() {
            let number = (self.faults.len() + 1_000 * index) as u64;
            let work_ms = match rng.random_range(0..3) {
                0 => rng.random_range(20..400),
                1 => rng.random_range(400..4_000),
                _ => rng.random_range(4_000..25_000),
            };
            let tasks = rng.random_range(1..=3);
            self.faults.push(Fault::Job {
                number,
                at_ms,
                tasks,
                work_ms,
            });
        }
        for (target, at_ms) in TARGETS.into_iter().zip(hold_at) {
            if rng.random_bool(0.35) {
                let until_ms = at_ms + rng.random_range(200..2_500);
                let worker = worker.clone();
                self.faults.push(Fault::Hold {
                    worker,
                    target,
                    at_ms,
                    until_ms,
                });
            }
        }
        let restarts = rng.random_bool(0.8);
        if restarts {
            let down_ms = rng.random_range(10..=100) * rng.random_range(1..=7);
            let worker = worker.clone();
            self.faults.push(Fault::Restart {
                worker,
                at_ms,
                down_ms,
            });
        }
        if restarts && rng.random_bool(0.2) {
            let (worker, down_ms) = (worker.clone(), rng.random_range(50..700));
            self.faults.push(Fault::Restart {
                worker,
                at_ms: second_at,
                down_ms,
            });
        }
        if rng.random_bool(0.75) {
            let until_ms = cut_at + rng.random_range(2_000..=9_000) * rng.random_range(1..=2);
            self.faults.push(Fault::Cut {
                worker,
                at_ms: cut_at,
                until_ms,
            });
        }
        if rng.random_bool(0.25) {
            self.faults.push(Fault::Placer { at_ms: placer_at });
        }
        if rng.random_bool(0.3) {
            let relay = rng.random_range(0..2);
            self.faults.push(Fault::Relay {
                relay,
                at_ms: relay_at,
            });
        }
        if rng.random_bool(0.25) {
            let until_ms = disk_at + rng.random_range(500..4_000);
            self.faults.push(Fault::SlowDisk {
                at_ms: disk_at,
                until_ms,
            });
        }
    }

    pub(super) fn ends_at_ms(&self) -> u64 {
        self.faults.iter().map(Fault::until_ms).max().unwrap_or(0)
    }
}
