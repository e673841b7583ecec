//! Tests the decoding of valid and invalid messages of the users' platform.

use jujubewinch::platform::configuration::decode_configuration;
use jujubewinch::platform::wire::{
    JobBody, StartBody, decode_heartbeat, decode_policy_answer, decode_report,
};
use jujubewinch::workflow::records::RunOutcome;

fn decode_job(text: &str) -> Result<JobBody, serde_json::Error> {
    serde_json::from_str(text)
}

/// Guards against fields that are lost or confused when the platform's names are mapped to the
/// product's names.
#[test]
fn jobs_are_decoded_with_all_their_fields() {
    let body = decode_job(
        r#"{"task_spec":"text","steps":[
            {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"data_rack":"r1-3"},
            {"count":20,"cpu":2000,"mem_mb":1024,"gpu":1,"estimate_ms":7000,"depends_on":[0],
             "saves_progress":true,"gang":true,"same_rack":true,"required_label":"a",
             "anti_affinity":2,"allow_duplicates":true,"long_running":true,"fill_count":true,
             "target_ms":40,"later_field":1}],
            "repeat_count":3,"start_at_ms":9,"interval_ms":5}"#,
    );
    insta::assert_debug_snapshot!(body.unwrap().into_spec());
}

/// Guards against malformed bodies that are accepted as jobs.
#[test]
fn malformed_jobs_are_refused() {
    for text in [
        "",
        "{}",
        "[]",
        r#"{"steps":[{"cpu":1}]}"#,
        r#"{"steps":[{"count":"4"}]}"#,
        r#"{"steps":[{"count":-1}]}"#,
        r#"{"steps":[{"count":1}]"#,
    ] {
        assert!(decode_job(text).is_err(), "{text}");
    }
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"nony24.example",
    "path_prefix":"/lohu930/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":1200,
    "priority":1,"service":"huvo11a","max_attempts":4,"slack_factor":2.2,
    "policy_service":{"decision_ms":410.0,"per_worker_ms":5.9,"validity_ms":2000}}],
    "services":[{"name":"huvo11a","enforce_capacity":false}],"limits":{}}"#;

/// Guards against a configuration that differs from the sent one when it is read back.
#[test]
fn configurations_are_kept_as_they_were_sent() {
    let decoded = decode_configuration(CONFIGURATION.as_bytes()).unwrap();
    assert_eq!(decoded.customers, None);
    let decoded = decoded.queues;
    assert_eq!(decoded.document, CONFIGURATION.as_bytes());
    assert_eq!(decoded.version, 7);
    insta::assert_debug_snapshot!(decoded.queues);
}

/// Guards against configurations that take effect although a part of them cannot be decoded.
#[test]
fn unreadable_configurations_are_refused() {
    let cut_short = &CONFIGURATION.as_bytes()[..CONFIGURATION.len() - 20];
    assert!(decode_configuration(cut_short).is_err());
    for field in [
        "\"version\":7,",
        "\"timeout_ms\":3000,",
        "\"service\":\"huvo11a\",",
    ] {
        let without = CONFIGURATION.replace(field, "");
        assert!(decode_configuration(without.as_bytes()).is_err(), "{field}");
    }
}

/// Guards against a list of customers that is lost, after which calls would need no keys.
#[test]
fn a_list_of_customers_that_cannot_be_read_is_refused() {
    let with = |list: &str| {
        let list = format!("\"limits\":{{}},\"tenants\":{list}");
        CONFIGURATION.replace("\"limits\":{}", &list)
    };
    for list in ["null", "{}", "[{}]", r#"[{"name":"acme","weight":"1"}]"#] {
        assert!(
            decode_configuration(with(list).as_bytes()).is_err(),
            "{list}"
        );
    }
    let empty = decode_configuration(with("[]").as_bytes()).unwrap();
    assert!(empty.customers.is_some());
}

