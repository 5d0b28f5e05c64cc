//! The messages between nodes that carry ownership, and reading from any node.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::Message;
use bulrushhall_core::{ClassName, Incarnation, ModelName, RequestId, TeamName};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout_at};

use crate::{
    answers::{Answer, AnswerEnd, Place},
    context::Context,
    handoff::{Receive, Standing, StandingOf, find},
    peers::{PeerMessage, PeerPort},
};

/// The longest time that a reader at another node is kept waiting for something new.
const READ_WAIT: Duration = Duration::from_millis(800);

/// A `Batch` holds what one node has to tell another about requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// The messages.
    pub messages: Vec<Message>,
}

/// A `Read` asks another node for what follows in an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Read {
    /// The team that reads.
    pub team: TeamName,
    /// The request.
    pub id: RequestId,
    /// The last token that the reader has.
    pub seen: Option<Place>,
    /// Whether the reply is to wait until something is there.
    pub mode: ReadMode,
}

/// A `ReadMode` tells whether a reader waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadMode {
    /// The reply comes at once.
    Look,
    /// The reply comes when something is new, or after a while.
    Wait,
}

/// A `ReadReply` is what a node knows of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReadReply {
    /// Nothing, or nothing that the team may see.
    Unknown,
    /// It holds a copy, whose owner it believes to be alive.
    Holder,
    /// The request went to this life of a node.
    WentTo(Incarnation),
    /// What the reader saw is not the beginning of this answer.
    Diverged,
    /// What follows.
    Parts {
        /// The model that answers.
        model: ModelName,
        /// The class of the request.
        class: ClassName,
        /// The tokens that follow.
        tokens: Vec<String>,
        /// How the answer ended, if it did.
        end: Option<AnswerEnd>,
    },
}

/// A `Cancel` asks the owner to cancel a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// The team that asks.
    pub team: TeamName,
    /// The request.
    pub id: RequestId,
}

impl PeerMessage for Batch {
    const PATH: &'static str = "/handoff/batch";
    type Reply = Batch;
}

impl PeerMessage for Read {
    const PATH: &'static str = "/handoff/read";
    type Reply = ReadReply;
}

impl PeerMessage for Cancel {
    const PATH: &'static str = "/handoff/cancel";
    type Reply = bool;
}

/// Registers what is done with the messages.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, from, batch: Batch| async move {
        let receive = Receive { from: from.incarnation, messages: batch.messages };
        Batch { messages: cx.ownership.send(receive).await.unwrap_or_default() }
    });
    port.register(|cx: Arc<Context>, _from, read: Read| async move { reply(&cx, read).await });
    port.register(|cx: Arc<Context>, _from, cancel: Cancel| async move {
        let Some(answer) = cx.answers.get(cancel.id) else { return false };
        *answer.team() == cancel.team && find::cancel_here(&cx, &answer).await
    });
}

async fn reply(cx: &Context, read: Read) -> ReadReply {
    let answer = cx.answers.get(read.id);
    let standing = cx.ownership.send(StandingOf { team: read.team.clone(), id: read.id }).await;
    let standing = standing.unwrap_or(Standing::Unknown);
    match (answer, standing) {
        (Some(answer), Standing::Owner) if *answer.team() == read.team => {
            parts(&answer, &read).await
        }
        // An ended answer is kept here, unless the end only says that it went on elsewhere.
        (Some(answer), _) if *answer.team() == read.team && is_final(&answer) => {
            parts(&answer, &read).await
        }
        (_, Standing::WentTo(to)) if to != cx.incarnation => ReadReply::WentTo(to),
        (_, Standing::Holder) => ReadReply::Holder,
        _ => ReadReply::Unknown,
    }
}

fn is_final(answer: &Answer) -> bool {
    matches!(answer.ended(), Some(AnswerEnd::Whole(_) | AnswerEnd::Failed(_)))
}

async fn parts(answer: &Arc<Answer>, read: &Read) -> ReadReply {
    let first = read.seen.map_or(0, |seen| seen.number + 1);
    let until = Instant::now() + READ_WAIT;
    let mut reader = answer.read_from(first).after(read.seen);
    if read.mode == ReadMode::Wait {
        let _ = timeout_at(until, reader.ready_or_ended()).await;
    }
    if let Some(seen) = read.seen
        && (answer.has(seen) == Some(false) || answer.has(seen).is_none() && is_final(answer))
    {
        return ReadReply::Diverged;
    }
    let (tokens, end) = answer.since(first);
    let (model, class) = (answer.model().clone(), answer.class().clone());
    ReadReply::Parts { model, class, tokens, end }
}
