//! Client of the administration interface for the subcommands of operators.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hyper::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use super::CommandError;
use super::table::{block, timestamp};
use crate::admin::changes::{ChangeReply, ChangeResult, new_change_id};
use crate::http::client::{ClientError, ClientRequest, ClientResponse};
use crate::http::{Client, ClientOptions};
use crate::options::arguments::value;
use crate::protocol::caller::ErrorBody;
use crate::protocol::headers;
use crate::verdict::{ErrorCode, RequestError};

/// Environment variable that holds the token; unlike an argument, it appears in no process list.
const TOKEN_VARIABLE: &str = "JUJUBEWINCH_TOKEN";
/// Timeout of one HTTP exchange; longer than an election of the configuration log.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts to send one change before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 4;
/// Delay before a change is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Adds the options of every call to the administration interface.
pub(super) fn with_connection(command: Command) -> Command {
    command
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("ADDRESS")
                .default_value("127.0.0.1:7201")
                .value_parser(value_parser!(SocketAddr))
                .help("Administration address of an entry host"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the token; otherwise JUJUBEWINCH_TOKEN is used"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .default_value("table")
                .value_parser(["table", "json"])
                .help("Tables for people or JSON for scripts"),
        )
}

/// Adds the `--reason` option, which every change requires.
pub(super) fn with_reason(command: Command) -> Command {
    command.arg(
        Arg::new("reason")
            .long("reason")
            .required(true)
            .help("Why; others read it in the audit trail"),
    )
}

/// Adds the `--author` option.
pub(super) fn with_author(command: Command) -> Command {
    command.arg(
        Arg::new("author")
            .long("author")
            .help("Author, where authentication is off; USER by default"),
    )
}

/// Adds the options of calls that change the configuration.
pub(super) fn with_change(command: Command) -> Command {
    with_author(with_reason(with_connection(command)))
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Check the change and show its effect without making it"),
        )
        .arg(
            Arg::new("expected-version")
                .long("expected-version")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Version that the change is based on; read from the host by default"),
        )
        .arg(
            Arg::new("change-id")
                .long("change-id")
                .value_name("ID")
                .help("Id of a change whose outcome was unknown, to resend it"),
        )
}

/// A call that changes the configuration, as built by a subcommand.
pub(super) struct ChangeCall {
    /// HTTP method of the call.
    pub method: Method,
    /// Path of the resource, with its names percent-encoded.
    pub path: String,
    /// JSON object with the fields of the body that are specific to this change.
    pub fields: Value,
}

/// Client of the administration interface of one entry host.
pub(super) struct AdminClient {
    address: SocketAddr,
    token: Option<String>,
    client: Client,
    /// Whether results are printed as JSON instead of tables.
    pub json: bool,
}

impl AdminClient {
    /// Creates a client from the options of [`with_connection`].
    pub fn new(matches: &ArgMatches) -> Result<Self, CommandError> {
        let token = match matches.get_one::<PathBuf>("token-file") {
            Some(path) => Some(read_token(path)?),
            None => token_from_environment(),
        };
        Ok(Self {
            address: value(matches, "admin"),
            token,
            client: Client::new(ClientOptions {
                // An audit entry contains the changed object twice, so lists of them are large.
                max_body_bytes: 64 * 1024 * 1024,
                ..ClientOptions::default()
            }),
            json: value::<String>(matches, "output") == "json",
        })
    }

    /// Sends a GET request and decodes the JSON response; absent parameters are left out.
    pub fn get(&self, path: &str, query: &[(&str, Option<String>)]) -> Result<Value, CommandError> {
        let mut separator = '?';
        let mut path = path.to_owned();
        for (name, parameter) in query {
            if let Some(parameter) = parameter {
                path.push_str(&format!("{separator}{name}={}", encode(parameter)));
                separator = '&';
            }
        }
        let response = self
            .send(Method::GET, &path, None)
            .map_err(|error| client_error(&error))?;
        if response.status != 200 {
            return Err(response_error(&response));
        }
        decode(&response)
    }

    /// Prints a response as JSON, or as the text that `text` formats from it.
    pub fn print(&self, body: &Value, text: impl Fn(&Value) -> String) -> Result<(), CommandError> {
        let output = if self.json {
            format!("{body:#}\n")
        } else {
            text(body)
        };
        write_output(&output)
    }

