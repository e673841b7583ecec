//! Tests of the shares of customers on a simulated cell.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::term::Term;
use super::fixture::{Fixture, stage};
use super::grown_cell::{KINDS, STEP, SimulatedCell};
use crate::resources::Resources;
use crate::workflow::calls::Call;
use crate::workflow::customers::{Customer, CustomerConfiguration};
use crate::workflow::spec::StageSpec;

const WORKERS: usize = 60;
const CUSTOMERS: usize = 20;
/// Load of the customers other than the hot one together, as a part of the cell.
const OTHERS_LOAD: f64 = 0.75;
const HOT: usize = 7;
const HOT_FACTOR: f64 = 10.0;
const WARM_UP: Duration = Duration::from_secs(8);
/// Time in which the hot customer sends more than usual.
const BURST: Duration = Duration::from_secs(20);
const DRAIN: Duration = Duration::from_secs(30);
/// Part of the load of a customer by kind of job.
const MIX: [f64; KINDS] = [0.25, 0.35, 0.4];
/// Least and greatest number of tasks, processors of a task in thousandths of a core, and run time.
const TASKS: [(u32, u32); KINDS] = [(4, 8), (8, 16), (3, 3)];
const CPU_MILLIS: [(u64, u64); KINDS] = [(3_000, 6_000), (1_700, 3_500), (2_500, 5_000)];
const ESTIMATE_MS: [(u64, u64); KINDS] = [(5_000, 6_000), (2_700, 2_700), (640, 1_000)];
/// Time for which a run occupies its room beyond its estimate, as simulated.
const RUN_OVERHEAD_MS: f64 = 300.0;
/// Part of its work that a customer within its share is served, compared with a cell without the hot
/// customer.
const SERVED_AS_WITHOUT_HOT: f64 = 0.95;

/// Source of the jobs of one customer. Each has its own random numbers, so that the jobs of one do
/// not depend on what the others send.
struct Caller {
    weight: f64,
    usual_load: f64,
    burst_load: f64,
    random: StdRng,
    due: [f64; KINDS],
    submitted: usize,
    /// Declared work that was sent in the burst.
    sent: u64,
}

/// What came of the jobs that a customer sent in the burst.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    weight: f64,
    sent: u64,
    served: u64,
    in_time: u64,
}

struct Outcome {
    customers: Vec<Served>,
    /// Mean part of the cell that was allocated in the burst.
    allocated: f64,
    /// Mean part of the cell on which the hot customer had runs in the burst.
    hot_running: f64,
    /// Greatest part of the cell that stayed free for a second while small tasks waited.
    free_beside_waiting: f64,
}

impl Outcome {
    /// Jain's index of the served work over the weight among customers with unmet demand.
    fn jain(&self) -> f64 {
        let unmet = self.customers.iter();
        let unmet = unmet.filter(|entry| (entry.served as f64) < 0.98 * entry.sent as f64);
        let rates: Vec<f64> = unmet
            .map(|entry| entry.served as f64 / entry.weight)
            .collect();
        let sum: f64 = rates.iter().sum();
        let squares: f64 = rates.iter().map(|rate| rate * rate).sum();
        if squares == 0.0 {
            return 1.0;
        }
        sum * sum / (rates.len() as f64 * squares)
    }

    fn unmet(&self) -> usize {
        let unmet = self.customers.iter();
        let unmet = unmet.filter(|entry| (entry.served as f64) < 0.98 * entry.sent as f64);
        unmet.count()
    }

    /// Part of the work of all customers but the hot one that was served, and that was in time.
    fn of_others(&self) -> (f64, f64) {
        let mut sum = Served::default();
        for (index, entry) in self.customers.iter().enumerate() {
            if index != HOT {
                sum.sent += entry.sent;
                sum.served += entry.served;
                sum.in_time += entry.in_time;
            }
        }
        let part = |work: u64| work as f64 / sum.sent as f64;
        (part(sum.served), part(sum.in_time))
    }

