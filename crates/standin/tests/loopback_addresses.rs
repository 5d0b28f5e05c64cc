//! Loopback addresses of servers in several processes.

use std::{
    collections::BTreeSet,
    env,
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    process::{Child, ChildStdout, Command, Stdio},
};

use bulrushhall_standin::loopback::unused_address;

/// The processes beside this one.
const PROCESSES: usize = 6;
/// More addresses than the tests of one file use.
const ADDRESSES: usize = 20_000;
/// Set in the environment of the processes that this one starts.
const IS_CHILD: &str = "BULRUSH_TEST_CHILD";
/// Precedes the address that such a process prints.
const MARK: &str = "uses ";

/// A process and its output, which stays open until the process has ended.
struct Process {
    child: Child,
    out: BufReader<ChildStdout>,
}

impl Process {
    fn start() -> Process {
        let mut command = Command::new(env::current_exe().expect("a path"));
        command.args(["--exact", "own_ips", "--nocapture"]).env(IS_CHILD, "1");
        let mut child =
            command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("a process");
        let out = BufReader::new(child.stdout.take().expect("an output"));
        Process { child, out }
    }

    fn ip(&mut self) -> IpAddr {
        for line in self.out.by_ref().lines() {
            let line = line.expect("a line");
            let Some((_, address)) = line.split_once(MARK) else { continue };
            return address.parse::<SocketAddr>().expect("an address").ip();
        }
        panic!("no address");
    }

    fn end(mut self) {
        drop(self.child.stdin.take());
        for line in self.out.lines() {
            line.expect("a line");
        }
        assert!(self.child.wait().expect("an end").success());
    }
}

// Prints an address, and holds it until the input ends.
fn act_as_child() {
    let mut out = std::io::stdout();
    writeln!(out, "{MARK}{}", unused_address()).expect("written");
    out.flush().expect("written");
    std::io::stdin().lines().for_each(drop);
}

// Guards against requests of one test process that reach the servers of another.
#[test]
fn own_ips() {
    if env::var_os(IS_CHILD).is_some() {
        return act_as_child();
    }
    let mut ips = BTreeSet::from([unused_address().ip()]);
    let mut processes = Vec::new();
    for _ in 0..PROCESSES {
        let mut process = Process::start();
        let ip = process.ip();
        assert!(ips.insert(ip), "two processes use {ip}");
        processes.push(process);
    }
    for process in processes {
        process.end();
    }
}

// Guards against a server that is called at the address of one that has ended.
#[test]
fn ports_not_reused() {
    let mut seen = BTreeSet::new();
    for _ in 0..ADDRESSES {
        let address = unused_address();
        assert!(seen.insert(address), "{address} is returned again");
    }
}

// Guards against outgoing connections that take the address of a server before it listens.
#[test]
fn outgoing_elsewhere() {
    let server = TcpListener::bind(unused_address()).expect("a server");
    let address = server.local_addr().expect("an address");
    let client = TcpStream::connect(address).expect("a connection");
    let own = client.local_addr().expect("an address");
    assert!(own.ip() != address.ip() || 32_768 <= own.port(), "{own}");
}
