//! Clients that do not wait for the answer to their submission.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use super::recorded::{path, short_job};

/// Sends a submission that asks for an answer within `wait`, and closes the connection without
/// reading one. An entry host that stands still finds it in its socket when it goes on.
pub fn submit_without_answer(address: &str, job: &str, key: Option<&str>, wait: Duration) {
    let body = short_job().to_string();
    let key = key.map_or_else(String::new, |key| format!("authorization: Token {key}\r\n"));
    let request = format!(
        "POST {} HTTP/1.1\r\nhost: shop.example\r\ncontent-type: application/json\r\n\
         request-deadline: {}\r\n{key}content-length: {}\r\n\r\n{body}",
        path(job),
        wait.as_millis(),
        body.len()
    );
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
}
