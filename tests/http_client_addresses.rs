//! Tests of the HTTP client with addresses that cannot be called.

use std::time::{Duration, Instant};

use http::Method;
use jujubewinch::http::client::ClientRequest;
use jujubewinch::http::{Client, ClientError, ClientOptions};

/// Guards against a call to another port of the host, whose closed port or answer would count as
/// that of the worker, and against odd addresses and names that end the calling thread.
#[test]
fn requests_to_unusable_addresses_are_not_sent() {
    let client = Client::new(ClientOptions::default());
    let deadline = Instant::now() + Duration::from_secs(10);
    for address in [
        "127.0.0.1:99999",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1:port",
        "127.0.0.1:184467440737095516160",
        "[::1",
        "somewhere:80",
        "",
        "\u{0}",
    ] {
        let url = format!("http://{address}/api/hold");
        let request = ClientRequest::new(Method::POST, url, deadline);
        let error = client.send(request).expect_err("the address is unusable");
        let unsent = matches!(
            error,
            ClientError::NotSent {
                port_closed: false,
                ..
            }
        );
        assert!(unsent, "{address:?}: {error:?}");
    }
    let url = "http://127.0.0.1:9/api/hold";
    let request = ClientRequest::new(Method::POST, url, deadline);
    let request = request.header("expected-instance", "i-\n\u{7f}");
    let error = client
        .send(request)
        .expect_err("the name is no header value");
    assert!(matches!(error, ClientError::NotSent { .. }), "{error:?}");
}
