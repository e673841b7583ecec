//! Bounded threads for handlers that block.

use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use super::call_load::CountedThread;
use super::responder::Responder;
use crate::protocol::peer::PeerReply;

/// Stack of a call's thread; handlers do not recurse.
const CALL_STACK_BYTES: usize = 256 * 1024;
/// Time after which a thread without calls ends.
const IDLE_THREAD_LIFETIME: Duration = Duration::from_secs(10);

/// Computes and gives a reply; may block.
type Work = Box<dyn FnOnce(Responder) + Send>;

/// Bounds of a [`CallPool`].
#[derive(Clone, Debug)]
pub struct CallPoolOptions {
    /// Name of the threads.
    pub name: String,
    /// Calls that are handled at once.
    pub max_threads: usize,
    /// Calls that wait for a thread; further ones are refused.
    pub max_queued: usize,
}

/// Threads that handle calls of one kind. They start when calls come and end when none do:
/// starting a thread for each call took a third of the processor time of a follower.
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
    /// Started threads; never more than `max_threads`.
    threads: usize,
    /// Calls that are being handled; never more than `threads`.
    handled: usize,
}

impl CallPool {
    /// A pool without threads.
    pub fn new(options: CallPoolOptions) -> Self {
        Self {
            shared: Arc::new(Shared {
                options,
                state: Mutex::default(),
                work: Condvar::new(),
            }),
        }
    }

    /// Hands a call to a thread; refuses it when all are busy and the queue is full.
    pub fn run(&self, responder: Responder, work: impl FnOnce(Responder) + Send + 'static) {
        let CallPoolOptions {
            name,
            max_threads,
            max_queued,
        } = &self.shared.options;
        let mut state = self.shared.state.lock().unwrap();
        if state.handled + state.queue.len() >= max_threads + max_queued {
            drop(state);
            responder.answer(PeerReply::Refused(format!("too many calls: {name}")));
            return;
        }
        state.queue.push_back((responder, Box::new(work)));
        let free = state.threads - state.handled;
        if free >= state.queue.len() {
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
                log::warn!("cannot start a thread for calls: {error}");
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

    /// Started threads.
    pub fn threads(&self) -> usize {
        self.shared.state.lock().unwrap().threads
    }
}

impl Shared {
    fn handle_calls(&self) {
        let _counted = CountedThread::begin();
        while let Some((responder, work)) = self.next_call() {
            responder.begin();
            // A panic ends its call as unanswered, and the thread stays counted.
            if catch_unwind(AssertUnwindSafe(|| work(responder))).is_err() {
                log::error!("a handler of calls panicked");
            }
            self.state.lock().unwrap().handled -= 1;
        }
    }

    /// Waits for a call; `None` when the thread may end.
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
            Some(_) => state.handled += 1,
            None => state.threads -= 1,
        }
        call
    }
}
