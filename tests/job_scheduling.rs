//! Property tests of the job scheduler with random sequences of events.

mod job_support;

use job_support::simulation::{Event, Simulation};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..6u8, 0..3u8, 1..6u32, 1..9u64, 1..9u64, 0..2u64, 1..60u64, any::<bool>())
            .prop_map(|(member, kind, tasks, cpu, memory, accelerators, run_s, at_most_once)| {
                Event::Submit { member, kind, tasks, cpu, memory, accelerators, run_s, at_most_once }
            }),
        1 => any::<u16>().prop_map(Event::Cancel),
        1 => any::<u16>().prop_map(Event::Lose),
        1 => any::<u16>().prop_map(Event::Return),
        1 => (any::<u16>(), 1..9u64).prop_map(|(worker, eighths)| Event::Resize { worker, eighths }),
        1 => any::<u16>().prop_map(Event::Restart),
        2 => any::<u16>().prop_map(Event::Fail),
        6 => (1..30u64).prop_map(Event::Advance),
    ]
}

/// Guards against decisions that depend on hash seeds, addresses or the system clock.
#[test]
fn equal_events_lead_to_equal_decisions() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), random);
    for seed in 0..20 {
        let events = prop::collection::vec(event(), 300).new_tree(&mut runner);
        let events = events.expect("events can be generated").current();
        let log = || {
            let mut simulation = Simulation::new(12, seed);
            events.iter().for_each(|event| simulation.apply(event));
            simulation.decision_log
        };
        assert_eq!(log(), log(), "seed {seed}");
    }
}

/// Guards, for any order of events, against a start beyond a worker's capacity, a gang that starts
/// in part, a task that runs twice, a second start of an at-most-once task, and jobs or allocations
/// that remain after all disturbances have ended.
#[test]
fn invariants_hold_under_random_events() {
    let config = Config {
        cases: 600,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let events = prop::collection::vec(event(), 1..300);
    let outcome = runner.run(&(events, any::<u64>()), |(events, seed)| {
        let mut simulation = Simulation::new(12, seed);
        for event in &events {
            simulation.apply(event);
            simulation.check();
        }
        simulation.settle();
        Ok(())
    });
    outcome.unwrap();
}
