//! What is known of the bytes that a connection to a server holds beyond those of its response.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

/// The longest time until the task of a connection has looked for bytes after the end of a response.
const CHECK_TIMEOUT: Duration = Duration::from_secs(5);

/// A `ReadWatch` tells whether bytes stand behind the end of the response that a connection has carried.
///
/// hyper reads from the stream of a connection only after it has consumed all that it has read before. A read that finds
/// nothing therefore proves that nothing stands behind a body that has been received completely.
#[derive(Clone, Debug, Default)]
pub struct ReadWatch {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    reading: Mutex<Reading>,
    changed: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    requests: u64,
    /// The last request whose response was found to be clean.
    clean: u64,
    phase: Phase,
    read_at: Option<Instant>,
    ended_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Bytes were read that may not have been consumed.
    #[default]
    Reading,
    /// All bytes were consumed, and no further ones have arrived.
    Drained,
    /// The connection has ended, and all bytes were consumed.
    Ended,
    /// The connection has ended, and some bytes were not consumed.
    EndedWithBytes,
}

/// A `RequestNumber` is the number of a request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestNumber(u64);

impl ReadWatch {
    /// Begins a request.
    pub fn begin(&self) -> RequestNumber {
        let mut reading = self.lock();
        reading.requests += 1;
        if matches!(reading.phase, Phase::Drained) {
            reading.phase = Phase::Reading;
        }
        RequestNumber(reading.requests)
    }

    /// Notes that bytes were read.
    pub fn note_read(&self) {
        let mut reading = self.lock();
        reading.phase = Phase::Reading;
        reading.read_at = Some(Instant::now());
    }

    /// Notes that a read has found no bytes.
    pub fn note_drained(&self) {
        self.set(Phase::Drained);
    }

    /// Notes the end of the connection; returns whether a response that counted as whole was followed by bytes.
    pub fn note_ended(&self, has_bytes: bool) -> bool {
        self.lock().ended_at = Some(Instant::now());
        let reading = *self.lock();
        self.set(if has_bytes { Phase::EndedWithBytes } else { Phase::Ended });
        has_bytes && 0 < reading.requests && reading.clean == reading.requests
    }

    /// Notes that this node has closed the connection.
    pub fn note_aborted(&self) {
        self.set(Phase::EndedWithBytes);
    }

    /// Returns whether the connection is open and nothing has arrived that was not read.
    pub fn is_drained(&self) -> bool {
        self.lock().phase == Phase::Drained
    }

    /// Returns when bytes were read last.
    pub fn read_at(&self) -> Option<Instant> {
        self.lock().read_at
    }

    /// Returns when the server closed the connection.
    pub fn ended_at(&self) -> Option<Instant> {
        self.lock().ended_at
    }

    /// Waits until it is known whether bytes follow the response to a request, whose body has been received, and returns
    /// whether none do.
    pub async fn ends_cleanly(self, request: RequestNumber) -> bool {
        timeout(CHECK_TIMEOUT, self.wait(request)).await.unwrap_or(false)
    }

    async fn wait(&self, RequestNumber(number): RequestNumber) -> bool {
        loop {
            let changed = self.shared.changed.notified();
            match self.check(number) {
                None => changed.await,
                Some(is_clean) => return is_clean,
            }
        }
    }

    fn check(&self, number: u64) -> Option<bool> {
        let mut reading = self.lock();
        // hyper takes a further request only after it has looked for such bytes.
        if number < reading.requests {
            return Some(true);
        }
        match reading.phase {
            Phase::Reading => return None,
            Phase::EndedWithBytes => return Some(false),
            Phase::Drained | Phase::Ended => {}
        }
        reading.clean = number;
        Some(true)
    }

    fn set(&self, phase: Phase) {
        let mut reading = self.lock();
        if reading.phase == phase {
            return;
        }
        reading.phase = phase;
        drop(reading);
        self.shared.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Reading> {
        self.shared.reading.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
