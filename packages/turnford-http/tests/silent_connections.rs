//! Connections are configured to detect a peer that stops responding.
//!
//! A peer on loopback always answers keepalive probes, so the test checks the socket options.

use std::time::Duration;

use async_net::TcpListener;
use rustix::net::sockopt::socket_keepalive;
use rustix::net::sockopt::tcp_keepidle;
use rustix::net::sockopt::tcp_user_timeout;
use turnford_http::configure_stream;
use turnford_http::open_stream;

/// Time in which a dead connection has to be detected.
const DETECTION_TIME: Duration = Duration::from_secs(5);

#[test]
fn both_sides() {
    async_io::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let opened = open_stream(address).await.expect("a connection");
        let (accepted, _) = listener.accept().await.expect("a connection");
        configure_stream(&accepted).expect("a sound connection");
        for stream in [&opened, &accepted] {
            assert!(stream.nodelay().expect("an option"));
            assert!(socket_keepalive(stream).expect("an option"));
            assert!(tcp_keepidle(stream).expect("an option") < DETECTION_TIME);
            let user_timeout = tcp_user_timeout(stream).expect("an option");
            let user_timeout = Duration::from_millis(u64::from(user_timeout));
            assert!(
                !user_timeout.is_zero() && user_timeout < DETECTION_TIME,
                "{user_timeout:?}"
            );
        }
    });
}