const HEARTBEAT: &str = r#"{"service":"huvo11a","addr":"10.128.0.9:8080","zone":"erdenet",
    "version":"v1","slots":8,"state":"ready","cold_left_ms":0,"born":1772671542368,
    "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"seq":4}"#;

/// Guards against heartbeats of other senders that are accepted as heartbeats of workers.
#[test]
fn heartbeats_of_other_senders_are_refused() {
    let heartbeat = decode_heartbeat("i-1", HEARTBEAT.as_bytes()).unwrap();
    assert_eq!(heartbeat.record.incarnation, 1_772_671_542_368);
    assert_eq!(heartbeat.record.rack(), "r1-3");
    assert!(!heartbeat.record.draining);
    for (field, replacement) in [
        ("\"state\":\"ready\"", "\"state\":\"sleeping\""),
        ("\"addr\":\"10.128.0.9:8080\"", "\"addr\":\"somewhere\""),
        ("\"seq\":4", "\"seq\":\"4\""),
        ("\"labels\":[\"a\",\"r1-3\"],", ""),
        ("\"cpu\":16000", "\"cpu\":null"),
    ] {
        let text = HEARTBEAT.replace(field, replacement);
        assert!(
            decode_heartbeat("i-1", text.as_bytes()).is_err(),
            "{replacement}"
        );
    }
    assert!(decode_heartbeat("i-1", b"\xff\xfe").is_err());
}

/// Guards against sums over the workers that overflow: any amount can be announced as a capacity.
#[test]
fn heartbeats_with_implausible_capacities_are_refused() {
    for (field, replacement) in [
        ("\"cpu\":16000", "\"cpu\":18446744073709551615"),
        ("\"mem_mb\":32768", "\"mem_mb\":18446744073709551615"),
        ("\"gpu\":0", "\"gpu\":18446744073709551615"),
    ] {
        let text = HEARTBEAT.replace(field, replacement);
        assert_ne!(text, HEARTBEAT);
        assert!(
            decode_heartbeat("i-1", text.as_bytes()).is_err(),
            "{replacement}"
        );
    }
    let idle = HEARTBEAT.replace("\"cpu\":16000", "\"cpu\":0");
    assert!(decode_heartbeat("i-1", idle.as_bytes()).is_ok());
}

/// Guards against a list with an unreadable row that is accepted as complete: a missing row would
/// mean that its run has ended, and another run would be started.
#[test]
fn lists_with_unreadable_rows_are_not_complete() {
    let valid = r#"{"clock_ms":5,"born":3,
        "running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,7]],
        "ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}"#;
    let report = decode_report(valid.as_bytes(), 1).unwrap();
    assert_eq!((report.incarnation, report.clock_ms), (3, 5));
    assert_eq!(
        report.running[0].task.to_string(),
        "5c0e7a21d94b36f8.0.1.17"
    );
    assert_eq!(report.ends[0].outcome, RunOutcome::Succeeded);
    assert!(report.complete);
    for (field, replacement) in [
        ("\"done\"", "\"dunno\""),
        ("58,", "\"58\","),
        (".0.1.17", ""),
        ("58,", "18446744073709551615,"),
    ] {
        let text = valid.replace(field, replacement);
        let report = decode_report(text.as_bytes(), 1).unwrap();
        assert_eq!(report.running.len() + report.ends.len(), 1, "{replacement}");
        assert!(!report.complete, "{replacement}");
    }
}

/// Entries that another writer may leave among those of the workers.
fn odd_entries() -> Vec<String> {
    vec![
        format!("{}0{}", "[".repeat(10_000), "]".repeat(10_000)),
        format!("{}0{}", "{\"a\":".repeat(10_000), "}".repeat(10_000)),
        "[1e999,1e999,1e999,1e999,1e999]".to_owned(),
        "[123456789012345678901234567890,2,3,4,5]".to_owned(),
        "{}".to_owned(),
        "null".to_owned(),
        "\"10.0.0.1:99999\"".to_owned(),
    ]
}

