//! `fleet`: shows the state of workers, queues, members, entry hosts and drains.

use clap::{ArgMatches, Command};

use super::administration::{AdminClient, with_connection};
use super::table::{Column, table};
use super::{CommandError, Subcommand};

/// A subcommand that shows one list of the administration interface as a table.
struct View {
    name: &'static str,
    about: &'static str,
    path: &'static str,
    /// Field of the response that holds the list.
    list: &'static str,
    columns: &'static [Column],
}

const VIEWS: &[View] = &[
    View {
        name: "workers",
        about: "List the workers that the host knows",
        path: "/v1/fleet",
        list: "workers",
        columns: &[
            ("WORKER", "/worker"),
            ("DATA CENTRE", "/data_centre"),
            ("RACK", "/rack"),
            ("PHASE", "/phase"),
            ("DRAINED", "/drained"),
            ("SERVICE", "/runner/service"),
            ("SLOTS", "/runner/slots"),
            ("TASKS", "/tasks"),
            ("CPU MILLIS", "/resources/cpu_millis"),
            ("MEMORY MIB", "/resources/memory_mib"),
            ("ACCELERATORS", "/resources/accelerators"),
        ],
    },
    View {
        name: "queue",
        about: "Show the queue of the host's placer",
        path: "/v1/queue",
        list: "queues",
        columns: &[
            ("DATA CENTRE", "/data_centre"),
            ("LEADING", "/leading"),
            ("QUEUED", "/queued_requests"),
        ],
    },
    View {
        name: "members",
        about: "List members with teams and work",
        path: "/v1/members",
        list: "members",
        columns: &[
            ("MEMBER", "/member"),
            ("WEIGHT", "/team/weight"),
            ("QUEUED", "/queued_requests"),
            ("RUNNING", "/running_requests"),
        ],
    },
    View {
        name: "hosts",
        about: "List entry hosts",
        path: "/v1/hosts",
        list: "hosts",
        columns: &[
            ("HOST", "/host"),
            ("DATA CENTRE", "/data_centre"),
            ("REGION", "/region"),
            ("VOTES", "/votes"),
            ("WITNESS FOR", "/witness_for"),
            ("ALIVE", "/alive"),
            ("DRAINED", "/drained"),
        ],
    },
    View {
        name: "drains",
        about: "List drained workers and entry hosts",
        path: "/v1/drains",
        list: "drains",
        columns: &[
            ("TARGET", "/target"),
            ("SINCE", "/origin/at_unix_ms"),
            ("AUTHOR", "/origin/author"),
            ("REASON", "/origin/reason"),
        ],
    },
];

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    let mut command = Command::new("fleet")
        .about("Show workers, queues, members, entry hosts and drains")
        .after_help("Example:\n  jujubewinch fleet workers --output json")
        .subcommand_required(true);
    for view in VIEWS {
        let subcommand = Command::new(view.name).about(view.about);
        command = command.subcommand(with_connection(subcommand));
    }
    command
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let selected = matches.subcommand().and_then(|(name, matches)| {
        let view = VIEWS.iter().find(|view| view.name == name)?;
        Some((view, matches))
    });
    let Some((view, matches)) = selected else {
        return Err(CommandError::Usage("no subcommand of fleet".to_owned()));
    };
    let admin = AdminClient::new(matches)?;
    let body = admin.get(view.path, &[])?;
    admin.print(&body, |body| table(&body[view.list], view.columns))
}
