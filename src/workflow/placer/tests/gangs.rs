//! Tests of the placement of gangs, with and without a placement policy.

use std::time::Duration;

use super::fixture::{Fixture, JOB, stage, task};
use crate::resources::Resources;
use crate::workflow::calls::{HostContact, PolicyAnswer};
use crate::workflow::decisions::permits::MAX_WORKERS_PER_CALL;
use crate::workflow::placer::policy::Question;
use crate::workflow::records::RunOutcome;
use crate::workflow::spec::{StageKey, StageSpec, TaskKey};

/// Time from a question to its answer as seen by the placer.
const ANSWER_TIME: Duration = Duration::from_millis(550);

fn key() -> StageKey {
    task(0).stage
}

const WORKERS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn spec() -> StageSpec {
    StageSpec {
        gang: true,
        ..stage(5)
    }
}

/// Creates a term with a slow placement policy.
fn with_policy() -> Fixture {
    Fixture::with_policy(400.0, 6.0)
}

/// Lets hosts make contact, which can call the policy then.
fn make_contact(fixture: &mut Fixture, hosts: usize) {
    for host in 1..=hosts {
        let contact = HostContact {
            host: format!("10.0.0.{host}"),
            data_centre: "lowell-yard".to_owned(),
            stores: true,
        };
        fixture.term.record_contact(contact, fixture.now.at);
    }
}

/// Creates a term with a waiting gang that has reserved room for one member on each of five
/// workers.
fn waiting_gang() -> Fixture {
    let mut fixture = with_policy();
    make_contact(&mut fixture, 1);
    for worker in WORKERS {
        fixture.announce(worker);
    }
    fixture.submit(vec![spec()]);
    fixture.commit_all();
    fixture.term.stages[&key()].open_questions = 0;
    for worker in WORKERS {
        let held = fixture.term.reserve(&key(), &spec(), &worker.to_owned(), 1);
        assert!(held);
    }
    fixture
}

/// Lets the policy grant all workers of a question after the usual time.
fn answer(fixture: &mut Fixture, question: &Question) -> Vec<Question> {
    fixture.advance(ANSWER_TIME);
    answer_now(fixture, question)
}

fn answer_now(fixture: &mut Fixture, question: &Question) -> Vec<Question> {
    let granted = question.workers.iter();
    let granted = granted.map(|worker| (worker.clone(), "permit".to_owned()));
    let answer = PolicyAnswer {
        granted: granted.collect(),
        validity_ms: Some(2_000),
    };
    let (now, sent_at) = (fixture.now, question.decided_at);
    fixture
        .term
        .handle_policy_answer(question, sent_at, Ok(answer), now)
}

/// Guards against a gang that renews the permits of its workers one after the other: an answer
/// takes 550 ms and a permit is usable for 1,550 ms, so that the first of five expires again before
/// the last is granted, and the gang never starts in an idle cell (LOST on trouble-3 --seed
/// 171049560099 and quiet-1 of the Authority).
#[test]
fn permits_of_a_gang_are_renewed_together() {
    let mut fixture = waiting_gang();
    let stage = &mut fixture.term.stages[&key()];
    for (position, worker) in WORKERS.into_iter().enumerate() {
        let expires_at = fixture.now.at + ANSWER_TIME * position as u32;
        let worker = worker.to_owned();
        let granted = [(worker.clone(), "permit".to_owned())];
        stage.permits.record(&[worker], &granted, expires_at);
    }
    for _ in 0..30 {
        fixture.advance(Duration::from_millis(100));
        let now = fixture.now;
        let mut questions = fixture.term.schedule_gang(&key(), true, true, now);
        for _ in 0..5 {
            let Some(asked) = questions.pop() else {
                break;
            };
            questions.extend(answer(&mut fixture, &asked));
        }
        if fixture.term.stages[&key()].waiting.is_empty() {
            return;
        }
    }
    panic!("the gang waits for permits with all its room free");
}

