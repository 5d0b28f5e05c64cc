//! Cancelling answers whose callers went away.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bulrushhall_core::RequestId;
use tokio::time::{Instant, sleep};

use crate::{context::Context, handoff::find::cancel_here};

/// The pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// How long an answer without a reader goes on, so that its caller can come back for it.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// Cancels answers that are of use only to a reader and have had none for a while.
///
/// Without this an engine would write to its end every answer whose caller has hung up.
pub async fn cancel_abandoned(cx: Arc<Context>) {
    let mut unread: HashMap<RequestId, Instant> = HashMap::new();
    loop {
        sleep(LOOK_PAUSE).await;
        let mut still = HashMap::new();
        for answer in cx.answers.open() {
            if !answer.is_attended() || 0 < answer.readers() {
                continue;
            }
            let since = unread.get(&answer.id()).copied().unwrap_or_else(Instant::now);
            if KEPT_FOR <= since.elapsed() {
                cancel_here(&cx, &answer).await;
                continue;
            }
            still.insert(answer.id(), since);
        }
        unread = still;
    }
}
