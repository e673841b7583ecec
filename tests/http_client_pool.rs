//! Connections that the HTTP client keeps for many hosts.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use jujubewinch::http::client::ClientRequest;
use jujubewinch::http::{Client, ClientOptions, Response, Server, ServerOptions};

/// Hosts of the largest deployment that one client calls.
const HOSTS: usize = 350;
/// Exchanges whose processor time is compared.
const EXCHANGES: usize = 200;
/// Longest that an exchange takes on a busy machine.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than the test.
const IDLE_AGE: Duration = Duration::from_secs(600);
/// Growth of the processor time that counts as noise. The number of hosts grows by 350.
const MAX_GROWTH: f64 = 3.0;

fn exchange(client: &Client, address: SocketAddr) {
    let url = format!("http://{address}/");
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    let answer = client.send(ClientRequest::new(Method::POST, url, deadline));
    assert_eq!(answer.unwrap().status, 200);
}

/// Processor time of this thread, which waiting and other processes do not change.
fn processor_time_ns() -> f64 {
    let statistics = fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let spent = statistics.split(' ').next().unwrap();
    spent.parse().unwrap()
}

fn time_of_exchanges_ns(client: &Client, address: SocketAddr) -> f64 {
    let before = processor_time_ns();
    for _ in 0..EXCHANGES {
        exchange(client, address);
    }
    processor_time_ns() - before
}

/// Guards against a pool that looks at all kept connections with each exchange, under one lock for
/// all callers: with 350 workers the leader began 44 of 200 task starts a second, and compared
/// addresses of connections most of the time.
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
    let alone_ns = time_of_exchanges_ns(&client, first);
    for server in &servers {
        exchange(&client, server.local_address());
    }
    let among_many_ns = time_of_exchanges_ns(&client, first);
    let growth = among_many_ns / alone_ns;
    assert!(
        growth <= MAX_GROWTH,
        "an exchange costs {growth:.1} times as much with connections to {HOSTS} hosts"
    );
}
