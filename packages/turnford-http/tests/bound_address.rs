//! Guards against errors of addresses in use that don't name them.

use std::net::SocketAddr;
use std::net::TcpListener;

use turnford_http::bind_listener;

#[test]
fn address_in_use() {
    let first = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = first.local_addr().expect("an address");
    let error = bind_listener(address).expect_err("the address is in use");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
    assert!(error.to_string().contains(&address.to_string()), "{error}");
}
