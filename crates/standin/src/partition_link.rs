//! A link on loopback that loses the segments of its clients while it is cut.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, Weak},
};

use socket2::{SockFilter, SockRef};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

use crate::loopback::unused_address;

/// The maximum number of bytes that are forwarded at a time.
const MAX_CHUNK_BYTES: usize = 16 * 1_024;
/// The program of a socket filter that accepts no byte of a segment: `BPF_RET | BPF_K` with the value 0.
const DROP_ALL: [SockFilter; 1] = [SockFilter::new(0x06, 0, 0, 0)];

/// A `PartitionLink` forwards connections from a loopback port to another address, and can be cut.
///
/// While it is cut, the kernel drops all segments from the clients before it acknowledges them: data,
/// resets and new connections. The kernel of a client retransmits them as across a real partition.
pub struct PartitionLink {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    listener: TcpListener,
    target: SocketAddr,
    clients: Mutex<Vec<Weak<TcpStream>>>,
    is_cut: watch::Sender<bool>,
}

impl PartitionLink {
    /// Starts a link to `target`.
    pub async fn start(target: SocketAddr) -> io::Result<PartitionLink> {
        let listener = TcpListener::bind(unused_address()).await?;
        let address = listener.local_addr()?;
        let is_cut = watch::Sender::new(false);
        let shared = Arc::new(Shared { listener, target, clients: Mutex::default(), is_cut });
        let task = tokio::spawn(accept(Arc::clone(&shared)));
        Ok(PartitionLink { address, shared, task })
    }

    /// Returns the address to connect to instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link in both directions.
    pub fn cut(&self) -> io::Result<()> {
        let clients = self.shared.lock_clients();
        self.shared.is_cut.send_replace(true);
        SockRef::from(&self.shared.listener).attach_filter(&DROP_ALL)?;
        for client in clients.iter().filter_map(Weak::upgrade) {
            SockRef::from(client.as_ref()).attach_filter(&DROP_ALL)?;
        }
        Ok(())
    }

    /// Heals the link.
    pub fn heal(&self) -> io::Result<()> {
        let clients = self.shared.lock_clients();
        SockRef::from(&self.shared.listener).detach_filter()?;
        for client in clients.iter().filter_map(Weak::upgrade) {
            SockRef::from(client.as_ref()).detach_filter()?;
        }
        self.shared.is_cut.send_replace(false);
        Ok(())
    }
}

impl Drop for PartitionLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock_clients(&self) -> MutexGuard<'_, Vec<Weak<TcpStream>>> {
        self.clients.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    // An accepted connection inherits the filter of the listener. One that was accepted just before a cut
    // gets its own here.
    fn add_client(&self, client: &Arc<TcpStream>) -> io::Result<()> {
        let mut clients = self.lock_clients();
        clients.retain(|known| known.strong_count() != 0);
        if *self.is_cut.borrow() {
            SockRef::from(client.as_ref()).attach_filter(&DROP_ALL)?;
        }
        clients.push(Arc::downgrade(client));
        Ok(())
    }
}

async fn accept(shared: Arc<Shared>) {
    loop {
        let Ok((client, _)) = shared.listener.accept().await else { continue };
        let client = Arc::new(client);
        if shared.add_client(&client).is_err() {
            continue;
        }
        let Ok(server) = TcpStream::connect(shared.target).await else { continue };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        tokio::spawn(forward(client, Arc::new(server), shared.is_cut.subscribe()));
    }
}

// Ends both directions as soon as one of them ends.
async fn forward(
    client: Arc<TcpStream>,
    server: Arc<TcpStream>,
    mut is_cut: watch::Receiver<bool>,
) {
    let mut unused = watch::channel(false).1;
    tokio::select! {
        _ = copy(&client, &server, &mut unused) => {}
        _ = copy(&server, &client, &mut is_cut) => {}
    }
}

async fn copy(
    from: &TcpStream,
    to: &TcpStream,
    is_held: &mut watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buf = vec![0; MAX_CHUNK_BYTES];
    loop {
        from.readable().await?;
        let count = match from.try_read(&mut buf) {
            Ok(0) => return Ok(()),
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        let _ = is_held.wait_for(|is_held| !is_held).await;
        let mut left = &buf[..count];
        while !left.is_empty() {
            to.writable().await?;
            match to.try_write(left) {
                Ok(written) => left = &left[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}