/// Guards against a worker that counts as silent because of one odd entry in its lists: its lease
/// expires, and its runs are given up (LOST).
#[test]
fn an_odd_entry_hides_no_other_entry_of_a_worker() {
    for odd in odd_entries() {
        let text = format!(
            r#"{{"clock_ms":5,"born":3,"odd":{odd},
                "running":[{odd},["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,7],{odd}],
                "ended_runs":[{odd},[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],{odd}]}}"#
        );
        let report = decode_report(text.as_bytes(), 1).expect("the answer is readable");
        assert_eq!((report.running.len(), report.ends.len()), (1, 1));
        assert!(report.complete);
        let text = format!(r#"{{"good":[{odd},["i-7f3a91c2","c81e-7a21d94b"],{odd}]}}"#);
        let answer = decode_policy_answer(text.as_bytes()).expect("the answer is readable");
        assert_eq!(answer.granted.len(), 1);
    }
    let text = b"{\"clock_ms\":5,\"running\":[[\"\xff\xfe\",1,\"\",2]],\"ended_runs\":[]}";
    assert!(!decode_report(text, 1).unwrap().complete);
}

/// Guards against a heartbeat of another writer after which those of the worker itself count as
/// late, and against workers at addresses that cannot be called.
#[test]
fn heartbeats_with_implausible_numbers_and_ports_are_refused() {
    for (field, replacement) in [
        ("\"seq\":4", "\"seq\":18446744073709551615"),
        ("\"seq\":4", "\"seq\":9223372036854775807"),
        ("\"born\":1772671542368", "\"born\":18446744073709551615"),
        ("\"born\":1772671542368", "\"born\":9223372036854775807"),
        ("10.128.0.9:8080", "10.128.0.9:99999"),
        ("10.128.0.9:8080", "10.128.0.9:0"),
        ("10.128.0.9:8080", "0.0.0.0:8080"),
        ("10.128.0.9:8080", "224.0.0.1:8080"),
    ] {
        let text = HEARTBEAT.replace(field, replacement);
        assert_ne!(text, HEARTBEAT);
        let decoded = decode_heartbeat("i-1", text.as_bytes());
        assert!(decoded.is_err(), "{replacement}");
    }
}

/// Guards against a list of ends that is cut at the row limit of an answer but accepted as
/// complete.
#[test]
fn long_lists_of_ends_are_not_complete() {
    let rows: Vec<String> = (1..=500)
        .map(|number| format!(r#"[{number},"5c0e7a21d94b36f8.0.0.{number}",1,"done",""]"#))
        .collect();
    let text = format!(
        r#"{{"clock_ms":5,"running":[],"ended_runs":[{}]}}"#,
        rows.join(",")
    );
    assert!(!decode_report(text.as_bytes(), 1).unwrap().complete);
}

/// Guards against permits that are assigned to the wrong worker.
#[test]
fn permits_are_decoded_by_worker() {
    let answer = br#"{"good":[["i-7f3a91c2","c81e-7a21d94b"]],"validity_ms":3000}"#;
    let answer = decode_policy_answer(answer).unwrap();
    assert_eq!(
        answer.granted,
        [("i-7f3a91c2".to_owned(), "c81e-7a21d94b".to_owned())]
    );
    assert_eq!(answer.validity_ms, Some(3_000));
    assert!(decode_policy_answer(b"{}").is_err());
}

/// Guards against an empty checkpoint that is sent to the worker as a valid one.
#[test]
fn a_start_without_checkpoint_omits_the_field() {
    let body = StartBody {
        task: "5c0e7a21d94b36f8.0.1.17".to_owned(),
        run_id: 2,
        task_spec: "text",
        deadline_ms: 9,
        fence_token: 7,
        last_checkpoint: "",
        ticket_id: None,
    };
    insta::assert_snapshot!(serde_json::to_string(&body).unwrap(), @r#"{"task":"5c0e7a21d94b36f8.0.1.17","run_id":2,"task_spec":"text","deadline_ms":9,"fence_token":7}"#);
}
