//! Connections that come faster than they are accepted.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpStream},
    time::Duration,
};

use celerystair_net::prelude::*;

/// Less than the second after which the kernel repeats a handshake that was dropped.
const CONNECT_TIME_MAX: Duration = Duration::from_millis(500);
const CONNECTIONS: usize = 400;

#[test]
fn a_burst_of_connections_is_not_dropped_while_none_is_accepted() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("it is bound");
        let address = listener.local_addr().expect("it has an address");
        let mut open = Vec::new();
        for number in 0..CONNECTIONS {
            let connection = TcpStream::connect_timeout(&address, CONNECT_TIME_MAX);
            open.push(connection.unwrap_or_else(|error| panic!("connection {number}: {error}")));
        }
    });
}
