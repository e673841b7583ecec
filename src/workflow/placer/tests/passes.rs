//! Tests of the changes that make a scheduling pass due.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::fixture::*;
use crate::workflow::calls::{Call, CallFailure, HostContact};
use crate::workflow::decisions::ranking::{Waiting, rank};
use crate::workflow::records::RunOutcome;

/// Creates a term with one running task, in which no scheduling pass is due since the latest pass
/// has taken all changes into account.
fn without_due_pass() -> Fixture {
    let mut fixture = Fixture::running_on_w();
    fixture.term.schedule(fixture.now);
    assert!(!fixture.term.is_pass_due());
    fixture
}

fn contact() -> HostContact {
    HostContact {
        host: "10.0.0.9".to_owned(),
        data_centre: "lowell-yard".to_owned(),
        stores: false,
    }
}

/// Guards against a pass after each step: with 350 workers, renewals and heartbeats caused 250
/// passes a second, which took more processor time than the leading host has.
#[test]
fn renewals_heartbeats_and_contacts_cause_no_pass() {
    let mut fixture = without_due_pass();
    fixture.term.record_contact(contact(), fixture.now.at);
    fixture.term.schedule(fixture.now);
    for sequence in 2..20 {
        fixture
            .term
            .handle_heartbeat(heartbeat("w", 1, sequence), fixture.now);
        fixture.report("w", vec![listed(0, 1)], vec![]);
        fixture.term.record_contact(contact(), fixture.now.at);
        fixture.call(Call::ReadQueues);
        fixture.commit_all();
        assert!(!fixture.term.is_pass_due(), "after renewal {sequence}");
    }
}

/// Guards against tasks that wait although a change has made it possible to place them.
#[test]
fn each_change_that_a_pass_depends_on_causes_one() {
    type Change = fn(&mut Fixture);
    let changes: [(&str, Change); 8] = [
        ("a run ended", |fixture| {
            let now = fixture.now;
            let end = RunOutcome::Succeeded;
            fixture.term.finish_run(&task(0), end, String::new(), now);
        }),
        ("a run on a silent worker ended", |fixture| {
            fixture.fail_to_answer("w", &CallFailure::NoAnswer("cut off".to_owned()));
            assert!(!fixture.term.is_pass_due());
            let now = fixture.now;
            let end = RunOutcome::Lost;
            fixture.term.finish_run(&task(0), end, String::new(), now);
        }),
        ("a job was accepted", |fixture| {
            fixture.submit_without_pass("00c0ffee00000002", vec![stage(1)]);
        }),
        ("a worker answered", |fixture| fixture.announce("v")),
        ("a silent worker answered again", |fixture| {
            fixture.fail_to_answer("w", &CallFailure::NoAnswer("cut off".to_owned()));
            fixture.report("w", vec![listed(0, 1)], vec![]);
        }),
        ("a host made contact", |fixture| {
            fixture.term.record_contact(contact(), fixture.now.at);
        }),
        ("reserved room was released", |fixture| {
            fixture.submit_without_pass(
                "00c0ffee00000002",
                vec![crate::workflow::spec::StageSpec {
                    gang: true,
                    ..stage(4)
                }],
            );
            fixture.term.schedule(fixture.now);
            let key = fixture.term.stages.keys().last().unwrap().clone();
            assert!(!fixture.term.stages[&key].reservations.is_empty());
            assert!(!fixture.term.is_pass_due());
            fixture.term.release_reservations(&key);
        }),
        ("time passed", |fixture| {
            fixture.advance(Duration::from_millis(100));
            fixture.term.tick(fixture.now);
        }),
    ];
    for (name, change) in changes {
        let mut fixture = without_due_pass();
        change(&mut fixture);
        assert!(fixture.term.is_pass_due(), "no pass after: {name}");
        fixture.term.schedule(fixture.now);
        assert!(!fixture.term.is_pass_due(), "a second pass after: {name}");
    }
}

/// Guards against a pass that serves stages in another order than that of their ranks, since it sorts
/// them by an integer.
#[test]
fn sort_keys_have_the_order_of_the_ranks() {
    let fixture = Fixture::new();
    let now = fixture.now.at;
    let mut random = StdRng::seed_from_u64(5);
    let ranks: Vec<_> = (0..300)
        .map(|_| {
            let (newest_first, gathers) = (random.random_bool(0.5), random.random_bool(0.3));
            let priority = [0, 1, 2, u32::MAX][random.random_range(0..4)];
            let mut duration = |most_ms| Duration::from_millis(random.random_range(0..most_ms));
            let waiting = Waiting {
                due_at: now + duration(200) - duration(8_000),
                objective: duration(4) * 1_000,
                remaining: duration(3) * 1_000,
                priority,
                newest_first,
                gathers_since: gathers.then(|| now - duration(8_000)),
            };
            rank(&waiting, now)
        })
        .collect();
    for left in &ranks {
        for right in &ranks {
            let keys = left.sort_key(now).cmp(&right.sort_key(now));
            assert_eq!(keys, left.cmp(right), "{left:?} and {right:?}");
        }
    }
}
