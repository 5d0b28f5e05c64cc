//! A simulated network link that can delay data, refuse connections and stall open ones.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

use crate::bandwidth::BandwidthLimit;

/// The maximum number of bytes that are forwarded at a time.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// A `LinkState` is the current behavior of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// The delay in each direction.
    pub delay: Duration,
    /// Whether new connections are refused, by closing them as soon as they are accepted.
    pub refusing: bool,
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
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
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
    listener: TcpListener,
    target: SocketAddr,
    bandwidth: Option<Arc<BandwidthLimit>>,
    state: Arc<watch::Sender<LinkState>>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        if state.borrow().refusing {
            continue;
        }
        let Ok(server) = TcpStream::connect(target).await else { continue };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        state.send_modify(|state| state.opened += 1);
        let blackholes_at_open = state.borrow().blackholes;
        tokio::spawn(forward(
            client_read,
            server_write,
            None,
            state.subscribe(),
            blackholes_at_open,
        ));
        tokio::spawn(forward(
            server_read,
            client_write,
            bandwidth.clone(),
            state.subscribe(),
            blackholes_at_open,
        ));
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bandwidth: Option<Arc<BandwidthLimit>>,
    mut state: watch::Receiver<LinkState>,
    blackholes_at_open: u64,
) {
    let mut buf = vec![0; MAX_CHUNK_BYTES];
    loop {
        // The blackhole is checked first, so that no data that is sent after it is forwarded.
        let read = tokio::select! {
            biased;
            blackholed = wait_for_blackhole(&mut state, blackholes_at_open) => {
                if blackholed {
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
        let delay = state.borrow().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if let Some(bandwidth) = &bandwidth {
            bandwidth.wait_to_send(count).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

async fn wait_for_blackhole(
    state: &mut watch::Receiver<LinkState>,
    blackholes_at_open: u64,
) -> bool {
    state.wait_for(|state| state.blackholes != blackholes_at_open).await.is_ok()
}

// Both halves stay open, so neither peer sees the connection close although no data is forwarded.
async fn hold_open(from: OwnedReadHalf, to: OwnedWriteHalf) {
    let _held = (from, to);
    std::future::pending::<()>().await;
}
