//! Answers without a mark of their end, while they are received.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bulrushhall_policy::placement::WorkerKey;
use tokio::time::sleep;

use crate::{
    backends::{Backend, Pool},
    clock,
    crashes::probe::renew_spare,
    gateway::Gateway,
};

/// The interval of checks whether the spare connection is open.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The age of the spare connection at which that to a leaving server is replaced: once its listener is closed there is no
/// other one, and servers close idle connections after some seconds.
const MAX_SPARE_AGE: Duration = Duration::from_millis(1_000);

/// An `UnmarkedAnswer` is an answer whose end will have no mark. While there is one, its node keeps a spare connection to the
/// server, which ends with the server's process.
#[derive(Debug)]
pub struct UnmarkedAnswer {
    pool: Arc<Pool>,
}

impl UnmarkedAnswer {
    /// Notes that the head of such an answer has arrived.
    pub fn begin(
        gateway: &Arc<Gateway>,
        (key, name): (WorkerKey, &Arc<str>),
        pool: &Arc<Pool>,
    ) -> UnmarkedAnswer {
        let witnesses = pool.witnesses();
        witnesses.unmarked.fetch_add(1, Ordering::AcqRel);
        if !witnesses.is_kept.swap(true, Ordering::AcqRel) {
            let (gateway, name, pool) = (Arc::clone(gateway), Arc::clone(name), Arc::clone(pool));
            tokio::spawn(async move { keep_spare(&gateway, (key, &name), &pool).await });
        }
        UnmarkedAnswer { pool: Arc::clone(pool) }
    }
}

impl Drop for UnmarkedAnswer {
    fn drop(&mut self) {
        self.pool.witnesses().unmarked.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn keep_spare(gateway: &Gateway, (key, name): (WorkerKey, &str), pool: &Pool) {
    let witnesses = pool.witnesses();
    let mut is_begin = true;
    loop {
        let accepts_work =
            gateway.with(|state| state.backends.get(key).is_some_and(Backend::accepts_work));
        if accepts_work {
            close_idle_spare(pool).await;
        }
        let spare = witnesses.spare_life().filter(|spare| spare.is_open());
        let is_due = match spare {
            Some(spare) => !accepts_work && MAX_SPARE_AGE < clock::now().since(spare.opened_at()),
            None => !accepts_work || (is_begin && !witnesses.ignores_probes()),
        };
        if is_due {
            renew_spare(gateway, name, pool).await;
        }
        is_begin = false;
        sleep(CHECK_INTERVAL).await;
        if witnesses.unmarked.load(Ordering::Acquire) != 0 {
            continue;
        }
        witnesses.is_kept.store(false, Ordering::Release);
        // An answer may have begun meanwhile.
        let is_idle = witnesses.unmarked.load(Ordering::Acquire) == 0;
        if is_idle || witnesses.is_kept.swap(true, Ordering::AcqRel) {
            return;
        }
    }
}

async fn close_idle_spare(pool: &Pool) {
    let witnesses = pool.witnesses();
    if witnesses.spare_until() <= clock::now() {
        let mut spare = witnesses.spare.lock().await;
        witnesses.set_spare(&mut spare, None);
    }
}
