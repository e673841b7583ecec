//! Thread pools of limited size for handlers that block.

use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use super::call_load::CountedThread;
use super::responder::Responder;
use crate::protocol::peer::PeerReply;

/// Stack size of a pool thread; handlers do not recurse.
const CALL_STACK_BYTES: usize = 256 * 1024;
/// Time without calls after which a thread ends.
const IDLE_THREAD_LIFETIME: Duration = Duration::from_secs(10);

/// Handles a call and answers it through the responder; may block.
type Work = Box<dyn FnOnce(Responder) + Send>;

/// Name and limits of a [`CallPool`].
#[derive(Clone, Debug)]
pub struct CallPoolOptions {
    /// Name of the threads, which also appears in refusals.
    pub name: String,
    /// Largest number of calls that are handled concurrently.
    pub max_threads: usize,
    /// Largest number of calls that wait for a thread; further calls are refused.
    pub max_queued: usize,
}

/// A pool of threads for calls of one kind. Threads start on demand, are reused and end when idle.
/// A new thread for each call took a third of the processor time of a follower.
#[derive(Clone)]
pub struct CallPool {
    shared: Arc<Shared>,
}

struct Shared {
    options: CallPoolOptions,
    state: Mutex<PoolState>,
    work: Condvar,
}

#[derive(Default)]
struct PoolState {
    queue: VecDeque<(Responder, Work)>,
    /// Number of running threads; at most `max_threads`.
    threads: usize,
    /// Number of calls that are being handled; at most `threads`.
    active_calls: usize,
}

impl CallPool {
    /// Creates a pool, which starts its threads on demand.
    pub fn new(options: CallPoolOptions) -> Self {
        Self {
            shared: Arc::new(Shared {
                options,
                state: Mutex::default(),
                work: Condvar::new(),
            }),
        }
    }

    /// Schedules a call on a thread of the pool. Refuses the call when all threads are busy and the
    /// queue is full, or when no thread can be started.
    pub fn run(&self, responder: Responder, work: impl FnOnce(Responder) + Send + 'static) {
        let CallPoolOptions {
            name,
            max_threads,
            max_queued,
        } = &self.shared.options;
        let mut state = self.shared.state.lock().unwrap();
        if state.active_calls + state.queue.len() >= max_threads + max_queued {
            drop(state);
            responder.answer(PeerReply::Refused(format!("too many calls: {name}")));
            return;
        }
        state.queue.push_back((responder, Box::new(work)));
        let idle = state.threads - state.active_calls;
        if idle >= state.queue.len() {
            self.shared.work.notify_one();
            return;
        }
        if state.threads >= *max_threads {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let spawned = thread::Builder::new()
            .name(name.clone())
            .stack_size(CALL_STACK_BYTES)
            .spawn(move || shared.handle_calls());
        match spawned {
            Ok(_) => state.threads += 1,
            Err(error) => {
                log::warn!("cannot start a thread for peer calls: {error}");
                if state.threads > 0 {
                    return;
                }
                let unhandled = state.queue.pop_back();
                drop(state);
                if let Some((responder, _)) = unhandled {
                    responder.answer(PeerReply::Refused("no thread for the call".to_owned()));
                }
            }
        }
    }

    /// Returns the number of running threads.
    pub fn threads(&self) -> usize {
        self.shared.state.lock().unwrap().threads
    }
}

impl Shared {
    fn handle_calls(&self) {
        let _counted = CountedThread::begin();
        while let Some((responder, work)) = self.next_call() {
            responder.begin();
            // A panic drops the responder, which ends the call as unanswered. The thread continues
            // with the next call and remains counted.
            if catch_unwind(AssertUnwindSafe(|| work(responder))).is_err() {
                log::error!("the handler of a peer call panicked");
            }
            self.state.lock().unwrap().active_calls -= 1;
        }
    }

    /// Waits for a call; `None` when the thread was idle for its lifetime and has to end.
    fn next_call(&self) -> Option<(Responder, Work)> {
        let mut state = self.state.lock().unwrap();
        if state.queue.is_empty() {
            let no_work = |state: &mut PoolState| state.queue.is_empty();
            let waited = self
                .work
                .wait_timeout_while(state, IDLE_THREAD_LIFETIME, no_work);
            state = waited.unwrap().0;
        }
        let call = state.queue.pop_front();
        match call {
            Some(_) => state.active_calls += 1,
            None => state.threads -= 1,
        }
        call
    }
}
