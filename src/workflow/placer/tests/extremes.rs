//! Random sequences of messages with numbers at the limits of their types.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::policy::Question;
use super::fixture::*;
use crate::resources::Resources;
use crate::workflow::calls::{
    Call, CallFailure, HostContact, ListedEnd, ListedRun, OrderAnswer, OrderOutcome, PolicyAnswer,
    WorkerReport,
};
use crate::workflow::queues::{PlacementPolicy, QueueAddress, QueueConfiguration};
use crate::workflow::records::RunOutcome;
use crate::workflow::relay::messages::{RelayEvent, RelayEventKind};
use crate::workflow::spec::{Repetition, StageKey, StageSpec, TaskKey, WorkflowSpec};

const SEEDS: u64 = 500;
const STEPS: usize = 80;
const JOBS: [&str; 4] = ["j0", "j1", "j2", "j3"];
const WORKERS: [&str; 3] = ["w", "v", "u"];

/// Returns a number that is often at a limit of its type.
fn number(random: &mut StdRng) -> u64 {
    let limits = [
        0,
        1,
        2,
        3,
        1_000,
        5_000,
        u64::MAX / 2,
        u64::MAX - 1,
        u64::MAX,
    ];
    if random.random_bool(0.2) {
        return random.random();
    }
    limits[random.random_range(0..limits.len())]
}

fn small_number(random: &mut StdRng) -> u32 {
    let limits = [0, 1, 1, 2, 3, u32::MAX];
    limits[random.random_range(0..limits.len())]
}

fn fraction(random: &mut StdRng) -> f64 {
    let limits = [0.0, -1.0, 0.5, 2.0, 1e9, 1e300, -1e300, f64::MAX, f64::NAN];
    limits[random.random_range(0..limits.len())]
}

fn resources(random: &mut StdRng) -> Resources {
    Resources {
        cpu_millis: number(random),
        memory_mib: number(random),
        accelerators: number(random),
    }
}

fn pick<'a>(random: &mut StdRng, names: &[&'a str]) -> &'a str {
    names[random.random_range(0..names.len())]
}

fn any_task(random: &mut StdRng) -> TaskKey {
    TaskKey {
        stage: StageKey {
            job: pick(random, &JOBS).to_owned(),
            occurrence: small_number(random),
            stage: small_number(random),
        },
        index: small_number(random),
    }
}

fn any_run(random: &mut StdRng) -> ListedRun {
    ListedRun {
        task: any_task(random),
        run: small_number(random),
        checkpoint: String::new(),
        progress_percent: random.random_bool(0.5).then(|| random.random()),
    }
}

fn any_outcome(random: &mut StdRng) -> RunOutcome {
    let outcomes = [
        RunOutcome::Succeeded,
        RunOutcome::Failed,
        RunOutcome::Stopped,
        RunOutcome::Lost,
        RunOutcome::GangBroken,
        RunOutcome::GangIncomplete,
    ];
    outcomes[random.random_range(0..outcomes.len())]
}

fn any_stage(random: &mut StdRng) -> StageSpec {
    StageSpec {
        task_count: random.random_range(1..4),
        resources: if random.random_bool(0.5) {
            stage(1).resources
        } else {
            resources(random)
        },
        estimate_ms: number(random),
        gang: random.random_bool(0.3),
        prefers_one_rack: random.random_bool(0.3),
        max_tasks_per_worker: random.random_bool(0.3).then(|| small_number(random)),
        lasting: random.random_bool(0.2),
        uses_leftover_cpu: random.random_bool(0.2),
        response_time_target_ms: random.random_bool(0.3).then(|| number(random)),
        ..StageSpec::default()
    }
}

fn any_spec(random: &mut StdRng) -> WorkflowSpec {
    let mut stages: Vec<StageSpec> = Vec::new();
    for index in 0..random.random_range(1..4) {
        let mut stage = any_stage(random);
        if index > 0 && random.random_bool(0.5) {
            stage.depends_on = vec![index - 1];
        }
        stages.push(stage);
    }
    WorkflowSpec {
        payload: String::new(),
        stages,
        repetition: random.random_bool(0.3).then(|| Repetition {
            count: random.random_range(1..4),
            first_due_unix_ms: number(random),
            interval_ms: number(random),
        }),
    }
}

fn any_configuration(random: &mut StdRng, version: u64) -> QueueConfiguration {
    let mut configuration = configuration(version);
    let queue = &mut configuration.queues[0];
    queue.priority = small_number(random);
    queue.max_attempts = small_number(random);
    queue.slack_factor = fraction(random);
    queue.target_latency_ms = number(random);
    queue.timeout_ms = number(random);
    queue.placement_policy = random.random_bool(0.5).then(|| PlacementPolicy {
        decision_ms: fraction(random),
        per_worker_ms: fraction(random),
        validity_ms: number(random),
    });
    configuration
}

