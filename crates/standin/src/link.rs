//! A simulated network link that can delay data, refuse connections, stall open ones and be cut.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

use crate::{bandwidth::BandwidthLimit, loopback::unused_address};

/// The maximum number of bytes that are forwarded at a time.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// The backlog of the listening socket.
const BACKLOG: u32 = 1_024;
/// The backlog while connections hang; Linux accepts one more and drops the packets of the others.
const HANGING_BACKLOG: u32 = 1;
/// The number of connections that fill this backlog.
const HANGING_CONNECTIONS: usize = 2;

/// A `LinkCut` is what happens to connections that are opened while a link is cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkCut {
    /// The link is not cut.
    #[default]
    None,
    /// The kernel refuses them.
    Refusing,
    /// They are neither accepted nor refused.
    Hanging,
}

/// A `Spoil` is a text in the data from the target, and what is forwarded instead of the first one in each read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spoil {
    /// The text of the target.
    pub sound: &'static str,
    /// The text that is forwarded.
    pub spoilt: &'static str,
}

impl Spoil {
    fn apply(self, bytes: &[u8]) -> Vec<u8> {
        let sound = self.sound.as_bytes();
        match bytes.windows(sound.len()).position(|part| part == sound) {
            Some(at) => [&bytes[..at], self.spoilt.as_bytes(), &bytes[at + sound.len()..]].concat(),
            None => bytes.to_vec(),
        }
    }
}

/// A `LinkState` is the current behavior of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// The delay in each direction.
    pub delay: Duration,
    /// Whether new connections are refused, by closing them as soon as they are accepted.
    pub refusing: bool,
    /// What happens to new connections while the link is cut.
    pub cut: LinkCut,
    /// What is changed in the data from the target.
    pub spoil: Option<Spoil>,
    /// The number of resets so far; connections opened before the last one are closed.
    pub resets: u64,
    /// The number of blackholes so far; connections opened before the last one forward no data.
    pub blackholes: u64,
    /// The number of connections that were opened.
    pub opened: u64,
}

/// A `Link` forwards connections from a loopback port to another address.
pub struct Link {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a link to `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Link> {
        Link::open(target, None).await
    }

    /// Starts a link to `target`; the data from `target` shares `bandwidth` with other links.
    pub async fn start_limited(
        target: SocketAddr,
        bandwidth: Arc<BandwidthLimit>,
    ) -> io::Result<Link> {
        Link::open(target, Some(bandwidth)).await
    }

    async fn open(target: SocketAddr, bandwidth: Option<Arc<BandwidthLimit>>) -> io::Result<Link> {
        let listener = TcpListener::bind(unused_address()).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(LinkState::default()));
        let task = tokio::spawn(accept(listener, target, bandwidth, Arc::clone(&state)));
        Ok(Link { address, state, task })
    }

    /// Returns the address to connect to instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that were opened so far.
    pub fn opened(&self) -> u64 {
        self.state.borrow().opened
    }

    /// Sets the delay in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Sets whether new connections are refused.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.send_modify(|state| state.refusing = refusing);
    }

    /// Cuts the link for new connections, or heals it.
    pub fn set_cut(&self, cut: LinkCut) {
        self.state.send_modify(|state| state.cut = cut);
    }

    /// Changes data from the target from now on.
    pub fn set_spoil(&self, spoil: Option<Spoil>) {
        self.state.send_modify(|state| state.spoil = spoil);
    }

    /// Closes the open connections.
    pub fn reset_connections(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Stops forwarding the data of open connections without closing them; new ones work.
    pub fn blackhole_connections(&self) {
        self.state.send_modify(|state| state.blackholes += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    mut listener: TcpListener,
    target: SocketAddr,
    bandwidth: Option<Arc<BandwidthLimit>>,
    state: Arc<watch::Sender<LinkState>>,
) {
    let mut changes = state.subscribe();
    loop {
        let cut = changes.borrow_and_update().cut;
        if cut != LinkCut::None {
            let Ok(healed) = stay_cut(listener, cut, &mut changes).await else { return };
            listener = healed;
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = changes.changed() => continue,
        };
        let Ok((client, _)) = accepted else { continue };
        if state.borrow().refusing {
            continue;
        }
        let Ok(server) = TcpStream::connect(target).await else { continue };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        state.send_modify(|state| state.opened += 1);
        let at_open = *state.borrow();
        let from_client = Direction { bandwidth: None, is_from_target: false };
        tokio::spawn(forward(client_read, server_write, from_client, state.subscribe(), at_open));
        let from_target = Direction { bandwidth: bandwidth.clone(), is_from_target: true };
        tokio::spawn(forward(server_read, client_write, from_target, state.subscribe(), at_open));
    }
}

// Returns a listener at the same address when the link is healed. The port stays bound meanwhile, so that no other
// socket gets it.
async fn stay_cut(
    listener: TcpListener,
    cut: LinkCut,
    changes: &mut watch::Receiver<LinkState>,
) -> io::Result<TcpListener> {
    let address = listener.local_addr()?;
    drop(listener);
    let bound = bind(address)?;
    if cut == LinkCut::Refusing {
        let _ = changes.wait_for(|state| state.cut != cut).await;
        return bound.listen(BACKLOG);
    }
    let hanging = bound.listen(HANGING_BACKLOG)?;
    let mut filling = Vec::new();
    for _ in 0..HANGING_CONNECTIONS {
        filling.push(TcpStream::connect(address).await?);
    }
    let _ = changes.wait_for(|state| state.cut != cut).await;
    drop(hanging);
    bind(address)?.listen(BACKLOG)
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// What holds for the data of one direction of a connection.
struct Direction {
    bandwidth: Option<Arc<BandwidthLimit>>,
    is_from_target: bool,
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut state: watch::Receiver<LinkState>,
    at_open: LinkState,
) {
    let mut buf = vec![0; MAX_CHUNK_BYTES];
    loop {
        // The blackhole is checked first, so that no data that is sent after it is forwarded.
        let read = tokio::select! {
            biased;
            fault = wait_for_fault(&mut state, at_open) => {
                if fault == Some(OpenFault::Blackhole) {
                    hold_open(from, to).await;
                }
                return;
            }
            read = from.read(&mut buf) => read,
        };
        let Ok(count) = read else { return };
        if count == 0 {
            let _ = to.shutdown().await;
            return;
        }
        let LinkState { delay, spoil, .. } = *state.borrow();
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if let Some(bandwidth) = &direction.bandwidth {
            bandwidth.wait_to_send(count).await;
        }
        let written = match spoil.filter(|_| direction.is_from_target) {
            Some(spoil) => to.write_all(&spoil.apply(&buf[..count])).await,
            None => to.write_all(&buf[..count]).await,
        };
        if written.is_err() {
            return;
        }
    }
}

/// What happens to an open connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OpenFault {
    Blackhole,
    Reset,
}

async fn wait_for_fault(
    state: &mut watch::Receiver<LinkState>,
    at_open: LinkState,
) -> Option<OpenFault> {
    let is_faulty = |state: &LinkState| {
        state.blackholes != at_open.blackholes || state.resets != at_open.resets
    };
    let faulty = *state.wait_for(is_faulty).await.ok()?;
    Some(if faulty.resets == at_open.resets { OpenFault::Blackhole } else { OpenFault::Reset })
}

// Both halves stay open, so neither peer sees the connection close although no data is forwarded.
async fn hold_open(from: OwnedReadHalf, to: OwnedWriteHalf) {
    let _held = (from, to);
    std::future::pending::<()>().await;
}
