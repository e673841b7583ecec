//! Records of a stand-in runner that holds as many as it may.

use std::sync::Arc;

use hyper::{HeaderMap, Method};
use indexmap::IndexMap;

use jujubewinch::agent::serve;
use jujubewinch::agent::tasks::{MAX_DROPPED_IDS, MAX_FINISHED_TASKS, TaskTable};
use jujubewinch::http::Request;
use jujubewinch::protocol::headers;

fn call(tasks: &Arc<TaskTable>, method: Method, number: usize) {
    let mut fields = HeaderMap::new();
    fields.insert(headers::EPOCH, 1.into());
    let request = Request {
        method,
        path: format!("/v1/tasks/task-{number}"),
        query: IndexMap::new(),
        headers: fields,
        body: Vec::new(),
        peer_address: None,
    };
    serve(tasks, &request);
}

/// Guards against a second execution by a late copy of a create call: a full list of ids forgot the
/// latest ones in place of the oldest.
#[test]
fn a_full_runner_forgets_its_oldest_tasks_first() {
    for (limit, removes) in [(MAX_FINISHED_TASKS, false), (MAX_DROPPED_IDS, true)] {
        let tasks = Arc::new(TaskTable::new(1, 1));
        let count = limit + 3;
        for number in 0..count {
            call(&tasks, Method::PUT, number);
            if removes {
                call(&tasks, Method::DELETE, number);
            }
        }
        assert_eq!(tasks.started(), count);
        for number in limit - 3..count {
            call(&tasks, Method::PUT, number);
        }
        assert_eq!(tasks.started(), count, "records are removed: {removes}");
    }
}
