//! `dev`: runs a small cell in one process, for development and evaluation.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};

use super::{CommandError, Subcommand};
use crate::agent::{Agent, AgentOptions};
use crate::entry_host::EntryHost;
use crate::options::Settings;
use crate::options::arguments::value;
use crate::options::settings::{
    CellHost, CellSettings, HostSettings, LimitSettings, ListenerSettings, LoggingSettings,
    SchedulingSettings, SecuritySettings, TimingSettings,
};
use crate::protocol::worker::RunnerCapacity;
use crate::resources::Resources;
use tempfile::TempDir;

/// Data centres of the cell, each with its region.
const DATA_CENTRES: [(&str, &str); 3] = [
    ("erdenet", "orkhon"),
    ("sukhbaatar", "selenge"),
    ("chinggis", "khentii"),
];
/// Service that the stand-in runners execute.
const SERVICE: &str = "wheel-orders";
/// Number of stand-in runners in each data centre.
const RUNNERS_PER_DATA_CENTRE: usize = 2;
/// Resources of the worker for jobs in each data centre.
const WORKER_RESOURCES: Resources = Resources {
    cpu_millis: 16_000,
    memory_mib: 32 * 1024,
    accelerators: 2,
};
/// Time in which a leaving runner may finish its tasks.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    Command::new("dev")
        .about("Run a small cell with stand-in runners in one process")
        .after_help("Example:\n  jujubewinch dev\n  jujubewinch dev --first-port 0 --seconds 30")
        .arg(
            Arg::new("first-port")
                .long("first-port")
                .value_name("PORT")
                .default_value("7101")
                .value_parser(value_parser!(u16))
                .help("Port of the first caller listener; 0 picks free ports"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .help("End after this time instead of at SIGTERM"),
        )
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let failed = |error: std::io::Error| CommandError::Failed(format!("cannot start: {error}"));
    let cell = DevelopmentCell::start(value(matches, "first-port")).map_err(failed)?;
    for (host, (data_centre, _)) in cell.hosts.iter().zip(DATA_CENTRES) {
        println!(
            "{data_centre}: callers on http://{}, operators on http://{}",
            host.caller_address(),
            host.admin_address()
        );
    }
    let runners: Vec<String> = cell
        .runners
        .iter()
        .map(|runner| runner.address().to_string())
        .collect();
    println!("service {SERVICE} has runners {}", runners.join(" "));
    println!(
        "try: jujubewinch submit --entry {} --service {SERVICE} --idempotent --data hello",
        cell.hosts[0].caller_address()
    );
    let seconds = matches.get_one::<u64>("seconds").copied();
    let deadline = seconds.map(|seconds| Instant::now() + Duration::from_secs(seconds));
    super::wait_for_termination(deadline).map_err(failed)?;
    cell.shutdown();
    Ok(())
}

/// A cell with one entry host per data centre and stand-in runners, all in this process.
struct DevelopmentCell {
    hosts: Vec<EntryHost>,
    runners: Vec<Agent>,
    /// Stand-in workers that run the tasks of jobs.
    workers: Vec<Agent>,
    /// Parent of the hosts' data folders; deleted when the cell is dropped.
    _folder: TempDir,
}

