//! Crowds of clients that don't behave, and the process that has to withstand them.

#![allow(dead_code, unused_imports, reason = "each test uses a part of it")]

mod client;
mod process;

pub use client::{Client, Crowd, Pieces};
pub use process::{DaemonProcess, wait_until};

use tokio::sync::{Mutex, MutexGuard};

/// The descriptors of the smallest VM that deployments use, less those for files.
pub const MAX_DESCRIPTORS: usize = 3_900;

/// Waits until no other test of this process plays a crowd.
pub async fn alone() -> MutexGuard<'static, ()> {
    static PLAYING: Mutex<()> = Mutex::const_new(());
    PLAYING.lock().await
}
