//! The daemon as a separate process that serves routes.
#![allow(dead_code, reason = "each test file uses a part of this")]

use std::{
    env,
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
};

/// The environment variable with the path of another build of the daemon.
const DAEMON: &str = "BULRUSH_DAEMON";

/// A `Process` is a daemon, which is killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Kills the process.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("an end")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = self.child.wait();
    }
}

/// Returns the address under a key of a settings text.
pub fn address_of(text: &str, key: &str) -> SocketAddr {
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{key} = ")));
    line.expect("a setting").parse().expect("an address")
}

/// Starts a daemon with a settings text.
pub fn start(text: &str, out: Stdio) -> Process {
    let node = text.lines().find_map(|line| line.strip_prefix("name = "));
    let name =
        format!("bulrushd-routes-{}-{}.ini", std::process::id(), node.expect("a node's name"));
    let path = env::temp_dir().join(name);
    std::fs::write(&path, text).expect("a written file");
    let daemon = env::var(DAEMON).unwrap_or_else(|_| env!("CARGO_BIN_EXE_bulrushd").to_owned());
    let mut daemon = Command::new(daemon);
    daemon.arg("--settings").arg(&path).stdout(out).stderr(Stdio::null());
    Process { child: daemon.spawn().expect("a started daemon") }
}

/// Sends SIGTERM to a daemon that has not been waited for.
pub fn terminate(process: &Process) {
    let pid = process.child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("a signal");
    assert!(sent.success());
}
