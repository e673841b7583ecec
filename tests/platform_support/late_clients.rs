//! Clients that do not wait for the answer to their submission.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use http::Method;
use rustix::process::Signal;
use serde_json::{Value, json};

use super::recorded::{TestCell, path};
use super::run_record::recorded_runs;
use super::{Runner, await_some};

/// A job that may wait for long, so that a busy cell accepts it.
fn patient_job() -> Value {
    json!({"task_spec": "plan", "steps": [
        {"count": 2, "cpu": 100, "mem_mb": 10, "estimate_ms": 60_000}]})
}

/// Sends a submission that asks for an answer within `wait`, and closes the connection without
/// reading one. An entry host that stands still finds it in its socket when it goes on.
pub fn submit_without_answer(address: &str, job: &str, key: Option<&str>, wait: Duration) {
    let body = patient_job().to_string();
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

impl TestCell {
    /// Lets the last entry host stand still while a client hands a job in there, leaves without an
    /// answer, and cancels the job at the first one. The host goes on after the acknowledgement.
    pub fn cancel_without_answer(&mut self, wait: Duration, still_time: Duration) {
        let job = self.record.get_mut().unwrap().next_job();
        let still_host = *self.cell.size.entries().end();
        self.processes.signal(still_host, Signal::STOP);
        let key = self.cell.key.lock().unwrap().clone();
        let address = self.cell.caller_address(still_host);
        submit_without_answer(&address, &job, key.as_deref(), wait);
        thread::sleep(still_time);
        let status = await_some(|| {
            let answer = self
                .cell
                .caller(Method::DELETE, &path(&job), &Value::Null)?;
            (answer.status < 500).then_some(answer.status)
        });
        assert_eq!(status, 410, "the cancellation of job {job}");
        self.processes.signal(still_host, Signal::CONT);
        self.cancelled_early.push(job);
    }

    /// Checks that no job runs or is shown that was cancelled before its submission arrived.
    pub fn check_cancelled_early(&self) {
        let workers: Vec<&Runner> = self.workers.iter().map(Arc::as_ref).collect();
        let runs = recorded_runs(&workers);
        for job in &self.cancelled_early {
            let has_run = runs.iter().any(|(task, ..)| task.starts_with(job.as_str()));
            assert!(!has_run, "the cancelled job {job} has run");
            let status = await_some(|| {
                let answer = self.cell.caller(Method::GET, &path(job), &Value::Null)?;
                (answer.status < 500).then_some(answer.status)
            });
            assert_eq!(status, 410, "the cancelled job {job} is shown");
        }
    }
}
