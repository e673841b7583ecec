//! Tests how a host that restarts finds its cell when its seeds were replaced.

mod platform_support;

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use jujubewinch::platform::outside::outside_calls;
use jujubewinch::workflow::calls::{Call, Reply};
use jujubewinch::workflow::host::WorkflowHost;
use platform_support::{Cell, Ports, await_some};

/// Address at which no host listens.
const WITHDRAWN_SEED: &str = "127.0.0.99:1";

/// Copies a log, except for the lock, which the stopped host still holds in this process.
fn copy_log(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap().flatten() {
        if entry.file_name() != "lock" {
            fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
        }
    }
}

/// Guards against a storage host that finds no placer after a restart, since all seeds in its
/// settings were replaced, although its replica follows the placer: its callers were denied, and it
/// served as no relay.
#[test]
fn a_restarted_replica_finds_the_placer_without_its_seeds() {
    let folder = tempfile::tempdir().unwrap();
    let ports = Ports::starting_at(17_390);
    let cell = Cell::start(folder.path(), ports);
    assert_eq!(cell.configure(1).status, 200);
    let leader = await_some(|| cell.leader());
    let follower = (leader + 1) % 3;
    cell.hosts[follower].crash();
    let mut settings = cell.hosts[follower].settings().clone();
    let log = folder.path().join("copy");
    copy_log(settings.host.data_folder.as_ref().unwrap(), &log);
    settings.host.data_folder = Some(log);
    settings.cell.seeds = vec![WITHDRAWN_SEED.parse().unwrap()];
    settings.cell.forms_new_cell = false;
    let host = await_some(|| WorkflowHost::start(settings.clone(), outside_calls(None)).ok());
    let reply = await_some(|| {
        let deadline = Instant::now() + Duration::from_secs(2);
        host.call(&Call::ReadQueues, deadline).ok()
    });
    assert!(matches!(reply, Reply::Queues(Some(_))), "{reply:?}");
}
