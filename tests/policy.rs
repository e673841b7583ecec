//! Tests of lookups in the configuration: figures, exceptions, scopes and tokens.

mod support;

use std::collections::BTreeSet;

use jujubewinch::clock::Clock;
use jujubewinch::configuration::Configuration;
use jujubewinch::configuration::change::{Change, NewToken, Quota, Role, Team};
use jujubewinch::configuration::digest::Sha256Digest;
use jujubewinch::configuration::figures::{
    CALLER_WEIGHT, MAX_QUEUE_DELAY_MS, MAX_QUEUED_PER_CALLER, MAX_QUEUED_PER_MEMBER, MEMBER_WEIGHT,
    RETRY_BUDGET_PERCENT, URGENT_SHARE_PERCENT,
};
use jujubewinch::configuration::identity::{SETTINGS_OPERATOR, authenticate, bearer_token};
use jujubewinch::configuration::policy::{self, Figure};
use jujubewinch::configuration::request_policy::RequestPolicy;
use jujubewinch::configuration::scope::{DrainTarget, Scope, Subject};
use jujubewinch::configuration::snapshot::Source;
use jujubewinch::verdict::ErrorCode;

use support::{command, configuration, default_change, exception};

/// Guards against a figure of a request's policy that is looked up for the wrong subject.
#[test]
fn each_figure_of_a_request_policy_is_looked_up_for_its_subject() {
    let exception = |figure: &Figure, scope: &str, value| Change::AddException {
        figure: figure.name.to_owned(),
        scope: scope.parse().unwrap(),
        value,
        expires_at_unix_ms: None,
    };
    let snapshot = configuration(vec![
        exception(&MEMBER_WEIGHT, "member:tuul", 3),
        exception(&CALLER_WEIGHT, "caller:tuul/desk", 5),
        exception(&MAX_QUEUED_PER_CALLER, "member:tuul", 70),
        exception(&MAX_QUEUE_DELAY_MS, "service:quotes", 900),
        exception(&RETRY_BUDGET_PERCENT, "member:tuul", 11),
        exception(&RETRY_BUDGET_PERCENT, "service:quotes", 12),
        Change::SetTeam(Team {
            member: "lowell".to_owned(),
            weight: 40,
            quota: Quota {
                request_slots: Some(6),
                ..Quota::default()
            },
        }),
    ])
    .read();
    let built_in = RequestPolicy::of(&snapshot, "other", None, "cuts", 0);
    let expected = RequestPolicy {
        member_weight: 3,
        caller_weight: 5,
        max_queued_per_caller: 70,
        max_queue_delay_ms: 900,
        member_retry_percent: 11,
        service_retry_percent: 12,
        ..built_in
    };
    let policy = RequestPolicy::of(&snapshot, "tuul", Some("desk"), "quotes", 0);
    assert_eq!(policy, expected);
    let expected = RequestPolicy {
        member_weight: 40,
        request_slots: Some(6),
        ..built_in
    };
    let policy = RequestPolicy::of(&snapshot, "lowell", Some("desk"), "cuts", 0);
    assert_eq!(policy, expected);
    let figures = [
        (built_in.member_weight, &MEMBER_WEIGHT),
        (built_in.caller_weight, &CALLER_WEIGHT),
        (built_in.max_queued_per_member, &MAX_QUEUED_PER_MEMBER),
        (built_in.max_queue_delay_ms, &MAX_QUEUE_DELAY_MS),
        (built_in.urgent_share_percent, &URGENT_SHARE_PERCENT),
        (built_in.service_retry_percent, &RETRY_BUDGET_PERCENT),
    ];
    for (value, figure) in figures {
        assert_eq!(value, figure.default, "{}", figure.name);
    }
}

/// Guards against a wrong precedence of exceptions, and against an exception that has an effect
/// after its expiry.
#[test]
fn narrowest_exception_in_effect_takes_precedence() {
    let snapshot = configuration(vec![
        exception("member:tuul", 10, None),
        exception("caller:tuul/desk", 20, Some(5_000)),
        exception("member:tuul", 30, Some(2_000)),
        Change::SetDefault {
            figure: MAX_QUEUED_PER_MEMBER.name.to_owned(),
            value: 7,
        },
    ])
    .read();
    let subject = |member, caller| Subject {
        member,
        caller,
        ..Subject::default()
    };
    let cases = [
        (subject(Some("tuul"), Some("desk")), 4_999, 20),
        (subject(Some("tuul"), Some("desk")), 5_000, 10),
        (subject(Some("tuul"), Some("other")), 1_999, 30),
        (subject(Some("tuul"), None), 2_000, 10),
        (subject(Some("lowell"), Some("desk")), 0, 7),
        (Subject::default(), 0, 7),
    ];
    for (subject, now, value) in cases {
        let explained = snapshot.explain(&MAX_QUEUED_PER_MEMBER, &subject, now);
        assert_eq!(
            snapshot.value(&MAX_QUEUED_PER_MEMBER, &subject, now),
            value,
            "{subject:?}"
        );
        assert_eq!(explained.value, value, "{subject:?} {explained:?}");
        if let Source::Exception { exception } = &explained.decided_by {
            assert_eq!(
                (exception.value, exception.origin.author.as_str()),
                (value, "saran")
            );
        }
    }
    let built_in = snapshot.explain(&RETRY_BUDGET_PERCENT, &Subject::default(), 0);
    assert_eq!((built_in.value, built_in.decided_by), (10, Source::BuiltIn));
}