    /// Submits a change and prints its outcome.
    pub fn change(&self, matches: &ArgMatches, call: ChangeCall) -> Result<(), CommandError> {
        let reply = self.submit_change(matches, call)?;
        self.print_reply(&reply)
    }

    /// Prints the outcome of a change.
    pub fn print_reply(&self, reply: &ChangeReply) -> Result<(), CommandError> {
        if self.json {
            return write_output(&format!("{:#}\n", json!(reply)));
        }
        let version = reply.version.unwrap_or_default();
        if reply.outcome != ChangeResult::Valid {
            return write_output(&format!(
                "accepted as version {version} ({})\n",
                reply.change_id
            ));
        }
        write_output(&format!(
            "valid: would become version {version}; nothing was changed\nbefore:\n{}after:\n{}",
            block(reply.before.as_ref()),
            block(reply.after.as_ref())
        ))
    }

    /// Submits a change and resends it with the same id while its outcome is unknown.
    pub fn submit_change(
        &self,
        matches: &ArgMatches,
        call: ChangeCall,
    ) -> Result<ChangeReply, CommandError> {
        let change_id = matches
            .get_one::<String>("change-id")
            .cloned()
            .unwrap_or_else(new_change_id);
        let body = self.change_body(matches, &change_id, call.fields)?;
        let mut last_error = None;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                std::thread::sleep(RESEND_DELAY);
            }
            match self.send(call.method.clone(), &call.path, Some(&body)) {
                Ok(response) => match classify(&response) {
                    ChangeResponse::Final(reply) => return check_outcome(*reply),
                    ChangeResponse::Unknown(reason) => last_error = Some(reason),
                    // A rejection does not settle an earlier attempt whose outcome is unknown.
                    ChangeResponse::Refused(error) if last_error.is_none() => return Err(error),
                    ChangeResponse::Refused(error) => last_error = Some(error.to_string()),
                },
                Err(error @ ClientError::NotSent { .. }) if last_error.is_none() => {
                    return Err(client_error(&error));
                }
                Err(error) => last_error = Some(error.to_string()),
            }
        }
        let reason = last_error.unwrap_or_default();
        let message = format!(
            "the change may have been accepted: {reason}; ask with `jujubewinch config change \
             {change_id}`, or repeat the command with --change-id {change_id}"
        );
        let error = RequestError::may_have_run(ErrorCode::Unavailable, message);
        Err(CommandError::Request(error))
    }

    fn change_body(
        &self,
        matches: &ArgMatches,
        change_id: &str,
        fields: Value,
    ) -> Result<Vec<u8>, CommandError> {
        let expected_version = match matches.get_one::<u64>("expected-version") {
            Some(version) => *version,
            None => self.version()?,
        };
        let author = self.author(matches);
        let mut body = match fields {
            Value::Object(fields) => fields,
            _ => Map::new(),
        };
        body.insert("change_id".to_owned(), json!(change_id));
        body.insert("expected_version".to_owned(), json!(expected_version));
        body.insert("author".to_owned(), json!(author));
        body.insert(
            "reason".to_owned(),
            json!(value::<String>(matches, "reason")),
        );
        body.insert("dry_run".to_owned(), json!(matches.get_flag("dry-run")));
        Ok(Value::Object(body).to_string().into_bytes())
    }

    /// Author to send with a change: `--author`, or else `USER` if no token is set. With a token,
    /// the host knows the author.
    pub fn author(&self, matches: &ArgMatches) -> Option<String> {
        let named = matches.get_one::<String>("author").cloned();
        named.or_else(|| {
            let user = std::env::var("USER").ok();
            user.filter(|user| self.token.is_none() && !user.is_empty())
        })
    }

    /// Calls an operation that is not a change of the configuration and whose response body is a
    /// `T` with every HTTP status.
    pub fn operate<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<T, CommandError> {
        let bytes = body.to_string().into_bytes();
        match self.send_within(Method::POST, path, Some(&bytes), timeout) {
            Ok(response) => {
                serde_json::from_slice(&response.body).map_err(|_| response_error(&response))
            }
            Err(error @ ClientError::NotSent { .. }) => Err(client_error(&error)),
            Err(error) => {
                let message = format!("the operation may have been carried out: {error}");
                let error = RequestError::may_have_run(ErrorCode::Unavailable, message);
                Err(CommandError::Request(error))
            }
        }
    }

    fn version(&self) -> Result<u64, CommandError> {
        let status = self.get("/v1/configuration/status", &[])?;
        status["version"].as_u64().ok_or_else(|| {
            CommandError::Failed("the host did not report a configuration version".to_owned())
        })
    }

    fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<ClientResponse, ClientError> {
        self.send_within(method, path, body, EXCHANGE_TIMEOUT)
    }

    fn send_within(
        &self,
        method: Method,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<ClientResponse, ClientError> {
        let url = format!("http://{}{path}", self.address);
        let mut request = ClientRequest::new(method, url, Instant::now() + timeout);
        if let Some(token) = &self.token {
            request = request.header(headers::AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(body) = body {
            request = request.header("content-type", "application/json");
            request.body = body.to_vec();
        }
        self.client.send(request)
    }
}

/// Writes to standard output and returns write errors; `print!` would panic when the reader has
/// closed the pipe.
pub(super) fn write_output(text: &str) -> Result<(), CommandError> {
    std::io::stdout()
        .write_all(text.as_bytes())
        .map_err(|error| CommandError::Failed(format!("cannot write the output: {error}")))
}

/// What a response says about the outcome of a change.
enum ChangeResponse {
    /// The outcome is final.
    Final(Box<ChangeReply>),
    /// The change may have been accepted or may still be; holds the reason.
    Unknown(String),
    /// This attempt was rejected.
    Refused(CommandError),
}

fn classify(response: &ClientResponse) -> ChangeResponse {
    match serde_json::from_slice::<ChangeReply>(&response.body) {
        Ok(reply) if reply.outcome == ChangeResult::Unknown => {
            ChangeResponse::Unknown(reply.message.unwrap_or_default())
        }
        Ok(reply) => ChangeResponse::Final(Box::new(reply)),
        Err(_) if response.status == 502 => ChangeResponse::Unknown("status 502".to_owned()),
        Err(_) => ChangeResponse::Refused(response_error(response)),
    }
}

fn check_outcome(reply: ChangeReply) -> Result<ChangeReply, CommandError> {
    if matches!(reply.outcome, ChangeResult::Accepted | ChangeResult::Valid) {
        return Ok(reply);
    }
    let mut message = format!("{}: {}", reply.outcome, reply.message.unwrap_or_default());
    if let Some(accepted) = &reply.accepted {
        message.push_str(&format!(
            "\naccepted instead, by {} at {}: {}",
            accepted.author,
            timestamp(accepted.at_unix_ms),
            json!(accepted.change)
        ));
    }
    Err(CommandError::Refused(message))
}

/// Reads the token from `JUJUBEWINCH_TOKEN`; an empty value counts as absent.
pub(super) fn token_from_environment() -> Option<String> {
    let token = std::env::var(TOKEN_VARIABLE).ok()?;
    Some(token.trim().to_owned()).filter(|token| !token.is_empty())
}

fn read_token(path: &PathBuf) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        CommandError::Usage(format!(
            "cannot read the token file {}: {error}",
            path.display()
        ))
    })?;
    Ok(text.trim().to_owned())
}

/// Percent-encodes a name for use as a path segment or query value.
pub(super) fn encode(name: &str) -> String {
    utf8_percent_encode(name, NON_ALPHANUMERIC).to_string()
}

fn decode(response: &ClientResponse) -> Result<Value, CommandError> {
    serde_json::from_slice(&response.body)
        .map_err(|error| CommandError::Failed(format!("the host sent invalid JSON: {error}")))
}

fn client_error(error: &ClientError) -> CommandError {
    CommandError::Failed(format!(
        "{error}; --admin names the administration address of an entry host"
    ))
}

fn response_error(response: &ClientResponse) -> CommandError {
    let Ok(error) = serde_json::from_slice::<ErrorBody>(&response.body) else {
        return CommandError::Failed(format!("status {} without an error body", response.status));
    };
    let advice = match error.code {
        ErrorCode::Unauthenticated => "; give --token-file or set JUJUBEWINCH_TOKEN",
        _ => "",
    };
    CommandError::Refused(format!("{}: {}{advice}", error.code, error.message))
}
