//! Kinds of jobs, in the proportions that they have in the largest deployments.

use serde_json::{Value, json};

/// Processor capacity of a worker in millicores.
pub const WORKER_CPU_MILLIS: u64 = 16_000;
/// Fraction of the cell's processor capacity that the load uses.
const UTILIZATION: f64 = 0.65;

/// A kind of job with its queue.
pub struct Kind {
    pub queue: &'static str,
    pub priority: u32,
    /// Jobs of this kind among a hundred.
    pub percent: usize,
    /// Tasks of each job.
    pub tasks: u64,
    /// Processor demand of a task relative to that of the other kinds.
    pub cpu_weight: f64,
    pub gang: bool,
    pub run_ms: u64,
    /// Fixed part of the placement policy's decision time.
    pub decision_ms: u64,
    /// Additional decision time for each worker in the question.
    pub per_worker_ms: f64,
    /// Workers among a hundred that the policy permits.
    pub permitted_percent: usize,
}

/// Few gangs with many tasks, some other jobs with many tasks, and many small urgent jobs.
pub const KINDS: [Kind; 3] = [
    Kind {
        queue: "custom-build",
        priority: 1,
        percent: 5,
        tasks: 20,
        cpu_weight: 4.5,
        gang: true,
        run_ms: 5_000,
        decision_ms: 570,
        per_worker_ms: 8.0,
        permitted_percent: 35,
    },
    Kind {
        queue: "spoke-restock",
        priority: 2,
        percent: 10,
        tasks: 25,
        cpu_weight: 1.7,
        gang: false,
        run_ms: 2_700,
        decision_ms: 130,
        per_worker_ms: 1.8,
        permitted_percent: 45,
    },
    Kind {
        queue: "delivery-confirm",
        priority: 0,
        percent: 85,
        tasks: 3,
        cpu_weight: 2.5,
        gang: false,
        run_ms: 1_000,
        decision_ms: 14,
        per_worker_ms: 0.2,
        permitted_percent: 70,
    },
];

/// Mean number of tasks of a job.
pub fn mean_tasks() -> f64 {
    let tasks = KINDS
        .iter()
        .map(|kind| kind.tasks as f64 * kind.percent as f64);
    tasks.sum::<f64>() / 100.0
}

/// Returns the kind of a job; every hundred consecutive jobs have the proportions of the kinds.
pub fn of_job(number: usize) -> &'static Kind {
    let position = number * 37 % 100;
    let mut cumulative_percent = 0;
    for kind in &KINDS {
        cumulative_percent += kind.percent;
        if position < cumulative_percent {
            return kind;
        }
    }
    unreachable!("the percentages add up to a hundred")
}

/// Returns the body of a job. Its processor demand is chosen so that the load uses the same
/// fraction of the cell at each rate.
pub fn body(kind: &Kind, workers: usize, starts_per_s: usize) -> Value {
    let weight_ms: f64 = KINDS
        .iter()
        .map(|kind| kind.percent as f64 * kind.tasks as f64 * kind.cpu_weight * kind.run_ms as f64)
        .sum();
    let jobs_per_s = starts_per_s as f64 / mean_tasks();
    let weight = weight_ms / 100.0 * jobs_per_s / 1_000.0;
    let capacity = workers as f64 * WORKER_CPU_MILLIS as f64;
    let cpu = (capacity * UTILIZATION / weight * kind.cpu_weight) as u64;
    json!({"task_spec": kind.run_ms.to_string(), "steps": [{
        "count": kind.tasks, "cpu": cpu.min(WORKER_CPU_MILLIS), "mem_mb": 1,
        "estimate_ms": kind.run_ms, "gang": kind.gang}]})
}

/// Host name in the routes of all queues.
pub const QUEUE_HOST: &str = "shop.example";

/// Returns the configuration that an operator would apply.
pub fn configuration() -> Value {
    let routes: Vec<Value> = KINDS
        .iter()
        .map(|kind| {
            json!({"name": kind.queue, "host": QUEUE_HOST,
                "path_prefix": format!("/{}/", kind.queue), "timeout_ms": 3_000,
                "target_latency_ms": 1_200, "priority": kind.priority, "service": "wheel-orders",
                "max_attempts": 4, "slack_factor": 2.0,
                "policy_service": {"decision_ms": kind.decision_ms,
                    "per_worker_ms": kind.per_worker_ms, "validity_ms": 2_500}})
        })
        .collect();
    json!({"version": 1, "routes": routes,
        "services": [{"name": "wheel-orders", "enforce_capacity": false}], "limits": {}})
}
