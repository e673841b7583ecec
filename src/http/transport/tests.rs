//! Tests of the socket options of a connection.

use std::net::{Ipv4Addr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

use rustix::net::sockopt::{socket_linger, tcp_user_timeout};

use super::bound_lateness;

const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);

/// Guards against bytes that a paused or killed process still sends, since an option is missing or
/// has another unit.
#[test]
fn both_options_are_set_on_a_connection() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    assert_eq!(socket_linger(&stream), Ok(None));
    bound_lateness(&stream, UNACKNOWLEDGED_TIMEOUT);
    assert_eq!(socket_linger(&stream), Ok(Some(Duration::ZERO)));
    assert_eq!(tcp_user_timeout(&stream), Ok(700));
}

/// Guards against a refused option that keeps the other one from being set or ends the call.
#[test]
fn a_refused_option_is_passed_over() {
    let without_tcp = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    for _ in 0..2 {
        bound_lateness(&without_tcp, UNACKNOWLEDGED_TIMEOUT);
    }
    assert!(tcp_user_timeout(&without_tcp).is_err());
    assert_eq!(socket_linger(&without_tcp), Ok(Some(Duration::ZERO)));
}
