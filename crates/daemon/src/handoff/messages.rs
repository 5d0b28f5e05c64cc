//! The messages between nodes for ownership, reads and cancellations.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::Message;
use bulrushhall_core::{ClassName, Incarnation, ModelName, RequestId, TeamName};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout_at};

use crate::{
    answers::{Answer, AnswerEnd, TokenPosition},
    context::Context,
    handoff::{GetRequestRole, Receive, RequestRole, find},
    peers::{PeerMessage, PeerPort},
};

/// The maximum time that a reply to a waiting reader is held back for new tokens.
const MAX_READ_WAIT: Duration = Duration::from_millis(800);

/// A `Batch` is a list of ownership messages from one node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// The messages.
    pub messages: Vec<Message>,
}

/// A `Read` asks another node for the next tokens of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Read {
    /// The team that reads.
    pub team: TeamName,
    /// The request.
    pub id: RequestId,
    /// The last token that the reader has.
    pub seen: Option<TokenPosition>,
    /// Whether the reply waits for new tokens.
    pub mode: ReadMode,
}

/// A `ReadMode` tells whether the reply to a read waits for new tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadMode {
    /// The reply is sent at once.
    Look,
    /// The reply is sent once there are new tokens or the answer has ended, or after a timeout.
    Wait,
}

/// A `ReadReply` is the reply to a [`Read`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReadReply {
    /// The node does not know the request, or the team may not see it.
    Unknown,
    /// The node holds a copy and considers the owner alive.
    Holder,
    /// The request was handed over to this incarnation of a node.
    #[serde(rename = "WentTo")]
    MovedTo(Incarnation),
    /// The part that the reader has seen is not the beginning of this answer.
    Diverged,
    /// The next tokens.
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

/// Registers the handlers of these messages.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, from, batch: Batch| async move {
        let receive = Receive { from: from.incarnation, messages: batch.messages };
        Batch { messages: cx.ownership.send(receive).await.unwrap_or_default() }
    });
    port.register(|cx: Arc<Context>, _from, read: Read| async move { reply(&cx, read).await });
    port.register(|cx: Arc<Context>, _from, cancel: Cancel| async move {
        let Some(answer) = cx.answers.get(cancel.id) else { return false };
        *answer.team() == cancel.team && find::cancel_if_owned(&cx, &answer).await
    });
}

async fn reply(cx: &Context, read: Read) -> ReadReply {
    let answer = cx.answers.get(read.id);
    let role = cx.ownership.send(GetRequestRole { team: read.team.clone(), id: read.id }).await;
    let role = role.unwrap_or(RequestRole::Unknown);
    match (answer, role) {
        (Some(answer), RequestRole::Owner) if *answer.team() == read.team => {
            read_parts(&answer, &read).await
        }
        // A node keeps finished answers; one that was only moved is continued by another node.
        (Some(answer), _) if *answer.team() == read.team && is_final(&answer) => {
            read_parts(&answer, &read).await
        }
        (_, RequestRole::MovedTo(to)) if to != cx.incarnation => ReadReply::MovedTo(to),
        (_, RequestRole::Holder) => ReadReply::Holder,
        _ => ReadReply::Unknown,
    }
}

fn is_final(answer: &Answer) -> bool {
    matches!(answer.ended(), Some(AnswerEnd::Whole(_) | AnswerEnd::Failed(_)))
}

async fn read_parts(answer: &Arc<Answer>, read: &Read) -> ReadReply {
    let first = read.seen.map_or(0, |seen| seen.number + 1);
    let until = Instant::now() + MAX_READ_WAIT;
    let mut reader = answer.read_from(first).after(read.seen);
    if read.mode == ReadMode::Wait {
        let _ = timeout_at(until, reader.wait_ready()).await;
    }
    if let Some(seen) = read.seen
        && (answer.contains(seen) == Some(false)
            || answer.contains(seen).is_none() && is_final(answer))
    {
        return ReadReply::Diverged;
    }
    let (tokens, end) = answer.tokens_from(first);
    let (model, class) = (answer.model().clone(), answer.class().clone());
    ReadReply::Parts { model, class, tokens, end }
}