fn any_report(random: &mut StdRng, incarnation: u64) -> WorkerReport {
    let (runs, ends) = (random.random_range(0..4), random.random_range(0..4));
    let running = (0..runs).map(|_| any_run(random)).collect();
    let ends = (0..ends).map(|_| ListedEnd {
        number: number(random),
        run: any_run(random),
        outcome: any_outcome(random),
    });
    let ends = ends.collect();
    WorkerReport {
        incarnation,
        clock_ms: number(random),
        ends,
        running,
        complete: random.random_bool(0.5),
    }
}

fn any_event_kind(random: &mut StdRng, incarnation: u64) -> RelayEventKind {
    let (task, run) = (any_task(random), small_number(random));
    let answer = OrderAnswer {
        outcome: OrderOutcome::Done,
        clock_ms: random.random_bool(0.7).then(|| number(random)),
    };
    match random.random_range(0..6) {
        0 => RelayEventKind::StartAnswered {
            task,
            run,
            answer,
            earlier_attempt_open: false,
        },
        1 => RelayEventKind::StopAnswered { task, run, answer },
        2 => RelayEventKind::StartUnanswered {
            task,
            run,
            may_have_arrived: random.random_bool(0.5),
        },
        3 => RelayEventKind::Silent {
            failure: CallFailure::PortClosed,
        },
        _ => RelayEventKind::Listed {
            granted_at_ms: number(random),
            report: any_report(random, incarnation),
            outdated_generation: random.random_bool(0.2).then_some(number(random) as u32),
        },
    }
}

/// Handles one random message.
fn step(fixture: &mut Fixture, random: &mut StdRng, questions: &mut Vec<Question>) {
    let now = fixture.now;
    let worker = pick(random, &WORKERS).to_owned();
    match random.random_range(0..9) {
        0 => {
            let mut heartbeat = heartbeat(&worker, random.random_range(1..3), number(random));
            if random.random_bool(0.5) {
                heartbeat.record.capacity = resources(random);
            }
            fixture.call(Call::Heartbeat(Box::new(heartbeat)));
        }
        1 => fixture.call(Call::Submit {
            target: QueueAddress {
                host: "shop.example".to_owned(),
                path_prefix: format!("/plans/{}", pick(random, &JOBS)),
            },
            spec: Box::new(any_spec(random)),
        }),
        2 => {
            let version = fixture.term.state.version() + 1;
            let configuration = any_configuration(random, version);
            fixture.call(Call::ReplaceQueues(Box::new(configuration)));
        }
        3 | 4 => {
            let live = fixture.term.workers.get(&worker);
            let incarnation = live.map_or(1, |live| live.record.incarnation);
            let event = RelayEvent {
                worker,
                incarnation,
                kind: any_event_kind(random, incarnation),
            };
            fixture
                .term
                .handle_relay_event(&"entry-1".to_owned(), event, now);
        }
        5 => {
            if let Some(question) = questions.pop() {
                let granted = question.workers.iter();
                let answer = PolicyAnswer {
                    granted: granted.map(|id| (id.clone(), "t".to_owned())).collect(),
                    validity_ms: random.random_bool(0.7).then(|| number(random)),
                };
                let next = fixture
                    .term
                    .handle_policy_answer(&question, now.at, Ok(answer), now);
                questions.extend(next);
            }
        }
        6 => {
            fixture.term.tick(now);
            questions.extend(fixture.term.schedule(now));
        }
        7 => {
            let orders = std::mem::take(&mut fixture.orders);
            fixture.term.pending_orders.extend(orders);
            fixture.term.next_instructions(now);
        }
        _ => fixture.advance(Duration::from_millis(random.random_range(0..4_000))),
    }
    let contact = HostContact {
        host: "entry-1".to_owned(),
        data_centre: "lowell-yard".to_owned(),
        stores: false,
    };
    fixture.term.record_contact(contact, fixture.now.at);
    fixture.commit_all();
}

/// Guards against numbers of a job, a configuration, a worker or the placement policy that overflow:
/// an occurrence began before it was due, one estimate changed the backlog of all other jobs, and a
/// lease ended in the past.
#[test]
fn numbers_at_the_limits_of_their_types_do_not_overflow() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fixture = Fixture::new();
        let mut questions = Vec::new();
        for _ in 0..STEPS {
            step(&mut fixture, &mut random, &mut questions);
        }
    }
}
