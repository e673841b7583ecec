//! Random and malformed messages to the decoders of the users' platform.

use std::thread;

use jujubewinch::platform::configuration::decode_configuration;
use jujubewinch::platform::wire::{JobBody, decode_heartbeat, decode_policy_answer, decode_report};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Stack of the threads that decode the answers of workers; the smallest of all decoding threads.
const STACK_BYTES: usize = 256 * 1024;
const SEEDS: u64 = 400;
const MESSAGES: [&str; 5] = [
    r#"{"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":16000,
        "mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"seq":4,"born":1790000000000}"#,
    r#"{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","timeout_ms":3000,
        "priority":1,"service":"s","max_attempts":4,"slack_factor":2.2,"policy_service":
        {"decision_ms":410.0,"per_worker_ms":5.9,"validity_ms":2000}}],
        "services":[{"name":"s","enforce_capacity":false}]}"#,
    r#"{"good":[["i-1","t-1"],["i-2","t-2"]],"validity_ms":2000}"#,
    r#"{"clock_ms":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",40,3]],
        "ended_runs":[[57,"5c0e7a21d94b36f8.0.1.16",1,"done",""]],"born":9}"#,
    r#"{"task_spec":"t","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900},
        {"count":2,"depends_on":[0],"gang":true}],"repeat_count":3,"interval_ms":5}"#,
];
const FRAGMENTS: [&str; 12] = [
    "18446744073709551615",
    "18446744073709551616",
    "-1",
    "1e308",
    "1e999",
    "null",
    "[]",
    "{}",
    "\"\\ud800\"",
    "\"é.é.é.é\"",
    "\"....\"",
    "\"a.4294967296.0.0\"",
];

/// Decodes a message as each kind, and checks jobs and configurations as the placer does.
fn decode_all(body: &[u8]) {
    let _ = decode_heartbeat("i-1", body);
    let _ = decode_policy_answer(body);
    let _ = decode_report(body, 1);
    if let Ok(configuration) = decode_configuration(body) {
        let _ = configuration.queues.validate();
        configuration.queues.find("h", "/p/é");
    }
    if let Ok(job) = serde_json::from_slice::<JobBody>(body) {
        let spec = job.into_spec();
        if spec.validate().is_ok() {
            spec.critical_path_ms();
        }
    }
}

/// Replaces a value, or a part of the bytes, of a message.
fn mutate(message: &str, random: &mut StdRng) -> Vec<u8> {
    let fragment = FRAGMENTS[random.random_range(0..FRAGMENTS.len())];
    let values: Vec<usize> = message
        .match_indices([':', ',', '['])
        .map(|m| m.0)
        .collect();
    let value = values[random.random_range(0..values.len())] + 1;
    let rest = &message[value..];
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    let mut bytes = match random.random_range(0..4) {
        0 => message.as_bytes()[..random.random_range(0..message.len())].to_vec(),
        _ => format!("{}{fragment}{}", &message[..value], &rest[end..]).into_bytes(),
    };
    if random.random_bool(0.2) && !bytes.is_empty() {
        let position = random.random_range(0..bytes.len());
        bytes[position] = random.random();
    }
    bytes
}

fn on_small_stack(run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(STACK_BYTES).spawn(run);
    thread.unwrap().join().expect("the decoders do not panic");
}

/// Guards against a malformed message that ends the thread of a connection or of a link.
#[test]
fn malformed_messages_end_no_thread() {
    on_small_stack(|| {
        for seed in 0..SEEDS {
            let mut random = StdRng::seed_from_u64(seed);
            for message in MESSAGES {
                let mutated = mutate(message, &mut random);
                decode_all(&mutated);
                // Two faults in one message.
                if let Ok(text) = String::from_utf8(mutated)
                    && text.contains(':')
                {
                    decode_all(&mutate(&text, &mut random));
                }
            }
        }
    });
}

/// Guards against a message that ends the process, since its nesting exhausts the stack.
#[test]
fn deeply_nested_messages_are_refused() {
    on_small_stack(|| {
        for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
            let nested = format!("{}0{}", open.repeat(100_000), close.repeat(100_000));
            decode_all(nested.as_bytes());
            for field in ["unknown", "running", "steps", "good", "routes", "capacity"] {
                decode_all(format!("{{\"{field}\":{nested}}}").as_bytes());
            }
        }
    });
}
