//! A stretch of network between two ends: it can delay, cut, and lose track of connections.

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

/// The bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;

/// A `LinkState` is what the stretch of network does at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// The delay in each direction.
    pub delay: Duration,
    /// No new connection is opened.
    pub cut: bool,
    /// Connections opened before this number was raised pass nothing on any more.
    pub forgotten: u64,
    /// The connections that were opened.
    pub opened: u64,
}

/// A `Link` listens on a loopback port and passes everything on to another address.
pub struct Link {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a stretch of network to `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Link> {
        Link::open(target, None).await
    }

    /// Starts a stretch of network over which what `target` sends shares a rate with other links.
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

    /// Returns the address to connect to in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were opened so far.
    pub fn opened(&self) -> u64 {
        self.state.borrow().opened
    }

    /// Sets the delay in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Refuses new connections, or takes them again.
    pub fn set_refusing(&self, cut: bool) {
        self.state.send_modify(|state| state.cut = cut);
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn blackhole_connections(&self) {
        self.state.send_modify(|state| state.forgotten += 1);
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
        let Ok((near, _)) = listener.accept().await else { continue };
        if state.borrow().cut {
            continue;
        }
        let Ok(far) = TcpStream::connect(target).await else { continue };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        state.send_modify(|state| state.opened += 1);
        let born = state.borrow().forgotten;
        tokio::spawn(pass(near_in, far_out, None, state.subscribe(), born));
        tokio::spawn(pass(far_in, near_out, bandwidth.clone(), state.subscribe(), born));
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bandwidth: Option<Arc<BandwidthLimit>>,
    mut state: watch::Receiver<LinkState>,
    born: u64,
) {
    let mut buf = vec![0; CHUNK];
    loop {
        // Being forgotten is looked at first, so that nothing sent after it is passed on.
        let read = tokio::select! {
            biased;
            forgotten = is_forgotten(&mut state, born) => {
                if forgotten {
                    silence(from, to).await;
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
            bandwidth.pass(count).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

async fn is_forgotten(state: &mut watch::Receiver<LinkState>, born: u64) -> bool {
    state.wait_for(|state| state.forgotten != born).await.is_ok()
}

// Both halves stay open, so neither end is told that nothing passes any more.
async fn silence(from: OwnedReadHalf, to: OwnedWriteHalf) {
    let _held = (from, to);
    std::future::pending::<()>().await;
}
