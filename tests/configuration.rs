//! Tests of the state machine of the configuration log: versions, resends, snapshots and audit.

mod support;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;

use jujubewinch::configuration::audit::AuditTrail;
use jujubewinch::configuration::change::{
    Change, ChangeOutcome, Command, NewToken, Quota, Role, Team,
};
use jujubewinch::configuration::digest::Sha256Digest;
use jujubewinch::configuration::log::ConfigurationLog;
use jujubewinch::configuration::machine::{ConfigurationMachine, MAX_OUTCOMES, RestoreError};
use jujubewinch::configuration::scope::DrainTarget;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use support::{command, configuration, default_change, exception};

/// One step of the property test.
#[derive(Clone, Debug)]
enum Step {
    /// Commands of several authors that all expect the current version plus `offset`.
    Race {
        authors: usize,
        offset: i64,
        kind: u8,
    },
    /// Resend of an earlier command.
    Resend { position: prop::sample::Index },
    /// Replacement of the replica by its restored snapshot.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_usize..4, -2_i64..2, any::<u8>())
            .prop_map(|(authors, offset, kind)| Step::Race { authors, offset, kind }),
        3 => any::<prop::sample::Index>().prop_map(|position| Step::Resend { position }),
        1 => Just(Step::Restore),
    ]
}

fn generate_change(kind: u8, author: usize) -> Change {
    let member = format!("member-{}", kind % 3);
    match kind % 7 {
        0 => default_change(u64::from(kind) % 100),
        1 => exception("member:tuul", 1 + author as u64, Some(u64::from(kind))),
        2 => Change::SetTeam(Team {
            member,
            weight: 1 + u32::from(kind),
            quota: Quota::default(),
        }),
        3 => Change::RemoveTeam { member },
        4 => Change::AddToken(NewToken {
            token: member,
            sha256: Sha256Digest::of(&[kind]),
            role: Role::Read,
            member: None,
        }),
        5 => Change::RevokeToken { token: member },
        _ => Change::Drain {
            target: DrainTarget::Worker(member),
        },
    }
}

/// Applies the command and checks its outcome against all earlier outcomes.
fn check_step(
    machine: &mut ConfigurationMachine,
    outcomes: &mut BTreeMap<String, ChangeOutcome>,
    winners: &mut BTreeMap<u64, Command>,
    command: &Command,
) -> Result<(), TestCaseError> {
    let before = machine.version();
    let outcome = machine.apply_command(command);
    if let Some(first) = outcomes.get(&command.change_id) {
        prop_assert_eq!(&outcome, first, "a resend has another outcome");
        prop_assert_eq!(machine.version(), before, "a resend was applied twice");
        return Ok(());
    }
    outcomes.insert(command.change_id.clone(), outcome.clone());
    match outcome {
        ChangeOutcome::Accepted { version } => {
            prop_assert_eq!(version, before + 1);
            prop_assert_eq!(machine.version(), version);
            let earlier = winners.insert(command.expected_version, command.clone());
            prop_assert!(
                earlier.is_none(),
                "two changes with equal versions were accepted"
            );
        }
        ChangeOutcome::Conflict { version, accepted } => {
            prop_assert_eq!((version, machine.version()), (before, before));
            prop_assert_ne!(command.expected_version, before);
            if command.expected_version > before {
                prop_assert_eq!(accepted, None);
                return Ok(());
            }
            let accepted = accepted.expect("the winner is still in the trail");
            let winner = &winners[&command.expected_version];
            prop_assert_eq!(accepted.version, command.expected_version + 1);
            prop_assert_eq!(&accepted.author, &winner.author);
            prop_assert_eq!(&accepted.change, &winner.change);
        }
        ChangeOutcome::Rejected { .. } => prop_assert_eq!(machine.version(), before),
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x6a75_6a75),
        ..ProptestConfig::default()
    })]

    /// Guards against two accepted changes for one version, a second outcome for a resent change,
    /// decreasing versions, and accepted changes that are lost by a snapshot.
    #[test]
    fn racing_and_resent_changes_have_consistent_outcomes(
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut machine = ConfigurationMachine::default();
        let mut sent: Vec<Command> = Vec::new();
        let mut outcomes = BTreeMap::new();
        let mut winners = BTreeMap::new();
        for step in steps {
            match step {
                Step::Race { authors, offset, kind } => {
                    let expected = machine.version().saturating_add_signed(offset);
                    for author in 0..authors {
                        let id = format!("change-{}", sent.len());
                        let mut command = command(&id, expected, generate_change(kind, author));
                        command.author = format!("author-{author}");
                        check_step(&mut machine, &mut outcomes, &mut winners, &command)?;
                        sent.push(command);
                    }
                }
                Step::Resend { position } if !sent.is_empty() => {
                    let command = position.get(&sent).clone();
                    check_step(&mut machine, &mut outcomes, &mut winners, &command)?;
                }
                Step::Resend { .. } => {}
                Step::Restore => {
                    let snapshot = machine.snapshot().unwrap();
                    let restored = ConfigurationMachine::restore(&snapshot).unwrap();
                    prop_assert_eq!(&restored, &machine);
                    machine = restored;
                }
            }
        }
        let kept: Vec<_> = machine.trail().entries().map(|entry| entry.change_id.clone()).collect();
        let accepted: Vec<_> = winners.values().map(|winner| winner.change_id.clone()).collect();
        prop_assert_eq!(kept, accepted, "an accepted change is lost");
        prop_assert_eq!(machine.trail().verify(), Ok(winners.len()));
    }
}

