//! Threads that execute tasks and are used again.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, unbounded};

/// Time after which an idle thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

type Job = Box<dyn FnOnce() + Send>;

/// Grows with the number of jobs at once.
#[derive(Clone)]
pub(super) struct Pool {
    sender: Sender<Job>,
    receiver: Receiver<Job>,
    /// Threads that wait and are not claimed by a job.
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

    /// Executes the job at once, on an idle thread or a new one.
    pub fn execute(&self, job: impl FnOnce() + Send + 'static) {
        if self.claim() {
            let _ = self.sender.send(Box::new(job));
            return;
        }
        let (idle, receiver) = (Arc::clone(&self.idle), self.receiver.clone());
        thread::spawn(move || {
            job();
            work(&idle, &receiver);
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

fn work(idle: &AtomicUsize, receiver: &Receiver<Job>) {
    loop {
        idle.fetch_add(1, Ordering::AcqRel);
        let job = match receiver.recv_timeout(IDLE_TIMEOUT) {
            Ok(job) => job,
            Err(_) if claim(idle) => return,
            // A job has claimed this thread and is on its way.
            Err(_) => match receiver.recv() {
                Ok(job) => job,
                Err(_) => return,
            },
        };
        job();
    }
}
