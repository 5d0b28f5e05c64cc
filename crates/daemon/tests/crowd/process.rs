//! A daemon as a separate process.

use std::{
    env, fs,
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
    time::Duration,
};

use tokio::time::{sleep, timeout};

/// The variable with the path of another build of the daemon.
const DAEMON: &str = "BULRUSH_DAEMON";
/// The longest time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The descriptors that a process may have in addition after a crowd has left: pooled connections.
const KEPT_DESCRIPTORS: usize = 32;

/// A `DaemonProcess` is a running daemon, which is killed when it is dropped.
pub struct DaemonProcess {
    child: Child,
}

impl DaemonProcess {
    /// Starts a daemon with a settings file of this text.
    pub fn start(name: &str, settings: &str) -> DaemonProcess {
        DaemonProcess { child: spawn(name, settings, Stdio::null()) }
    }

    /// Starts such a daemon and returns the first line that it prints, too.
    pub fn start_with_line(name: &str, settings: &str) -> (DaemonProcess, String) {
        let mut child = spawn(name, settings, Stdio::piped());
        let out = child.stdout.take().expect("the daemon's output");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("a line");
        (DaemonProcess { child }, line)
    }

    /// Returns whether it runs.
    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("a signal");
        assert!(sent.success());
    }

    /// Returns the most memory that it has had so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("a running process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")).expect("a size");
        kilobytes.parse::<usize>().expect("a number") << 10
    }

    /// Returns the number of its open descriptors.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        fs::read_dir(path).expect("a running process").count()
    }

    /// Waits until it has given back the descriptors beyond `before`.
    pub async fn wait_for_descriptors(&self, before: usize) {
        let given_back = async || self.descriptors() <= before + KEPT_DESCRIPTORS;
        wait_until("its descriptors are given back", given_back).await;
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition is true.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(timeout(WAIT_TIMEOUT, waiting).await.is_ok(), "not so in time: {what}");
}

fn spawn(name: &str, settings: &str, out: Stdio) -> Child {
    let file = format!("bulrushd-crowd-{}-{name}.ini", std::process::id());
    let path = std::env::temp_dir().join(file);
    fs::write(&path, settings).expect("a written file");
    let daemon = env::var(DAEMON).unwrap_or_else(|_| env!("CARGO_BIN_EXE_bulrushd").to_owned());
    let mut daemon = Command::new(daemon);
    daemon.arg("--settings").arg(&path).stdout(out).stderr(Stdio::null());
    daemon.spawn().expect("a started daemon")
}