impl DevelopmentCell {
    fn start(first_port: u16) -> std::io::Result<Self> {
        let mut addresses = Vec::new();
        for index in 0..DATA_CENTRES.len() as u16 {
            addresses.push(HostAddresses::choose(first_port, index)?);
        }
        let cell_hosts: Vec<CellHost> = DATA_CENTRES
            .iter()
            .zip(&addresses)
            .map(|((data_centre, region), addresses)| CellHost {
                id: format!("{data_centre}-1"),
                data_centre: (*data_centre).to_owned(),
                region: (*region).to_owned(),
                peers: addresses.peers,
                votes: true,
                witness_for: None,
            })
            .collect();
        let folder = tempfile::tempdir()?;
        let mut hosts = Vec::new();
        for (host, addresses) in cell_hosts.iter().zip(&addresses) {
            let data_folder = folder.path().join(&host.id);
            hosts.push(EntryHost::start(host_settings(
                host,
                addresses,
                &cell_hosts,
                data_folder,
            ))?);
        }
        let entry_hosts: Vec<SocketAddr> = hosts.iter().map(EntryHost::caller_address).collect();
        let mut runners = Vec::new();
        for (data_centre, _) in DATA_CENTRES {
            for index in 1..=RUNNERS_PER_DATA_CENTRE {
                let port = match first_port {
                    0 => 0,
                    _ => first_port + 300 + runners.len() as u16,
                };
                runners.push(Agent::start(runner_options(
                    data_centre,
                    index,
                    port,
                    &entry_hosts,
                ))?);
            }
        }
        let mut workers = Vec::new();
        for (data_centre, _) in DATA_CENTRES {
            let port = match first_port {
                0 => 0,
                _ => first_port + 400 + workers.len() as u16,
            };
            let options = worker_options(data_centre, port, &entry_hosts);
            workers.push(Agent::start(options)?);
        }
        Ok(Self {
            hosts,
            runners,
            workers,
            _folder: folder,
        })
    }

    fn shutdown(self) {
        for host in &self.hosts {
            host.shutdown();
        }
        for runner in self.runners.iter().chain(&self.workers) {
            runner.leave(Instant::now() + LEAVE_TIMEOUT);
        }
    }
}

/// Listener addresses of one host.
struct HostAddresses {
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
}

impl HostAddresses {
    fn choose(first_port: u16, index: u16) -> std::io::Result<Self> {
        if first_port == 0 {
            return Ok(Self {
                callers: free_address()?,
                admin: free_address()?,
                peers: free_address()?,
            });
        }
        let address =
            |offset: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, first_port + offset + index));
        Ok(Self {
            callers: address(0),
            admin: address(100),
            peers: address(200),
        })
    }
}

/// Returns an address whose port is unused now but not reserved, since peers must know it before
/// the host binds it.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn host_settings(
    host: &CellHost,
    addresses: &HostAddresses,
    hosts: &[CellHost],
    data_folder: PathBuf,
) -> Settings {
    Settings {
        host: HostSettings {
            id: host.id.clone(),
            data_folder: Some(data_folder),
        },
        listeners: ListenerSettings {
            callers: addresses.callers,
            admin: addresses.admin,
            peers: addresses.peers,
        },
        cell: CellSettings {
            name: "development".to_owned(),
            authentication: false,
            operator_token_sha256: None,
            hosts: hosts.to_vec(),
        },
        limits: LimitSettings::default(),
        timing: TimingSettings::default(),
        security: SecuritySettings::default(),
        scheduling: SchedulingSettings::default(),
        logging: LoggingSettings::default(),
    }
}

fn runner_options(
    data_centre: &str,
    index: usize,
    port: u16,
    entry_hosts: &[SocketAddr],
) -> AgentOptions {
    AgentOptions {
        worker: format!("{data_centre}-worker-{index}"),
        data_centre: data_centre.to_owned(),
        rack: format!("rack-{index}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        entry_hosts: entry_hosts.to_vec(),
        // Only the workers for jobs announce resources; requests use slots.
        resources: Resources::ZERO,
        runner: Some(RunnerCapacity {
            service: SERVICE.to_owned(),
            slots: 8,
            connections: 64,
        }),
    }
}

fn worker_options(data_centre: &str, port: u16, entry_hosts: &[SocketAddr]) -> AgentOptions {
    AgentOptions {
        worker: format!("{data_centre}-jobs-1"),
        data_centre: data_centre.to_owned(),
        rack: "rack-jobs".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        entry_hosts: entry_hosts.to_vec(),
        resources: WORKER_RESOURCES,
        runner: None,
    }
}
