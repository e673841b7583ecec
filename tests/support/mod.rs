//! Builds configuration commands and configurations for tests.

use std::sync::Arc;

use jujubewinch::clock::Clock;
use jujubewinch::configuration::Configuration;
use jujubewinch::configuration::change::{Change, ChangeOutcome, Command};
use jujubewinch::configuration::figures::{MAX_QUEUED_PER_MEMBER, RETRY_BUDGET_PERCENT};

pub fn command(id: &str, expected_version: u64, change: Change) -> Command {
    Command {
        change_id: id.to_owned(),
        expected_version,
        author: "saran".to_owned(),
        reason: "spring orders".to_owned(),
        at_unix_ms: 1_000,
        change,
    }
}

pub fn default_change(value: u64) -> Change {
    Change::SetDefault {
        figure: RETRY_BUDGET_PERCENT.name.to_owned(),
        value,
    }
}

pub fn exception(scope: &str, value: u64, expires_at_unix_ms: Option<u64>) -> Change {
    Change::AddException {
        figure: MAX_QUEUED_PER_MEMBER.name.to_owned(),
        scope: scope.parse().unwrap(),
        value,
        expires_at_unix_ms,
    }
}

pub fn configuration(changes: Vec<Change>) -> Arc<Configuration> {
    let configuration = Configuration::new(None, Clock::system());
    for (version, change) in changes.into_iter().enumerate() {
        let command = command(&format!("c{version}"), version as u64, change);
        let output = configuration.apply(&postcard::to_stdvec(&command).unwrap());
        let outcome: ChangeOutcome = postcard::from_bytes(&output).unwrap();
        assert!(
            matches!(outcome, ChangeOutcome::Accepted { .. }),
            "{outcome:?}"
        );
    }
    configuration
}
