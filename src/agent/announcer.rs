//! Announces the runner to entry hosts and keeps its lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use hyper::Method;

use super::tasks::TaskTable;
use crate::http::client::ClientRequest;
use crate::http::{Client, ClientOptions};
use crate::ids::Incarnation;
use crate::protocol::headers;
use crate::protocol::worker::{Announcement, AnnouncementReply, WorkerPhase};

/// Time for one exchange with an entry host.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after an announcement that no entry host took.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Granularity in which changes of phase and lapsed leases are noticed.
const TICK: Duration = Duration::from_millis(50);

/// A start number that grows with each start as long as the clock is not set back.
pub fn new_incarnation() -> Incarnation {
    let age = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}

/// Loop that announces one runner.
pub struct Announcer {
    /// What is announced; tasks and phase are filled in each time.
    pub announcement: Announcement,
    /// Entry hosts, tried in turn.
    pub entry_hosts: Vec<SocketAddr>,
    /// Token with the role `announce`, where authentication is on.
    pub token: Option<String>,
    /// Tasks of the runner.
    pub tasks: Arc<TaskTable>,
    /// Set when the runner is leaving.
    pub leaving: Arc<AtomicBool>,
    /// Set when the loop should end.
    pub stopped: Arc<AtomicBool>,
}

impl Announcer {
    /// Announces until `stopped` is set.
    pub fn run(mut self) {
        let client = Client::new(ClientOptions::default());
        let mut next_host = 0;
        while !self.stopped.load(Ordering::Acquire) {
            self.tasks.faults().wait_while_paused();
            let sent_at = Instant::now();
            let pause = match self.announce(&client, next_host) {
                Some(reply) => {
                    let lease_ends_at = sent_at + Duration::from_millis(reply.lease_ms);
                    self.tasks.renew(reply.epoch, lease_ends_at);
                    self.tasks.stop(&reply.stop);
                    Duration::from_millis(reply.next_announcement_ms)
                }
                None => RETRY_PAUSE,
            };
            next_host += 1;
            self.pause_until(sent_at + pause);
        }
    }

    fn announce(&mut self, client: &Client, next_host: usize) -> Option<AnnouncementReply> {
        if self.entry_hosts.is_empty() {
            return None;
        }
        if self.leaving.load(Ordering::Acquire) {
            self.announcement.phase = WorkerPhase::Leaving;
        }
        self.announcement.incarnation = self.tasks.incarnation();
        self.announcement.tasks = self.tasks.announced_tasks();
        self.announcement.usage = self.tasks.usage();
        self.announcement.highest_epoch = self.tasks.highest_epoch();
        let host = self.entry_hosts[next_host % self.entry_hosts.len()];
        let deadline = Instant::now() + ANNOUNCEMENT_TIMEOUT;
        let url = format!("http://{host}/v1/announcements");
        let mut request = ClientRequest::new(Method::POST, url, deadline)
            .header("content-type", "application/json");
        if let Some(token) = &self.token {
            request = request.header(headers::AUTHORIZATION, format!("Bearer {token}"));
        }
        request.body = serde_json::to_vec(&self.announcement).ok()?;
        match client.send(request) {
            Ok(response) if response.status == 200 => serde_json::from_slice(&response.body).ok(),
            Ok(response) => {
                log::debug!("announcement refused with status {}", response.status);
                None
            }
            Err(error) => {
                log::debug!("announcement failed: {error}");
                None
            }
        }
    }

    /// Sleeps, but returns at once when the runner starts to leave or stops.
    fn pause_until(&self, until: Instant) {
        let was_leaving = self.leaving.load(Ordering::Acquire);
        while Instant::now() < until && !self.stopped.load(Ordering::Acquire) {
            if self.leaving.load(Ordering::Acquire) != was_leaving {
                return;
            }
            thread::sleep(TICK);
            self.tasks.faults().wait_while_paused();
            self.tasks.stop_if_lapsed(Instant::now());
        }
    }
}
