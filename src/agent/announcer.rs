//! Announces the runner to entry hosts and applies the leases that they grant.

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

/// Timeout of one exchange with an entry host.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed announcement.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Interval of the checks for changes of phase and for expired leases.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a new incarnation, which is higher than those of earlier starts unless the clock was set
/// back.
pub fn new_incarnation() -> Incarnation {
    let age = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}

/// Announces one runner at the interval that the placer requests.
pub struct Announcer {
    /// Announcement; its incarnation, tasks, usage, epoch and phase are updated each time.
    pub announcement: Announcement,
    /// Addresses of the caller interface of entry hosts, used in turn.
    pub entry_hosts: Vec<SocketAddr>,
    /// Token with the role `announce`; absent without authentication.
    pub token: Option<String>,
    /// Tasks of the runner, whose leases the replies renew.
    pub tasks: Arc<TaskTable>,
    /// Set when the runner is leaving; announced as its phase.
    pub leaving: Arc<AtomicBool>,
    /// Set to end [`Self::run`].
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
                    self.tasks.renew_lease(reply.epoch, lease_ends_at);
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
        let incarnation = self.tasks.incarnation();
        self.tasks.announcing(incarnation, Instant::now());
        self.announcement.incarnation = incarnation;
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

    /// Sleeps until the given time, or until the runner begins to leave or stops.
    fn pause_until(&self, until: Instant) {
        let was_leaving = self.leaving.load(Ordering::Acquire);
        while Instant::now() < until && !self.stopped.load(Ordering::Acquire) {
            if self.leaving.load(Ordering::Acquire) != was_leaving {
                return;
            }
            thread::sleep(CHECK_INTERVAL);
            self.tasks.faults().wait_while_paused();
            self.tasks.wake_if_lease_expired(Instant::now());
        }
    }
}
