//! Opening of ports.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// The most connections that wait to be accepted; the system may allow fewer.
const BACKLOG: u32 = 4_096;

/// Opens a port.
///
/// When a node dies, its callers connect to the others within moments. With the usual queue of
/// 128 the rest of them are dropped without an answer and try again only after a second, which
/// they see as a time-out of a node that has room. A longer queue holds them until they are
/// accepted.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
