//! Thread pool for the execution of tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, unbounded};

/// Time after which an idle thread exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

type WorkItem = Box<dyn FnOnce() + Send>;

/// Thread pool without an upper bound, which starts a thread whenever none is idle.
#[derive(Clone)]
pub(super) struct Pool {
    sender: Sender<WorkItem>,
    receiver: Receiver<WorkItem>,
    /// Number of waiting threads that no work item has claimed.
    idle: Arc<AtomicUsize>,
}

impl Pool {
    pub fn new() -> Self {
        let (sender, receiver) = unbounded();
        Self {
            sender,
            receiver,
            idle: Arc::default(),
        }
    }

    /// Executes the work item immediately, on an idle thread or a new one.
    pub fn execute(&self, item: impl FnOnce() + Send + 'static) {
        if self.claim() {
            let _ = self.sender.send(Box::new(item));
            return;
        }
        let (idle, receiver) = (Arc::clone(&self.idle), self.receiver.clone());
        thread::spawn(move || {
            item();
            run_items(&idle, &receiver);
        });
    }

    fn claim(&self) -> bool {
        claim(&self.idle)
    }
}

fn claim(idle: &AtomicUsize) -> bool {
    let taken = |count: usize| count.checked_sub(1);
    idle.fetch_update(Ordering::AcqRel, Ordering::Acquire, taken)
        .is_ok()
}

fn run_items(idle: &AtomicUsize, receiver: &Receiver<WorkItem>) {
    loop {
        idle.fetch_add(1, Ordering::AcqRel);
        let item = match receiver.recv_timeout(IDLE_TIMEOUT) {
            Ok(item) => item,
            Err(_) if claim(idle) => return,
            // A work item has claimed this thread and is about to be sent.
            Err(_) => match receiver.recv() {
                Ok(item) => item,
                Err(_) => return,
            },
        };
        item();
    }
}
