//! Asynchronous output of log lines, which never blocks request handling.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use tracing_subscriber::fmt::MakeWriter;

/// The maximum number of queued lines: the output of some seconds at peak load, about 1 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// `Lines` are a writer of log lines that never blocks.
///
/// If the reader of the process's output stops, a direct write would block, and with it the request that
/// is being logged: callers would see a node that hangs. Lines beyond the bound are dropped and counted
/// instead.
#[derive(Clone)]
pub struct Lines {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// A `Line` is one log line that is being written.
pub struct Line {
    lines: Lines,
    bytes: Vec<u8>,
}

impl Lines {
    /// Starts the thread that writes the lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Lines> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(out, receiver, &counted))?;
        Ok(Lines { sender, dropped })
    }

    /// Returns how many lines were dropped since the last written report of dropped lines.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        Line { lines: self.clone(), bytes: Vec::new() }
    }
}

impl Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if self.lines.sender.try_send(std::mem::take(&mut self.bytes)).is_err() {
            self.lines.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write(mut out: impl Write, lines: Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(mut bytes) = lines.recv() {
        while let Ok(more) = lines.try_recv() {
            bytes.extend_from_slice(&more);
        }
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if 0 < dropped_count {
            bytes.extend_from_slice(format!("{{\"dropped_lines\":{dropped_count}}}\n").as_bytes());
        }
        // A closed output can't be reported anywhere; the node continues to serve.
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