/// A gang of which a worker has room for one member.
fn wide_gang(tasks: u32) -> StageSpec {
    StageSpec {
        gang: true,
        resources: Resources {
            cpu_millis: 3_000,
            memory_mib: 100,
            accelerators: 0,
        },
        ..stage(tasks)
    }
}

/// Creates a term with idle workers and waiting gangs, which have permits for all of them that have
/// expired.
fn gangs_with_expired_permits(workers: usize, gangs: &[StageSpec]) -> Fixture {
    let mut fixture = with_policy();
    let workers: Vec<String> = (0..workers).map(|number| format!("w{number}")).collect();
    for worker in &workers {
        fixture.announce(worker);
    }
    make_contact(&mut fixture, 4 * gangs.len());
    for (number, gang) in gangs.iter().enumerate() {
        fixture.submit_without_pass(&format!("gang{number}"), vec![gang.clone()]);
    }
    fixture.commit_all();
    let granted = workers.iter().cloned();
    let granted: Vec<_> = granted
        .map(|worker| (worker, "permit".to_owned()))
        .collect();
    for stage in fixture.term.stages.values_mut() {
        stage.permits.record(&workers, &granted, fixture.now.at);
    }
    fixture
}

/// Guards against accepted gangs that wait in an idle cell: permits that had expired were renewed
/// only for the three gangs that may gather room, one gang after the other for each of them (LOST on
/// scale-2 of tuul-orders-grown).
#[test]
fn gangs_with_free_room_do_not_wait_for_those_that_gather_room() {
    const GANGS: usize = 12;
    let mut fixture = gangs_with_expired_permits(3 * GANGS, &vec![wide_gang(3); GANGS]);
    // Each gang needs one answer.
    let questions = fixture.term.schedule(fixture.now);
    fixture.advance(ANSWER_TIME);
    for question in &questions {
        let next = answer_now(&mut fixture, question);
        assert!(next.is_empty(), "a gang asks again");
    }
    fixture.commit_all();
    assert_eq!(fixture.starts(), 3 * GANGS);
}

/// Guards against a gang that prefers one rack and never starts once its permits have expired: such
/// a gang reserves no room, and permits were renewed for reserved room only.
#[test]
fn permits_of_a_gang_that_prefers_one_rack_are_renewed() {
    let gang = StageSpec {
        prefers_one_rack: true,
        ..wide_gang(3)
    };
    let mut fixture = gangs_with_expired_permits(3, &[gang]);
    for question in fixture.term.schedule(fixture.now) {
        assert!(answer(&mut fixture, &question).is_empty());
    }
    fixture.commit_all();
    assert_eq!(fixture.starts(), 3);
}

/// Guards against a question about more workers than the policy answers, which a gang on so many
/// workers would repeat for ever.
#[test]
fn a_gang_on_more_workers_than_a_question_names_starts() {
    const TASKS: usize = 120;
    let mut fixture = gangs_with_expired_permits(TASKS, &[wide_gang(TASKS as u32)]);
    for _ in 0..3 {
        let mut questions = fixture.term.schedule(fixture.now);
        while let Some(asked) = questions.pop() {
            assert!(asked.workers.len() <= MAX_WORKERS_PER_CALL);
            questions.extend(answer(&mut fixture, &asked));
        }
        fixture.advance(Duration::from_millis(100));
    }
    fixture.commit_all();
    assert_eq!(fixture.starts(), TASKS);
}

/// Guards against a late gang that keeps room which a gang in time needs: at high load late gangs
/// reserved 10% of the cell, which made other gangs late in turn.
#[test]
fn gangs_in_time_use_the_room_that_late_ones_reserved() {
    let mut fixture = Fixture::new();
    fixture.announce("a");
    fixture.announce("b");
    let gang = |members| StageSpec {
        gang: true,
        ..stage(members)
    };
    fixture.submit_as("00c0ffee00000001", vec![stage(4)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 4);
    fixture.orders.clear();
    fixture.submit(vec![gang(5)]);
    assert_eq!(fixture.term.load(fixture.now.at).held_millis, 4_000);
    fixture.advance(Duration::from_secs(5));
    fixture.submit_as("00c0ffee00000002", vec![gang(3)]);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 3);
}

