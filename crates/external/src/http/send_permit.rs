//! The right to send a request, which can end before the request is written.

use std::{
    fmt, io,
    sync::{Arc, Mutex},
};

/// A `SendPermit` states whether a request may still be written to its connection.
///
/// A request that carries one as an extension is not written any more once the permit has ended: a process
/// can be paused between its decision to send a request and the write.
#[derive(Clone)]
pub struct SendPermit {
    is_valid: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl SendPermit {
    /// Returns a permit that lasts as long as `is_valid` returns `true`.
    pub fn new(is_valid: impl Fn() -> bool + Send + Sync + 'static) -> SendPermit {
        SendPermit { is_valid: Arc::new(is_valid) }
    }

    /// Returns whether the permit is valid now.
    pub fn is_valid(&self) -> bool {
        (self.is_valid)()
    }
}

impl fmt::Debug for SendPermit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendPermit").finish_non_exhaustive()
    }
}

/// A `WriteGate` holds the permit of the request that a connection carries at the moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteGate {
    permit: Arc<Mutex<Option<SendPermit>>>,
}

impl WriteGate {
    /// Sets the permit of the next request; without one, writes are not limited.
    pub(crate) fn set(&self, permit: Option<SendPermit>) {
        *self.permit.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = permit;
    }

    /// Returns an error if the permit has ended.
    pub(crate) fn check(&self) -> io::Result<()> {
        let permit = self.permit.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        match &*permit {
            Some(permit) if !permit.is_valid() => {
                Err(io::Error::new(io::ErrorKind::TimedOut, "the permit to send has ended"))
            }
            _ => Ok(()),
        }
    }
}
