//! A customer of a cell with faults, whose key and cap change, and checks of both.

use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};

use super::run_record::recorded_runs;
use super::{Cell, Runner, await_some, configuration};

/// Processors of a task, in thousandths of a core.
const TASK_MILLIS: u64 = 100;
/// Cap of each change, in tasks; the last one stays. A job of two tasks reaches the first cap, and the
/// lower one is in force for longer than `ORDER_TIME`.
const CAPS: [u64; 5] = [2, 1, 1, 1, 2];
/// Longest time between the decision to start a task and its start: the longest lease of a worker in
/// the settings of the tests, after which it refuses the order.
const ORDER_TIME: Duration = Duration::from_secs(10);

/// A cap with the times between which it may decide about a start.
struct SentCap {
    tasks: usize,
    sent_at: Instant,
    /// Acknowledgement of the next cap; `None` for the last one.
    replaced_at: Option<Instant>,
}

/// The customer that submits all jobs of a cell.
#[derive(Default)]
pub struct TestCustomer {
    /// Number of the key and of the cap in the latest configuration.
    changes: usize,
    change_is_due: bool,
    sent: Vec<SentCap>,
}

fn key(number: usize) -> String {
    format!("key-{number}")
}

impl TestCustomer {
    /// Revokes the key in favour of a new one, and changes the cap, with the next configuration.
    pub fn change(&mut self) {
        self.change_is_due = true;
    }

    /// Returns the next configuration, which is about to be sent.
    pub fn document(&mut self, version: u64) -> Value {
        self.changes += usize::from(std::mem::take(&mut self.change_is_due));
        let cap = CAPS[self.changes.min(CAPS.len() - 1)];
        if self.sent.len() == self.changes {
            self.sent.push(SentCap {
                tasks: cap as usize,
                sent_at: Instant::now(),
                replaced_at: None,
            });
        }
        let mut document = configuration(version);
        document["tenants"] = json!([{"name": "acme", "api_keys": [key(self.changes)], "weight": 1.5,
            "priority": 0, "cap": {"cpu": cap * TASK_MILLIS, "mem_mb": 0, "gpu": 0}}]);
        document
    }

    /// Notes that the last configuration was acknowledged, and checks that the key before is refused.
    pub fn acknowledged(&mut self, cell: &Cell, job: &Value) {
        let is_known =
            cell.key.lock().unwrap().replace(key(self.changes)) == Some(key(self.changes));
        if is_known || self.changes == 0 {
            return;
        }
        let now = Instant::now();
        self.sent[self.changes - 1].replaced_at = Some(now);
        let revoked = key(self.changes - 1);
        let path = format!("/plans/revoked-{}", self.changes);
        let status = await_some(|| {
            let answer = cell.caller_with_key(&revoked, Method::POST, &path, job)?;
            (answer.status < 500).then_some(answer.status)
        });
        assert_eq!(status, 401, "{revoked} after its revocation");
    }

    /// Checks that no submission with a revoked key ran, and that no start brought what the customer
    /// has running above its cap. No excess is tolerated. A start may follow a cap that was replaced
    /// less than `ORDER_TIME` before, since its order may have been sent under it.
    pub fn check(&self, workers: &[&Runner]) {
        let runs = recorded_runs(workers);
        let mut most = 0;
        let mut starts_at_cap = 0;
        for (position, (task, started_at, _)) in runs.iter().enumerate() {
            assert!(!task.starts_with("revoked"), "{task} has run");
            let earlier = runs[..position].iter();
            let at_work =
                earlier.filter(|(_, _, ended_at)| ended_at.is_none_or(|at| at > *started_at));
            let running = at_work.count() + 1;
            let in_force = self.sent.iter().filter(|cap| {
                let replaced_at = cap.replaced_at;
                cap.sent_at <= *started_at
                    && replaced_at.is_none_or(|at| at + ORDER_TIME >= *started_at)
            });
            let cap = in_force.map(|cap| cap.tasks).max().unwrap_or(0);
            assert!(
                running <= cap,
                "{running} runs under a cap of {cap} with {task}"
            );
            most = most.max(running);
            starts_at_cap += usize::from(running == cap);
        }
        println!(
            "{} runs, {most} at most at a time, {starts_at_cap} starts reached the cap",
            runs.len()
        );
    }
}
