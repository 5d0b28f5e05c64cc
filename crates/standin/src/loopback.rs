//! Loopback addresses that no other process uses.

use std::{
    io::ErrorKind,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
    process,
    sync::{
        OnceLock,
        atomic::{AtomicU32, Ordering},
    },
};

use socket2::{Domain, Socket, Type};

/// The first IP address that a process can reserve.
const FIRST_IP: Ipv4Addr = Ipv4Addr::new(127, 16, 0, 0);
/// The number of IP addresses that a process can reserve.
const IP_COUNT: u32 = 1 << 16;
/// The port that a process listens on as long as an IP address is reserved for it.
const RESERVATION_PORT: u16 = 1_024;
/// The ports of servers, below those that Linux gives to outgoing connections.
const PORTS: Range<u16> = 1_025..32_768;

/// A `Reservation` is an IP address that this process alone listens on; the kernel ends it with the process.
struct Reservation {
    ip: Ipv4Addr,
    _listener: TcpListener,
}

/// Returns an address that nothing listens on: no other process gets it, and this one gets it again only after all others.
///
/// A server that has ended can thus not be mistaken for a later one. On systems whose loopback interface has a single IP
/// address, it is an address that is free at present.
pub fn unused_address() -> SocketAddr {
    static RESERVATION: OnceLock<Option<Reservation>> = OnceLock::new();
    static NEXT_PORT: AtomicU32 = AtomicU32::new(0);
    let Some(reservation) = RESERVATION.get_or_init(reserve) else { return free_address() };
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % u32::from(PORTS.end - PORTS.start);
        let address = SocketAddr::from((reservation.ip, PORTS.start + number as u16));
        // A server of all IP addresses of the machine may have the port.
        if is_free(address) {
            return address;
        }
    }
}

// A process that another thread starts has the socket open until it executes its program. It is bound only, since a listening one
// would keep the address in use until then.
fn is_free(address: SocketAddr) -> bool {
    let probe = Socket::new(Domain::for_address(address), Type::STREAM, None);
    probe.is_ok_and(|probe| {
        probe.set_reuse_address(true).is_ok() && probe.bind(&address.into()).is_ok()
    })
}

fn reserve() -> Option<Reservation> {
    for offset in 0..IP_COUNT {
        let number = process::id().wrapping_add(offset) % IP_COUNT;
        let ip = Ipv4Addr::from_bits(FIRST_IP.to_bits() + number);
        match TcpListener::bind((ip, RESERVATION_PORT)) {
            Ok(listener) => return Some(Reservation { ip, _listener: listener }),
            Err(error) if error.kind() == ErrorKind::AddrNotAvailable => return None,
            Err(_) => continue,
        }
    }
    None
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    listener.and_then(|listener| listener.local_addr()).expect("a port")
}
