//! Order in which waiting requests get runner slots.

use std::collections::VecDeque;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use crate::ids::{CallerId, MemberId, RequestKey, ServiceName};
use crate::protocol::caller::Urgency;
use crate::verdict::{ErrorCode, RequestError};

/// Suggested pause for a caller whose request was refused.
const RETRY_AFTER_MS: u64 = 1_000;

/// What the queue knows about a waiting request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Key of the request; unique in the queue.
    pub key: RequestKey,
    /// Member that pays for it.
    pub member: MemberId,
    /// Caller within the member.
    pub caller: CallerId,
    /// Service that executes it.
    pub service: ServiceName,
    /// Order within the member.
    pub urgency: Urgency,
    /// When it becomes useless.
    pub deadline: Instant,
    /// When it was admitted.
    pub admitted_at: Instant,
}

/// Result of [`RequestQueue::next`].
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// Request that gets the free slot.
    pub chosen: Option<QueuedRequest>,
    /// Requests taken out since they can no longer meet their deadline or were shed.
    pub refused: Vec<(QueuedRequest, ErrorCode)>,
}

/// Waiting requests of one data centre, first come first served per service.
#[derive(Default)]
pub struct RequestQueue {
    max_queued: usize,
    waiting: IndexMap<ServiceName, VecDeque<QueuedRequest>>,
    /// Keys in `waiting` that have not been cancelled.
    live: IndexSet<RequestKey>,
}

impl RequestQueue {
    /// An empty queue with a bound.
    pub fn new(max_queued: usize) -> Self {
        Self {
            max_queued,
            ..Self::default()
        }
    }

    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// `Overloaded` with verdict `did_not_run` and a retry-after.
    pub fn admit(&mut self, request: QueuedRequest, _now: Instant) -> Result<(), RequestError> {
        if self.live.len() >= self.max_queued {
            let message = format!("{} requests are waiting", self.live.len());
            return Err(RequestError::did_not_run(ErrorCode::Overloaded, message)
                .retry_after_ms(RETRY_AFTER_MS));
        }
        self.live.insert(request.key.clone());
        self.waiting
            .entry(request.service.clone())
            .or_default()
            .push_back(request);
        Ok(())
    }

    /// Takes a request out; returns whether it was waiting.
    pub fn cancel(&mut self, key: &str) -> bool {
        self.live.swap_remove(key)
    }

    /// Chooses the request that gets a free slot of the service.
    pub fn next(&mut self, service: &str, now: Instant) -> Selection {
        let mut selection = Selection::default();
        let Some(waiting) = self.waiting.get_mut(service) else {
            return selection;
        };
        while let Some(request) = waiting.pop_front() {
            if !self.live.swap_remove(&request.key) {
                continue;
            }
            if request.deadline <= now {
                selection
                    .refused
                    .push((request, ErrorCode::DeadlineExceeded));
                continue;
            }
            selection.chosen = Some(request);
            break;
        }
        selection
    }

    /// Records that a request of the member released its slot after the given time.
    pub fn finished(&mut self, _request: &QueuedRequest, _started_at: Instant, _now: Instant) {}

    /// Requests waiting now.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}