/// Guards against two accepted changes for one version when authors propose at the same time, and
/// against a reader that sees an older version than before.
#[test]
fn one_of_several_concurrent_changes_is_accepted_per_version() {
    const ROUNDS: u64 = 50;
    const AUTHORS: usize = 6;
    let configuration = configuration(Vec::new());
    let log = ConfigurationLog::in_memory(Arc::clone(&configuration), "h1".to_owned());
    let accepted = AtomicU64::new(0);
    let barrier = Barrier::new(AUTHORS);
    thread::scope(|scope| {
        for author in 0..AUTHORS {
            let (log, accepted, barrier, configuration) =
                (&log, &accepted, &barrier, &configuration);
            scope.spawn(move || {
                let mut seen = 0;
                for round in 0..ROUNDS {
                    barrier.wait();
                    let mut command =
                        command(&format!("{round}-{author}"), round, default_change(1));
                    command.author = format!("author-{author}");
                    let output = (log.propose)(postcard::to_stdvec(&command).unwrap()).unwrap();
                    let outcome: ChangeOutcome = postcard::from_bytes(&output).unwrap();
                    if matches!(outcome, ChangeOutcome::Accepted { .. }) {
                        accepted.fetch_add(1, Ordering::AcqRel);
                    }
                    let version = configuration.read().version();
                    assert!(version >= seen, "version {version} after {seen}");
                    seen = version;
                }
            });
        }
    });
    assert_eq!(accepted.load(Ordering::Acquire), ROUNDS);
    assert_eq!(configuration.read().version(), ROUNDS);
    assert_eq!(configuration.verify_audit(), Ok(ROUNDS as usize));
}

/// Guards against edits and truncations of the audit trail that `verify` does not detect.
#[test]
fn every_single_byte_edit_and_every_removed_range_of_the_trail_is_detected() {
    let mut machine = ConfigurationMachine::default();
    for version in 0..2 {
        machine.apply_command(&command(
            &format!("c{version}"),
            version,
            default_change(version),
        ));
    }
    machine.apply_command(&command("e", 2, exception("member:tuul", 9, Some(7))));
    let bytes = machine.trail().encode();
    assert_eq!(
        AuditTrail::decode(&bytes).map(|trail| trail.entries().count()),
        Ok(3)
    );
    for position in 0..bytes.len() {
        for flip in 1..=255 {
            let mut edited = bytes.clone();
            edited[position] ^= flip;
            assert!(
                AuditTrail::decode(&edited).is_err(),
                "byte {position} xor {flip}"
            );
        }
        assert!(
            AuditTrail::decode(&bytes[..position]).is_err(),
            "cut at {position}"
        );
        for end in position + 1..=bytes.len() {
            let shortened = [&bytes[..position], &bytes[end..]].concat();
            assert!(
                AuditTrail::decode(&shortened).is_err(),
                "without {position}..{end}"
            );
        }
    }
}

/// Guards against a reused change id that returns the outcome of a different change.
#[test]
fn reused_change_id_with_other_content_is_rejected() {
    let mut machine = ConfigurationMachine::default();
    machine.apply_command(&command("a", 0, default_change(5)));
    let outcome = machine.apply_command(&command("a", 1, default_change(6)));
    let ChangeOutcome::Rejected { reason } = outcome else {
        panic!("{outcome:?}");
    };
    assert!(
        reason.contains("change id a was used for another change"),
        "{reason}"
    );
    assert_eq!(machine.version(), 1);
}

/// Guards against memory that grows with the number of changes, and against outcomes that are
/// dropped early.
#[test]
fn the_last_outcomes_are_kept() {
    let mut machine = ConfigurationMachine::default();
    for number in 0..=MAX_OUTCOMES as u64 {
        machine.apply_command(&command(&format!("c{number}"), number, default_change(5)));
    }
    assert_eq!(machine.outcome("c0"), None);
    assert_eq!(
        machine.outcome("c1"),
        Some(&ChangeOutcome::Accepted { version: 2 })
    );
}

/// Guards against a replica that restores an older or a damaged snapshot.
#[test]
fn older_and_damaged_snapshots_are_rejected() {
    let old = configuration(vec![default_change(1)]).snapshot().unwrap();
    let present = configuration(vec![default_change(1), default_change(2)]);
    let expected = RestoreError::Older {
        offered: 1,
        applied: 2,
    };
    assert_eq!(present.restore(&old), Err(expected));
    let snapshot = present.snapshot().unwrap();
    for end in 0..snapshot.len() {
        assert!(present.restore(&snapshot[..end]).is_err(), "cut at {end}");
    }
    assert_eq!(present.read().version(), 2);
}

/// Guards against commands that are accepted without a reason or an author, and against undecodable
/// commands that change the configuration.
#[test]
fn incomplete_commands_change_nothing() {
    let mut machine = ConfigurationMachine::default();
    let mut without_reason = command("a", 0, default_change(5));
    without_reason.reason = "  ".to_owned();
    let mut without_author = command("b", 0, default_change(5));
    without_author.author = String::new();
    let undecodable = vec![0xff; 7];
    let encoded = [
        postcard::to_stdvec(&without_reason).unwrap(),
        postcard::to_stdvec(&without_author).unwrap(),
        undecodable,
    ];
    for bytes in encoded {
        let outcome: ChangeOutcome = postcard::from_bytes(&machine.apply(&bytes)).unwrap();
        assert!(
            matches!(outcome, ChangeOutcome::Rejected { .. }),
            "{outcome:?}"
        );
    }
    assert_eq!(machine.version(), 0);
}