    fn report(&self, name: &str) {
        let (served, in_time) = self.of_others();
        let hot = &self.customers[HOT];
        let least = self.customers.iter().enumerate();
        let least = least.filter(|(index, _)| *index != HOT);
        let least = least.map(|(_, entry)| entry.served as f64 / entry.sent as f64);
        println!(
            "{name}: jain {:.3} of {} with unmet demand; others served {served:.3} (least {:.3}), in time {in_time:.3}; \
             hot served {:.3}, running {:.3}; allocated {:.3}; free beside waiting {:.3}",
            self.jain(),
            self.unmet(),
            least.fold(1.0, f64::min),
            hot.served as f64 / hot.sent as f64,
            self.hot_running,
            self.allocated,
            self.free_beside_waiting,
        );
    }
}

fn customer_name(index: usize) -> String {
    format!("customer-{index}")
}

fn callers(weight: impl Fn(usize) -> f64, loads: impl Fn(usize) -> (f64, f64)) -> Vec<Caller> {
    let caller = |index| Caller {
        weight: weight(index),
        usual_load: loads(index).0,
        burst_load: loads(index).1,
        random: StdRng::seed_from_u64(1_000 + index as u64),
        due: [0.0; KINDS],
        submitted: 0,
        sent: 0,
    };
    (0..CUSTOMERS).map(caller).collect()
}

/// One of the customers sends a multiple of its usual load in the burst.
fn one_hot(factor: f64) -> Vec<Caller> {
    let usual = OTHERS_LOAD / (CUSTOMERS - 1) as f64;
    callers(
        |_| 1.0,
        |index| (usual, if index == HOT { factor * usual } else { usual }),
    )
}

fn cell_with_customers(callers: &[Caller], separate: bool) -> SimulatedCell {
    let mut cell = SimulatedCell::new(WORKERS, 1.0);
    cell.end_arrivals();
    let mut customers = Vec::new();
    for (index, caller) in callers.iter().enumerate() {
        if separate || index == 0 {
            customers.push(Customer {
                name: customer_name(index),
                keys: vec![customer_name(index)],
                weight: caller.weight,
                cap: Resources::ZERO,
            });
        }
    }
    let mut queues = cell.fixture.term.state.configuration.clone().unwrap();
    queues.version += 1;
    cell.fixture.call(Call::ReplaceCustomers {
        queues: Box::new(queues),
        customers: Box::new(CustomerConfiguration::new(customers, []).unwrap()),
    });
    cell.fixture.commit_all();
    cell
}

/// Returns the work that a job of a kind occupies on average, in milliseconds of a core.
fn mean_work_ms(kind: usize) -> f64 {
    let tasks = f64::from(TASKS[kind].0 + TASKS[kind].1) / 2.0;
    let cores = (CPU_MILLIS[kind].0 + CPU_MILLIS[kind].1) as f64 / 2_000.0;
    let estimate_ms = (ESTIMATE_MS[kind].0 + ESTIMATE_MS[kind].1) as f64 / 2.0;
    tasks * cores * (estimate_ms + RUN_OVERHEAD_MS)
}

fn submit_due(
    cell: &mut SimulatedCell,
    callers: &mut [Caller],
    capacity_cores: f64,
    in_burst: bool,
    separate: bool,
) {
    for (index, caller) in callers.iter_mut().enumerate() {
        let load = if in_burst {
            caller.burst_load
        } else {
            caller.usual_load
        };
        for kind in 0..KINDS {
            let cores = load * MIX[kind] * capacity_cores;
            caller.due[kind] += cores * STEP.as_millis() as f64 / mean_work_ms(kind);
            while caller.due[kind] >= 1.0 {
                caller.due[kind] -= 1.0;
                caller.submitted += 1;
                let mut draw = |range: (u64, u64)| caller.random.random_range(range.0..=range.1);
                let tasks = draw((TASKS[kind].0.into(), TASKS[kind].1.into())) as u32;
                let cpu_millis = draw(CPU_MILLIS[kind]);
                let spec = StageSpec {
                    gang: kind == 0,
                    estimate_ms: draw(ESTIMATE_MS[kind]),
                    resources: Resources {
                        cpu_millis,
                        memory_mib: cpu_millis,
                        accelerators: 0,
                    },
                    ..stage(tasks)
                };
                let phase = if in_burst { "burst" } else { "usual" };
                if in_burst {
                    caller.sent += u64::from(tasks) * cpu_millis * spec.estimate_ms;
                }
                let name = format!("{index}-{phase}-{}", caller.submitted);
                let key = customer_name(if separate { index } else { 0 });
                cell.submit_stage(kind, &name, Some(&key), spec);
            }
        }
    }
}