/// Guards against a value that another release accepted and that is out of range in this release.
#[test]
fn values_outside_of_the_range_are_clamped() {
    let snapshot = configuration(vec![default_change(5_000)]).read();
    assert_eq!(
        snapshot.value(&RETRY_BUDGET_PERCENT, &Subject::default(), 0),
        100
    );
}

/// Guards against a scope whose text does not parse to the same scope, and against accepted texts
/// that are no scope.
#[test]
fn scopes_round_trip_through_their_text() {
    for text in [
        "member:tuul",
        "caller:tuul/a/b",
        "service:quotes",
        "worker:w:1",
    ] {
        assert_eq!(text.parse::<Scope>().unwrap().to_string(), text);
    }
    for text in [
        "",
        "member",
        "member:",
        "member:a/b",
        "caller:a",
        "caller:/b",
        "caller:a/",
        "rack:1",
    ] {
        assert!(text.parse::<Scope>().is_err(), "{text}");
    }
    assert!("host:erdenet-1".parse::<DrainTarget>().is_ok());
    assert!("rack:1".parse::<DrainTarget>().is_err());
}

/// Guards against values out of range, exceptions without effect, and unknown figures that are
/// accepted.
#[test]
fn figures_check_values_and_scopes() {
    let figure = policy::figure("retry.budget_percent").unwrap();
    assert!(figure.check(100).is_ok());
    assert!(figure.check(101).unwrap_err().contains("from 0 to 100"));
    assert!(
        figure
            .check_scope(Scope::Worker("w".to_owned()).kind())
            .is_err()
    );
    assert!(
        policy::figure("retry.budget")
            .unwrap_err()
            .contains("config list")
    );
}

/// Guards against a token that identifies the wrong holder when several digests have the same
/// prefix.
#[test]
fn each_of_many_tokens_identifies_its_holder() {
    const TOKENS: u64 = 1_000;
    let mut changes = Vec::new();
    let mut prefixes = BTreeSet::new();
    for number in 0..TOKENS {
        let sha256 = Sha256Digest::of(format!("secret-{number}").as_bytes());
        prefixes.insert([sha256.0[0], sha256.0[1]]);
        changes.push(Change::AddToken(NewToken {
            token: format!("token-{number}"),
            sha256,
            role: Role::Read,
            member: None,
        }));
    }
    assert!(
        prefixes.len() < TOKENS as usize,
        "no two digests have the same prefix"
    );
    let snapshot = configuration(changes).read();
    for number in 0..TOKENS {
        let identity = authenticate(&snapshot, Some(&format!("secret-{number}"))).unwrap();
        assert_eq!(identity.name, format!("token-{number}"));
    }
}

/// Guards against a revoked or unknown token that is accepted, and against a token that yields the
/// wrong identity or role.
#[test]
fn tokens_identify_their_holders() {
    let configuration = Configuration::new(Some(Sha256Digest::of(b"first")), Clock::system());
    let grant = NewToken {
        token: "desk".to_owned(),
        sha256: Sha256Digest::of(b"secret"),
        role: Role::Submit,
        member: Some("tuul".to_owned()),
    };
    let apply = |id, version, change| {
        configuration.apply(&postcard::to_stdvec(&command(id, version, change)).unwrap())
    };
    apply("a", 0, Change::AddToken(grant));
    let known = authenticate(&configuration.read(), Some("secret")).unwrap();
    assert_eq!((known.name.as_str(), known.role), ("desk", Role::Submit));
    assert_eq!(known.member.as_deref(), Some("tuul"));
    assert!(!known.has_role(Role::Read) && !known.has_role(Role::Operate));
    let operator = authenticate(&configuration.read(), Some("first")).unwrap();
    assert_eq!(operator.name, SETTINGS_OPERATOR);
    assert!(
        operator.has_role(Role::Read)
            && operator.has_role(Role::Operate)
            && !operator.has_role(Role::Submit)
    );
    apply(
        "b",
        1,
        Change::RevokeToken {
            token: "desk".to_owned(),
        },
    );
    for token in [None, Some("secret"), Some("First"), Some("")] {
        let error = authenticate(&configuration.read(), token).unwrap_err();
        assert_eq!(error.code, ErrorCode::Unauthenticated, "{token:?}");
    }
    assert_eq!(bearer_token(Some("bearer  x ")), Some("x"));
    for header in [None, Some("x"), Some("Basic x"), Some("Bearer ")] {
        assert_eq!(bearer_token(header), None, "{header:?}");
    }
}
