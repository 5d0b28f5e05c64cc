//! A node in a child process whose processor time and memory can be measured.

use std::{
    fs, io,
    io::{BufRead, BufReader, Read, Write},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use bulrushhall_core::{NodeName, VmName, ZoneName};
use bulrushhall_daemon::{
    Node, Settings,
    settings::{NodeSettings, PlatformSettings},
};
use serde::{Deserialize, Serialize};

/// The first argument that makes the program run as a node.
const NODE_ARGUMENT: &str = "node";
/// The concurrent answers per engine; high enough that requests never queue for a free slot while
/// they are measured.
const ANSWERS_PER_ENGINE: usize = 64;

/// A `Usage` is the processor time and memory that a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// The total processor time of the threads that are still running.
    pub processor: Duration,
    /// The resident memory, in kilobytes.
    pub resident: f64,
}

/// A `NodeChild` is a node in a child process, which is killed when this is dropped.
pub struct NodeChild {
    child: Child,
    ports: Ports,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Ports {
    callers: SocketAddr,
    peers: SocketAddr,
}

impl NodeChild {
    /// Starts node number `at` in `zone`; `seeds` are other nodes' addresses.
    pub fn start(
        kv: SocketAddr,
        at: usize,
        zone: &str,
        seeds: &[SocketAddr],
    ) -> io::Result<NodeChild> {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let mut child = Command::new(std::env::current_exe()?)
            .args([NODE_ARGUMENT, &kv.to_string(), &at.to_string(), zone, &seeds.join(",")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let mut line = String::new();
        let out = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        BufReader::new(out).read_line(&mut line)?;
        let ports = serde_json::from_str(&line)?;
        Ok(NodeChild { child, ports })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.ports.callers
    }

    /// Returns the address for other nodes.
    pub fn peers(&self) -> SocketAddr {
        self.ports.peers
    }

    /// Returns the resources that the node has used so far.
    pub fn usage(&self) -> Usage {
        usage(self.child.id())
    }
}

impl Drop for NodeChild {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a node until the standard input is closed if `args` are those of a child process.
///
/// Returns whether they are.
pub async fn serve_node(args: &[String]) -> io::Result<bool> {
    let [first, kv, at, zone, seeds] = args else { return Ok(false) };
    if first != NODE_ARGUMENT {
        return Ok(false);
    }
    let invalid = || io::Error::from(io::ErrorKind::InvalidInput);
    let mut peers = Vec::new();
    for seed in seeds.split(',').filter(|seed| !seed.is_empty()) {
        peers.push(seed.parse().map_err(|_| invalid())?);
    }
    let node = NodeSettings {
        name: NodeName::new(format!("entry-{at}")).map_err(|_| invalid())?,
        vm: VmName::new(format!("vm-entry-{at}")).map_err(|_| invalid())?,
        zone: ZoneName::new(zone.as_str()).map_err(|_| invalid())?,
        seeds: peers,
        ..NodeSettings::default()
    };
    let kv = kv.parse().map_err(|_| invalid())?;
    let platform = PlatformSettings { key_value: Some(kv), ..PlatformSettings::default() };
    let mut settings = Settings { node, platform, ..Settings::default() };
    settings.limits.answers_per_engine = ANSWERS_PER_ENGINE;
    let node = Node::start(settings).await.map_err(|_| invalid())?;
    let ports = Ports { callers: node.callers(), peers: node.context().settings.node.peers };
    writeln!(io::stdout(), "{}", serde_json::to_string(&ports)?)?;
    let waited = tokio::task::spawn_blocking(|| io::stdin().read(&mut [0])).await;
    drop(waited);
    node.kill();
    Ok(true)
}

/// Returns the resources that a process has used so far; zero if it no longer exists.
pub fn usage(process: u32) -> Usage {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let mut nanos = 0;
    for task in tasks {
        let Ok(text) = fs::read_to_string(task.path().join("schedstat")) else { continue };
        nanos += text.split(' ').next().and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    }
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.trim().split(' ').next()?.parse().ok());
    Usage { processor: Duration::from_nanos(nanos), resident: resident.unwrap_or(0.0) }
}
