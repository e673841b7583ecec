//! `submit`, `status` and `cancel`: send one request, query its outcome and cancel it.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hyper::Method;

use super::administration::token_from_environment;
use super::{CommandError, Subcommand};
use crate::http::client::{ClientError, ClientRequest, ClientResponse};
use crate::http::{Client, ClientOptions};
use crate::options::arguments::{entry_argument, value};
use crate::protocol::caller::ErrorBody;
use crate::protocol::headers;
use crate::verdict::{ErrorCode, RequestError};

/// Time after the timeout of a request in which its verdict may still arrive.
const REPLY_GRACE: Duration = Duration::from_secs(2);
/// Timeout of status queries and cancellations.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn submit() -> Subcommand {
    Subcommand {
        arguments: submit_arguments,
        run: run_submit,
    }
}

pub(super) fn status() -> Subcommand {
    Subcommand {
        arguments: || key_command("status", "Print the outcome of an earlier request"),
        run: |matches| run_by_key(matches, Method::GET),
    }
}

pub(super) fn cancel() -> Subcommand {
    Subcommand {
        arguments: || key_command("cancel", "Cancel a waiting request"),
        run: |matches| run_by_key(matches, Method::DELETE),
    }
}

fn submit_arguments() -> Command {
    Command::new("submit")
        .about("Send one request and print its answer")
        .after_help(
            "Examples:\n  jujubewinch submit --service wheel-orders --idempotent --data hello\n  \
             jujubewinch submit --service wheel-orders --key erdenet.$(date +%s).conf-8812 \
             --data @confirmation.json",
        )
        .arg(entry_argument())
        .arg(
            Arg::new("service")
                .long("service")
                .required(true)
                .help("Service that executes it"),
        )
        .arg(Arg::new("key").long("key").help("Idempotency key"))
        .arg(
            Arg::new("member")
                .long("member")
                .help("Member, where authentication is off"),
        )
        .arg(
            Arg::new("idempotent")
                .long("idempotent")
                .action(ArgAction::SetTrue)
                .help("The request may be repeated without harm"),
        )
        .arg(
            Arg::new("urgency")
                .long("urgency")
                .default_value("normal")
                .value_parser(["low", "normal", "high", "urgent"])
                .help("Order within the member"),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .default_value("10000")
                .value_parser(value_parser!(u64))
                .help("Time until the request becomes useless"),
        )
        .arg(
            Arg::new("data")
                .long("data")
                .required(true)
                .help("Payload; @FILE reads a file and @- standard input"),
        )
}

fn key_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(entry_argument()).arg(
        Arg::new("key")
            .required(true)
            .help("Idempotency key of the request"),
    )
}

fn run_submit(matches: &ArgMatches) -> Result<(), CommandError> {
    let entry: SocketAddr = value(matches, "entry");
    let timeout_ms: u64 = value(matches, "timeout-ms");
    let deadline = Instant::now() + Duration::from_millis(timeout_ms) + REPLY_GRACE;
    let mut request = ClientRequest::new(
        Method::POST,
        format!("http://{entry}/v1/requests"),
        deadline,
    )
    .header(headers::SERVICE, value::<String>(matches, "service"))
    .header(
        headers::IDEMPOTENT,
        matches.get_flag("idempotent").to_string(),
    )
    .header(headers::URGENCY, value::<String>(matches, "urgency"))
    .header(headers::TIMEOUT_MS, timeout_ms.to_string());
    for (option, header) in [
        ("key", headers::IDEMPOTENCY_KEY),
        ("member", headers::MEMBER),
    ] {
        if let Some(value) = matches.get_one::<String>(option) {
            request = request.header(header, value);
        }
    }
    request.body = read_payload(&value::<String>(matches, "data"))?;
    print_response(send(request)?)
}

fn run_by_key(matches: &ArgMatches, method: Method) -> Result<(), CommandError> {
    let entry: SocketAddr = value(matches, "entry");
    let url = format!(
        "http://{entry}/v1/requests/{}",
        value::<String>(matches, "key")
    );
    print_response(send(ClientRequest::new(
        method,
        url,
        Instant::now() + QUERY_TIMEOUT,
    ))?)
}

pub(super) fn send(mut request: ClientRequest) -> Result<ClientResponse, CommandError> {
    if let Some(token) = token_from_environment() {
        request = request.header(headers::AUTHORIZATION, format!("Bearer {token}"));
    }
    let sent = Client::new(ClientOptions::default()).send(request);
    sent.map_err(|error| {
        let with_verdict = match &error {
            ClientError::NotSent { .. } => RequestError::did_not_run,
            ClientError::Interrupted { .. } | ClientError::TooLarge { .. } => {
                RequestError::may_have_run
            }
        };
        CommandError::Request(with_verdict(ErrorCode::Unavailable, error.to_string()))
    })
}

pub(super) fn read_payload(data: &str) -> Result<Vec<u8>, CommandError> {
    let unreadable = |error| CommandError::Usage(format!("cannot read {data}: {error}"));
    let Some(file) = data.strip_prefix('@') else {
        return Ok(data.as_bytes().to_vec());
    };
    if file != "-" {
        return std::fs::read(file).map_err(unreadable);
    }
    let mut bytes = Vec::new();
    std::io::stdin()
        .read_to_end(&mut bytes)
        .map_err(unreadable)?;
    Ok(bytes)
}

pub(super) fn print_response(response: ClientResponse) -> Result<(), CommandError> {
    if !matches!(response.status, 200 | 202) {
        let error: ErrorBody = serde_json::from_slice(&response.body).map_err(|error| {
            CommandError::Failed(format!(
                "status {} without an error body: {error}",
                response.status
            ))
        })?;
        return Err(CommandError::Request(RequestError {
            verdict: error.verdict,
            code: error.code,
            message: error.message,
            retry_after_ms: error.retry_after_ms,
        }));
    }
    let mut output = std::io::stdout();
    output
        .write_all(&response.body)
        .and_then(|()| output.write_all(b"\n"))
        .map_err(|error| CommandError::Failed(format!("cannot write the answer: {error}")))
}
