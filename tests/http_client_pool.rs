//! Test of the HTTP client's connection pools for many hosts.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use jujubewinch::http::client::ClientRequest;
use jujubewinch::http::{Client, ClientOptions, Response, Server, ServerOptions};

/// Number of hosts that one client calls in the largest deployment.
const HOSTS: usize = 350;
/// Exchanges per measurement of processor time.
const EXCHANGES: usize = 200;
/// Timeout of an exchange on a busy machine.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest idle time of a pooled connection; longer than the test.
const IDLE_AGE: Duration = Duration::from_secs(600);
/// Largest factor of the processor time that is accepted as noise. The number of hosts grows by a
/// factor of 350.
const MAX_GROWTH: f64 = 3.0;

fn exchange(client: &Client, address: SocketAddr) {
    let url = format!("http://{address}/");
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    let answer = client.send(ClientRequest::new(Method::POST, url, deadline));
    assert_eq!(answer.unwrap().status, 200);
}

/// Returns the processor time of this thread, which waiting and other processes do not affect.
fn processor_time_ns() -> f64 {
    let statistics = fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let spent = statistics.split(' ').next().unwrap();
    spent.parse().unwrap()
}

fn exchanges_processor_time_ns(client: &Client, address: SocketAddr) -> f64 {
    let before = processor_time_ns();
    for _ in 0..EXCHANGES {
        exchange(client, address);
    }
    processor_time_ns() - before
}

/// Guards against a pool that checks all pooled connections in each exchange, under one lock for
/// all callers. With 350 workers the leader then began 44 of 200 task starts a second and spent
/// most of the time comparing addresses of connections.
#[test]
fn an_exchange_costs_the_same_with_kept_connections_to_many_hosts() {
    let servers: Vec<Server> = (0..HOSTS)
        .map(|_| {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let answer = Arc::new(|_| Response::text(200, ""));
            Server::start(address, ServerOptions::default(), answer).unwrap()
        })
        .collect();
    let client = Client::new(ClientOptions {
        max_idle_age: IDLE_AGE,
        max_idle_connections_per_host: 4,
        ..ClientOptions::default()
    });
    let first = servers[0].local_address();
    exchange(&client, first);
    let alone_ns = exchanges_processor_time_ns(&client, first);
    for server in &servers {
        exchange(&client, server.local_address());
    }
    let among_many_ns = exchanges_processor_time_ns(&client, first);
    let growth = among_many_ns / alone_ns;
    assert!(
        growth <= MAX_GROWTH,
        "an exchange costs {growth:.1} times as much with connections to {HOSTS} hosts"
    );
}
