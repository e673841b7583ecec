//! Measures fairness between 500 teams with unequal weights, and the waiting time of teams below
//! their share.
//!
//! Run with `cargo bench --bench fairness`.

mod support;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::protocol::caller::Urgency;
use jujubewinch::scheduling::fair_share::{QueuePolicy, TeamShare};
use jujubewinch::scheduling::job::TaskEnd;
use jujubewinch::scheduling::job_scheduler::SchedulerSettings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::virtual_time::Fleet;

const TEAMS: usize = 500;
const WORKERS: usize = 400;
/// Teams with this number or a higher one submit nothing during the first third of the simulated
/// time, in which the other teams fill the fleet.
const FIRST_LATE_TEAM: usize = 450;
/// Simulated time. Shares are measured in the last third.
const SIMULATED: Duration = Duration::from_secs(900);
/// Simulated time between two rounds of decisions.
const STEP: Duration = Duration::from_millis(500);

fn weight(team: usize) -> u32 {
    1 + (team % 8) as u32
}

struct FairnessResult {
    /// Jain's fairness index of the weighted dominant shares; 1 if all are equal.
    jain: f64,
    /// Longest time from the first submission to the first start over the late teams.
    longest_wait_s: f64,
    median_wait_s: f64,
    /// Number of late teams without a start.
    never_started: usize,
    /// Mean fraction of processor time that is allocated.
    utilization: f64,
}

fn run(policy: QueuePolicy, seed: u64) -> FairnessResult {
    let now = Instant::now();
    let settings = SchedulerSettings {
        queue: policy,
        seed,
        ..SchedulerSettings::default()
    };
    let mut scheduler = support::scheduler(WORKERS, settings, now);
    for team in 0..TEAMS {
        let share = TeamShare {
            weight: weight(team),
            ..TeamShare::default()
        };
        scheduler.set_team(&format!("team-{team}"), share);
    }
    let mut fleet = Fleet::new(scheduler, now);
    let mut random = StdRng::seed_from_u64(seed);
    let mut submitted = 0;
    let mut run_times: IndexMap<String, Duration> = IndexMap::new();
    let mut waiting: IndexMap<usize, usize> = IndexMap::new();
    let mut first_submissions: IndexMap<usize, Instant> = IndexMap::new();
    let mut first_waits = Vec::new();
    let mut shares = vec![0.0; TEAMS];
    let mut allocated = 0.0;
    let mut steps = 0.0;
    while fleet.elapsed() < SIMULATED {
        let late_teams_submit = fleet.elapsed() >= SIMULATED / 3;
        for team in 0..TEAMS {
            if team >= FIRST_LATE_TEAM && !late_teams_submit {
                continue;
            }
            // The first 50 teams flood the queue; the others also keep more jobs waiting than they
            // can run.
            let backlog = if team < 50 { 60 } else { 12 };
            while waiting.get(&team).copied().unwrap_or(0) < backlog {
                let need = support::resources(
                    random.random_range(4..25) * 250,
                    random.random_range(4..25) * 512,
                    0,
                );
                let run = Duration::from_secs(random.random_range(60..600));
                let mut spec = support::job(submitted, team, need, run);
                spec.urgency = if team < 50 {
                    Urgency::Urgent
                } else {
                    Urgency::Normal
                };
                submitted += 1;
                run_times.insert(spec.id.clone(), run);
                fleet.submit(spec);
                *waiting.entry(team).or_default() += 1;
                if team >= FIRST_LATE_TEAM {
                    first_submissions.entry(team).or_insert(fleet.now);
                }
            }
        }
        let step = fleet.step(STEP, |start| (run_times[&start.job], TaskEnd::Succeeded));
        for start in &step.started {
            let team: usize = fleet.specs[&start.job].0.member[5..]
                .parse()
                .expect("number");
            if let Some(count) = waiting.get_mut(&team).filter(|_| start.attempt == 0) {
                *count -= 1;
            }
            if let Some(since) = first_submissions.get(&team)
                && first_waits.iter().all(|(other, _)| *other != team)
            {
                first_waits.push((team, (fleet.now - *since).as_secs_f64()));
            }
        }
        for (ended, end) in step.ended {
            if end == TaskEnd::Succeeded {
                fleet.specs.swap_remove(&ended.start.job);
                run_times.swap_remove(&ended.start.job);
            }
        }
        if fleet.elapsed() >= SIMULATED * 2 / 3 {
            steps += 1.0;
            let capacity = fleet.scheduler.ledger().capacity();
            for (team, share) in shares.iter_mut().enumerate() {
                let usage = fleet.scheduler.usage_of(&format!("team-{team}"));
                let cpu = usage.cpu_millis as f64 / capacity.cpu_millis as f64;
                let memory = usage.memory_mib as f64 / capacity.memory_mib as f64;
                *share += cpu.max(memory) / f64::from(weight(team));
            }
            allocated += support::allocated_fractions(&fleet.scheduler)[0];
        }
    }
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    let waits: Vec<f64> = first_waits.iter().map(|(_, wait)| *wait).collect();
    FairnessResult {
        jain: sum * sum / (TEAMS as f64 * squares.max(f64::MIN_POSITIVE)),
        longest_wait_s: waits.iter().copied().fold(0.0, f64::max),
        never_started: TEAMS - FIRST_LATE_TEAM - waits.len(),
        median_wait_s: support::median(waits),
        utilization: allocated / steps,
    }
}

fn main() {
    println!("policy           jain   median wait s  longest wait s  never started  cpu allocated");
    for (name, policy) in [
        ("fair_share", QueuePolicy::FairShare),
        ("strict_priority", QueuePolicy::StrictPriority),
        ("first_come", QueuePolicy::FirstCome),
    ] {
        let result = run(policy, 1);
        println!(
            "{name:<15} {:>6.3} {:>14.1} {:>15.1} {:>14} {:>14.3}",
            result.jain,
            result.median_wait_s,
            result.longest_wait_s,
            result.never_started,
            result.utilization
        );
    }
}