/// Replays callers on a cell in which each is a customer of its own, or in which all are one customer.
fn replay(mut callers: Vec<Caller>, separate: bool) -> Outcome {
    let mut cell = cell_with_customers(&callers, separate);
    let capacity_millis = cell.fixture.term.ledger.capacity().cpu_millis as f64;
    let begun_at = cell.fixture.now.at;
    let (mut samples, mut allocated, mut hot_running) = (0.0, 0.0, 0.0);
    let mut free_beside_waiting: f64 = 0.0;
    let mut free_in_second = f64::INFINITY;
    while cell.fixture.now.at < begun_at + WARM_UP + BURST + DRAIN {
        let elapsed = cell.fixture.now.at - begun_at;
        let in_burst = elapsed >= WARM_UP && elapsed < WARM_UP + BURST;
        let capacity_cores = capacity_millis / 1_000.0;
        submit_due(&mut cell, &mut callers, capacity_cores, in_burst, separate);
        cell.run(STEP);
        if !in_burst {
            continue;
        }
        let term = &cell.fixture.term;
        let free = term.ledger.free_total().cpu_millis as f64 / capacity_millis;
        samples += 1.0;
        allocated += 1.0 - free;
        if let Some(hot) = term.customers.get(&customer_name(HOT)) {
            hot_running += hot.running.cpu_millis as f64 / capacity_millis;
        }
        let mut stages = term.stages.values();
        let small_waits = stages.any(|stage| {
            !stage.waiting.is_empty() && stage.needs.priority == 0 && stage.open_questions == 0
        });
        free_in_second = if small_waits {
            f64::min(free_in_second, free)
        } else {
            0.0
        };
        if (samples as u64).is_multiple_of(250) {
            free_beside_waiting = free_beside_waiting.max(free_in_second);
            free_in_second = f64::INFINITY;
        }
    }
    let customers = callers.iter().enumerate().map(|(index, caller)| {
        let mut entry = Served {
            weight: caller.weight,
            sent: caller.sent,
            ..Served::default()
        };
        let prefix = format!("{index}-burst-");
        for (_, job) in cell.jobs.iter().filter(|(id, _)| id.starts_with(&prefix)) {
            entry.served += if job.served { job.work } else { 0 };
            entry.in_time += if job.in_time { job.work } else { 0 };
        }
        entry
    });
    Outcome {
        customers: customers.collect(),
        allocated: allocated / samples,
        hot_running: hot_running / samples,
        free_beside_waiting,
    }
}

/// Guards against customers that pay for one that sends ten times its usual load, and against room
/// that stays idle because its share is not lent.
#[test]
fn a_hot_customer_does_not_slow_down_the_others() {
    let quiet = replay(one_hot(1.0), true);
    quiet.report("without a hot customer");
    let before = replay(one_hot(HOT_FACTOR), false);
    before.report("hot, all in one customer");
    let after = replay(one_hot(HOT_FACTOR), true);
    after.report("hot, with shares");
    for (index, (alone, beside)) in quiet.customers.iter().zip(&after.customers).enumerate() {
        assert_eq!(alone.sent == beside.sent, index != HOT);
        let served = beside.served as f64 / alone.served as f64;
        assert!(
            index == HOT || served >= SERVED_AS_WITHOUT_HOT,
            "customer {index} is served {served:.3} of its work without the hot customer"
        );
    }
    // The same work is sent: what one customer may not use, the others or their lent shares do.
    assert!(after.allocated >= SERVED_AS_WITHOUT_HOT * before.allocated);
    assert!(
        after.hot_running >= 2.0 / CUSTOMERS as f64,
        "the rest is lent"
    );
}

