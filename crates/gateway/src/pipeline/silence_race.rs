//! The wait for a backend server that is silent in the middle of a stream, while another one is looked for.

use std::{pin::pin, time::Duration};

use tokio::time::sleep;

use crate::{
    clock,
    pipeline::{
        attempt::BackendResponse,
        events::{CompleteEvents, EventSplitter},
        response_body::BodyFrame,
        send::{RequestSender, TAKEOVER_RECHECK},
        silence::SilenceEnd,
    },
};

/// A `RaceEnd` is how the wait for a silent server ended.
pub enum RaceEnd {
    /// It sent events.
    Events(CompleteEvents),
    /// It sent more bytes than an event has.
    TooLarge,
    /// Its body ended, and no other server has answered.
    Ended(BodyFrame),
    /// Another server has answered.
    TakenOver(Box<BackendResponse>),
    /// The time of the request is over.
    Late,
}

impl RaceEnd {
    /// Returns its form in the log.
    pub fn silence_end(&self) -> SilenceEnd {
        match self {
            RaceEnd::Events(_) | RaceEnd::TooLarge => SilenceEnd::WentOn,
            RaceEnd::Ended(_) => SilenceEnd::Closed,
            RaceEnd::TakenOver(_) => SilenceEnd::TakenOver,
            RaceEnd::Late => SilenceEnd::Late,
        }
    }
}

/// A `SilenceRace` is the race between a silent server and those that may take its stream over.
///
/// The silent server keeps the stream until another one has answered: all servers may be silent for a moment, or none may
/// take over.
pub struct SilenceRace<'a> {
    /// The response of the silent server.
    pub silent: &'a mut BackendResponse,
    /// The splitter of its events.
    pub splitter: &'a mut EventSplitter,
    /// The sender to other servers.
    pub sender: RequestSender<'a>,
    /// The time that is left.
    pub left: Duration,
}

enum Progress {
    Nothing,
    /// The race is won.
    Won(RaceEnd),
    /// The body has ended without a proof that the stream is whole.
    Broken(BodyFrame),
}

impl SilenceRace<'_> {
    /// Waits until one of the servers has sent something that may be passed on.
    pub async fn run(mut self) -> RaceEnd {
        let end = clock::now() + self.left;
        let mut broken = None;
        let mut pause = Duration::ZERO;
        loop {
            let sender = &mut self.sender;
            let mut sending = pin!(async move {
                sleep(pause).await;
                sender.send().await
            });
            loop {
                tokio::select! {
                    biased;
                    frame = self.silent.body.frame(), if broken.is_none() => {
                        match progress(self.silent, self.splitter, frame) {
                            Progress::Nothing => {}
                            Progress::Won(end) => return end,
                            Progress::Broken(frame) => broken = Some(frame),
                        }
                    }
                    sent = &mut sending => match sent {
                        Ok(response) => return RaceEnd::TakenOver(Box::new(response)),
                        Err(_) => break,
                    },
                    () = sleep(end.since(clock::now())) => return RaceEnd::Late,
                }
            }
            if let Some(frame) = broken {
                return RaceEnd::Ended(frame);
            }
            pause = TAKEOVER_RECHECK;
        }
    }
}

fn progress(
    silent: &mut BackendResponse,
    splitter: &mut EventSplitter,
    frame: BodyFrame,
) -> Progress {
    let frame = match frame {
        Some(Ok(frame)) => frame,
        None if silent.has_marked_end() && !splitter.has_partial_event() => {
            return Progress::Won(RaceEnd::Ended(None));
        }
        ended => return Progress::Broken(ended),
    };
    let Ok(bytes) = frame.into_data() else { return Progress::Nothing };
    if let Some(sent) = &mut silent.sent {
        sent.note_bytes(&bytes);
    }
    match splitter.push(&bytes) {
        Some(events) => Progress::Won(RaceEnd::Events(events)),
        None if splitter.is_event_too_large() => Progress::Won(RaceEnd::TooLarge),
        None => Progress::Nothing,
    }
}
