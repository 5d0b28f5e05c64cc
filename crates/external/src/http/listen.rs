//! Listening sockets.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// The maximum number of connections that wait to be accepted; the system may allow fewer.
const BACKLOG: u32 = 4_096;

/// Returns a listener on `address`.
///
/// When a node dies, all its callers connect to other nodes at almost the same time. With the usual
/// backlog of 128 connections, further ones are dropped without a reply and retried only after a
/// second, which callers see as a timeout of a node that has capacity. A longer backlog keeps them
/// until they are accepted.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