/// Guards against late completion of nearly all gangs under a lasting overload: gangs arrive twice
/// as fast as the cell can run them, and run 0.6 times longer than declared. Ordered by latest
/// start, each would start just in time for its declared run time and end late; ordered newest
/// first, half of the gangs are in time.
#[test]
fn half_of_the_gangs_are_in_time_at_twice_the_load() {
    let mut fixture = Fixture::new();
    fixture.announce("a");
    let gang = StageSpec {
        gang: true,
        ..stage(4)
    };
    let run_time = Duration::from_millis(1_600);
    let mut in_time = 0;
    for second in 0..40 {
        for half in 0..2 {
            fixture.submit_as(&format!("gang{second}x{half}"), vec![gang.clone()]);
            fixture.advance(run_time / 2);
        }
        let running: Vec<TaskKey> = fixture.term.runs.keys().cloned().collect();
        for task in &running {
            let job = &fixture.term.state.jobs[&task.stage.job];
            let took_ms = fixture.now.unix_ms - job.accepted_unix_ms;
            in_time += usize::from(task.index == 0 && took_ms <= 3_000);
            let now = fixture.now;
            fixture
                .term
                .finish_run(task, RunOutcome::Succeeded, String::new(), now);
        }
        fixture.term.schedule(fixture.now);
        fixture.commit_all();
    }
    assert!(in_time >= 30, "{in_time} of 80 gangs were in time");
}

/// Guards against a report that does not tell a gang without room from one without permits.
#[test]
fn the_report_tells_what_a_gang_waits_for() {
    let mut fixture = waiting_gang();
    let granted = WORKERS.map(|worker| (worker.to_owned(), "permit".to_owned()));
    let workers = WORKERS.map(str::to_owned);
    let expires_at = fixture.now.at + Duration::from_millis(2_000);
    let permits = &mut fixture.term.stages[&key()].permits;
    permits.record(&workers, &granted[..2], expires_at);
    let needs = fixture.term.gang_needs(&key(), 0, fixture.now).unwrap();
    assert_eq!((needs.known_workers, needs.granted_workers), (5, 2));
    assert_eq!((needs.permitted_workers, needs.permitted_room), (2, 6));
    assert_eq!((needs.tasks, needs.reserved), (5, 5));
    fixture.advance(Duration::from_millis(2_000));
    let needs = fixture.term.gang_needs(&key(), 0, fixture.now).unwrap();
    assert_eq!((needs.permitted_workers, needs.permitted_room), (0, 0));
    assert_eq!((needs.granted_workers, needs.granted_room), (2, 6));
}

/// Guards against a start order with a permit that has expired: the placer was paused after the
/// policy had answered, and counted the validity from the end of the pause.
#[test]
fn an_answer_that_waited_longer_than_its_permits_are_valid_grants_nothing() {
    let mut fixture = with_policy();
    make_contact(&mut fixture, 1);
    fixture.announce("a");
    fixture.submit_without_pass(JOB, vec![stage(1)]);
    let mut questions = fixture.term.schedule(fixture.now);
    let question = questions.pop().expect("the worker needs a permit");
    let sent_at = fixture.now.at;
    fixture.advance(Duration::from_secs(3));
    make_contact(&mut fixture, 1);
    let answer = PolicyAnswer {
        granted: vec![("a".to_owned(), "token".to_owned())],
        validity_ms: None,
    };
    let now = fixture.now;
    let next = fixture
        .term
        .handle_policy_answer(&question, sent_at, Ok(answer), now);
    fixture.commit_all();
    assert_eq!(fixture.starts(), 0);
    assert!(!next.is_empty(), "the policy is asked again");
}
