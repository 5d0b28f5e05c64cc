//! The timer of idle connections and of the heads of requests.

use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};
use tokio::time;

use crate::http::Handler;

/// A `HeadTimer` bounds how long the connections of a port wait for the next head, by the time limit that the handler has when
/// that is over.
#[derive(Clone)]
pub struct HeadTimer {
    handler: Arc<dyn Handler>,
    /// The time limit if the handler has none.
    default: Duration,
}

impl HeadTimer {
    /// Returns the timer of a port.
    pub fn new(handler: Arc<dyn Handler>, default: Duration) -> HeadTimer {
        HeadTimer { handler, default }
    }

    fn limit(&self) -> Duration {
        self.handler.header_timeout().unwrap_or(self.default)
    }

    fn begin(&self) -> Pin<Box<dyn Sleep>> {
        let began = time::Instant::now();
        let sleep = Box::pin(time::sleep_until(began + self.limit()));
        Box::pin(HeadSleep { timer: self.clone(), began, sleep })
    }
}

// hyper's HTTP/1 server measures nothing else with it, and its time limit is fixed when a connection opens.
impl Timer for HeadTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        self.begin()
    }

    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        self.begin()
    }

    fn now(&self) -> Instant {
        time::Instant::now().into_std()
    }
}

impl fmt::Debug for HeadTimer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeadTimer").field("default", &self.default).finish_non_exhaustive()
    }
}

/// The wait of one connection for a head.
struct HeadSleep {
    timer: HeadTimer,
    began: time::Instant,
    sleep: Pin<Box<time::Sleep>>,
}

impl Sleep for HeadSleep {}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let until = self.began + self.timer.limit();
            if until <= time::Instant::now() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(until);
        }
    }
}