/// Guards against jobs of customers within their share that end late because of a hot one.
#[test]
fn jobs_beside_a_hot_customer_end_in_time() {
    let quiet = replay(one_hot(1.0), true);
    let after = replay(one_hot(HOT_FACTOR), true);
    let in_time = after.of_others().1 / quiet.of_others().1;
    assert!(
        in_time >= SERVED_AS_WITHOUT_HOT,
        "{in_time:.3} of the work that is in time without the hot customer"
    );
}

/// Guards against a full cell that is not divided by weight among customers that all send more than
/// their share.
#[test]
fn a_full_cell_is_divided_by_weight() {
    let weight = |index: usize| if index.is_multiple_of(4) { 3.0 } else { 1.0 };
    let weights: f64 = (0..CUSTOMERS).map(weight).sum();
    let loads = |index: usize| {
        let share = weight(index) / weights;
        (
            0.5 * share,
            share * if index.is_multiple_of(5) { 6.0 } else { 1.5 },
        )
    };
    let before = replay(callers(weight, loads), false);
    before.report("full, all in one customer");
    let after = replay(callers(weight, loads), true);
    after.report("full, with shares");
    assert!(after.jain() > before.jain(), "{:.3}", after.jain());
    assert!(after.allocated >= SERVED_AS_WITHOUT_HOT * before.allocated);
}

/// Guards against sums of a customer that differ from its stages and runs, and that a new placer does
/// not derive again: shares and forecasts would be wrong for the rest of the term.
#[test]
fn the_sums_of_a_customer_are_those_of_its_stages() {
    let mut callers = one_hot(HOT_FACTOR);
    let mut cell = cell_with_customers(&callers, true);
    for _ in 0..1_500 {
        submit_due(&mut cell, &mut callers, 1_440.0, true, true);
        cell.run(STEP);
    }
    let check = |term: &Term| {
        for (index, live) in term.customers.values().enumerate() {
            let stages = term.stages.values();
            let own = stages.filter(|stage| stage.needs.customer == Some(index));
            let mut waiting_millis = 0;
            for stage in own.filter(|stage| !stage.too_late) {
                waiting_millis += stage.waiting.len() as u64 * stage.needs.amount.cpu_millis;
            }
            assert_eq!(live.waiting.cpu_millis, waiting_millis);
            assert_eq!(live.waiting_work.before_ms(2) > 0, waiting_millis > 0);
        }
    };
    check(&cell.fixture.term);
    let hot = &cell.fixture.term.customers[&customer_name(HOT)];
    assert!(hot.is_over_share && hot.waiting.cpu_millis > 0);
    let running = hot.running;
    let successor = Fixture::with_state(cell.fixture.term.state);
    check(&successor.term);
    assert_eq!(
        successor.term.customers[&customer_name(HOT)].running,
        running
    );
}

/// Guards against a customer whose backlog makes the placer refuse the jobs of others, and against a
/// hot customer that is not refused.
#[test]
fn a_hot_customer_is_refused_because_of_its_own_backlog() {
    let mut cell = cell_with_customers(&one_hot(1.0), true);
    let wide = StageSpec {
        estimate_ms: 3_000,
        ..stage(400)
    };
    let hot = customer_name(HOT);
    for number in 0..40 {
        cell.submit_stage(1, &format!("hot-{number}"), Some(&hot), wide.clone());
    }
    let accepted = cell.jobs.len();
    assert!(
        (2..40).contains(&accepted),
        "{accepted} of the hot customer"
    );
    cell.submit_stage(1, "more", Some(&hot), wide.clone());
    assert_eq!(cell.jobs.len(), accepted);
    for index in (0..CUSTOMERS).filter(|index| *index != HOT) {
        let key = customer_name(index);
        cell.submit_stage(1, &format!("other-{index}"), Some(&key), stage(4));
    }
    assert_eq!(cell.jobs.len(), accepted + CUSTOMERS - 1);
    // The order of a pass follows the shares once the hot customer has the whole cell.
    cell.run(3 * STEP);
    let now = cell.fixture.now;
    let term = &mut cell.fixture.term;
    term.update_shares();
    let order = term.ranked_stages(now, true);
    let over = order.iter().map(|entry| term.is_over_share(&entry.needs));
    assert!(over.is_sorted());
}
