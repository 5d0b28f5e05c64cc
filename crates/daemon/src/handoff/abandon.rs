//! Cancellation of answers whose callers have disconnected.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bulrushhall_core::RequestId;
use tokio::time::{Instant, sleep};

use crate::{context::Context, handoff::find::cancel_if_owned};

/// The pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(500);
/// How long an answer without a reader keeps running, so that its caller can reconnect.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(10);

/// Cancels answers that need a reader and have had none for `ABANDON_TIMEOUT`.
///
/// Otherwise engines would generate the rest of every answer whose caller has disconnected.
pub async fn cancel_abandoned(cx: Arc<Context>) {
    let mut unread: HashMap<RequestId, Instant> = HashMap::new();
    loop {
        sleep(CHECK_PAUSE).await;
        let mut still_unread = HashMap::new();
        for answer in cx.answers.open() {
            if !answer.needs_reader() || 0 < answer.readers() {
                continue;
            }
            let since = unread.get(&answer.id()).copied().unwrap_or_else(Instant::now);
            if ABANDON_TIMEOUT <= since.elapsed() {
                cancel_if_owned(&cx, &answer).await;
                continue;
            }
            still_unread.insert(answer.id(), since);
        }
        unread = still_unread;
    }
}
