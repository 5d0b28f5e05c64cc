//! Clients that send parts of requests and then stay.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// The longest time that a crowd takes to send what it sends: a connection that isn't read blocks its client.
const SEND_TIMEOUT: Duration = Duration::from_secs(12);

/// `Pieces` are writes of the same bytes.
#[derive(Clone, Debug, Default)]
pub struct Pieces {
    /// The bytes of one write.
    pub bytes: Bytes,
    /// The number of writes.
    pub count: usize,
    /// The pause after each, so that it arrives alone.
    pub pause: Option<Duration>,
}

/// A `Client` sends a head, pieces of a body and a tail, then nothing, and never reads.
#[derive(Clone, Debug, Default)]
pub struct Client {
    /// The head.
    pub head: String,
    /// The pieces.
    pub pieces: Pieces,
    /// What it sends after them.
    pub tail: Bytes,
}

/// A `Crowd` is clients that stay connected until it is dropped.
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Pieces {
    /// Returns writes of this many bytes each.
    pub fn of_size(size: usize, count: usize) -> Pieces {
        Pieces { bytes: Bytes::from(vec![b'a'; size]), count, pause: None }
    }

    /// Returns chunks of this many bytes, so many to a write.
    pub fn of_chunks(size: usize, per_write: usize, count: usize) -> Pieces {
        let chunk = format!("{size:x}\r\n{}\r\n", "a".repeat(size));
        Pieces { bytes: Bytes::from(chunk.repeat(per_write)), count, pause: None }
    }
}

impl Client {
    async fn run(self, address: SocketAddr) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        // The server may close the connection at any time.
        let _ = timeout(SEND_TIMEOUT, self.send(&mut stream)).await;
        Some(stream)
    }

    /// Sends everything and returns what is received until the connection ends.
    pub async fn response(self, address: SocketAddr) -> String {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let _ = stream.set_nodelay(true);
        self.send(&mut stream).await.expect("a server that reads");
        let mut response = Vec::new();
        // What arrived before a connection was reset is returned as well.
        let reading = stream.read_to_end(&mut response);
        let _ = timeout(SEND_TIMEOUT, reading).await.expect("an end in time");
        String::from_utf8_lossy(&response).into_owned()
    }

    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(self.head.as_bytes()).await?;
        for _ in 0..self.pieces.count {
            stream.write_all(&self.pieces.bytes).await?;
            if let Some(pause) = self.pieces.pause {
                sleep(pause).await;
            }
        }
        stream.write_all(&self.tail).await
    }
}

impl Crowd {
    /// Connects `count` equal clients and waits until they have sent everything, or can't go on.
    pub async fn gather(address: SocketAddr, client: &Client, count: usize) -> Crowd {
        let mut clients = JoinSet::new();
        for _ in 0..count {
            clients.spawn(client.clone().run(address));
        }
        let streams = clients.join_all().await;
        Crowd { _streams: streams.into_iter().flatten().collect() }
    }
}
