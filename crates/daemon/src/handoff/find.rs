//! Locating the owner of a request from any node, and following its answer there.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use bulrushhall_core::{Incarnation, Ran, RequestId, TeamName};
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, sleep};

use crate::{
    answers::{Answer, AnswerEnd, TokenPosition},
    callers::{ApiCode, ApiError},
    context::Context,
    handoff::{Cancel, Ended, GetRequestRole, Read, ReadReply, RequestRole, messages::ReadMode},
    members::Member,
};

/// How long to search for a request whose owner is dead and whose copy holder has not taken over
/// yet.
const FIND_TIMEOUT: Duration = Duration::from_secs(6);
/// The number of query rounds after which a request that no node knows is reported as not found.
const MAX_UNKNOWN_ROUNDS: u32 = 2;
/// The pause between two query rounds.
const FIND_PAUSE: Duration = Duration::from_millis(150);
/// The maximum number of referrals to another node that are followed in one round.
const MAX_REFERRALS: usize = 4;

/// The node at which an answer was found, and its reply.
struct Found {
    node: Member,
    reply: ReadReply,
}

/// Returns the answer to a team's request, whichever node owns it.
///
/// An answer that another node owns is followed for as long as it has readers at this node.
pub async fn find(cx: &Arc<Context>, team: &TeamName, id: RequestId) -> Option<Arc<Answer>> {
    if let Some(answer) = cx.answers.get(id) {
        let moved = matches!(answer.ended(), Some(AnswerEnd::Moved(_)));
        if !moved {
            return (answer.team() == team).then_some(answer);
        }
    }
    let Found { reply, .. } = locate(cx, team, id, None).await?;
    let ReadReply::Parts { model, class, tokens, end } = reply else { return None };
    let answer = Arc::new(Answer::new(id, team.clone(), model, class));
    answer.push(0, tokens);
    if let Some(end) = end {
        answer.end(end);
        return Some(answer);
    }
    tokio::spawn(follow(Arc::clone(cx), Arc::downgrade(&answer)));
    Some(answer)
}

/// Cancels a team's request, whichever node owns it; returns whether its owner cancelled it.
pub async fn cancel(cx: &Arc<Context>, answer: &Arc<Answer>) -> bool {
    if cancel_if_owned(cx, answer).await {
        return true;
    }
    let (team, id) = (answer.team().clone(), answer.id());
    let Some(Found { node, .. }) = locate(cx, &team, id, None).await else { return false };
    let cancel = Cancel { team, id };
    cx.peers.send(cx, node.peers, Some(node.incarnation), cancel).await.unwrap_or(false)
}

/// Cancels a request if this node owns it; returns whether it does.
pub(super) async fn cancel_if_owned(cx: &Context, answer: &Answer) -> bool {
    let error = ApiError::not_run(ApiCode::Cancelled, "the caller cancelled the request");
    let end = AnswerEnd::Failed(error.ran(answer.ran()));
    let ended = cx.ownership.send(Ended { id: answer.id(), end }).await.unwrap_or(false);
    if ended {
        answer.halt();
    }
    ended
}

/// Copies an answer from its owner until it ends or has no more readers at this node.
pub async fn follow(cx: Arc<Context>, answer: Weak<Answer>) {
    loop {
        let Some((team, id, seen)) = open_answer_state(&answer) else { return };
        let Some(Found { node, reply }) = locate(&cx, &team, id, seen).await else {
            let Some(answer) = answer.upgrade() else { return };
            let message = "no node knows the request any more";
            let error = ApiError::not_run(ApiCode::Unavailable, message).ran(Ran::Unknown);
            answer.end(AnswerEnd::Failed(error));
            return;
        };
        if apply_reply(&cx, &answer, seen, reply) == FollowState::Ended {
            return;
        }
        while let Some((team, id, seen)) = open_answer_state(&answer) {
            let read = Read { team, id, seen, mode: ReadMode::Wait };
            let Ok(reply) = cx.peers.send(&cx, node.peers, Some(node.incarnation), read).await
            else {
                sleep(FIND_PAUSE).await;
                break;
            };
            match apply_reply(&cx, &answer, seen, reply) {
                FollowState::Continues => {}
                FollowState::OwnerLost => break,
                FollowState::Ended => return,
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowState {
    Continues,
    OwnerLost,
    Ended,
}

fn open_answer_state(
    answer: &Weak<Answer>,
) -> Option<(TeamName, RequestId, Option<TokenPosition>)> {
    let answer = answer.upgrade()?;
    if answer.ended().is_some() {
        return None;
    }
    Some((answer.team().clone(), answer.id(), answer.last_position()))
}

fn apply_reply(
    cx: &Context,
    answer: &Weak<Answer>,
    seen: Option<TokenPosition>,
    reply: ReadReply,
) -> FollowState {
    let Some(answer) = answer.upgrade() else { return FollowState::Ended };
    let registered = cx.answers.get(answer.id()).is_some_and(|known| Arc::ptr_eq(&known, &answer));
    match reply {
        ReadReply::Parts { tokens, end, .. } => {
            answer.push(seen.map_or(0, |seen| seen.number + 1), tokens);
            let Some(end) = end else { return FollowState::Continues };
            if matches!(end, AnswerEnd::Moved(_)) {
                return FollowState::OwnerLost;
            }
            answer.end(end);
            if registered {
                cx.answers.finished(cx.clock.now(), answer.id());
            }
            FollowState::Ended
        }
        ReadReply::Diverged => {
            let message = "the answer was written anew with other words; read it from the start";
            let error = ApiError::not_run(ApiCode::StreamDiverged, message).ran(Ran::Yes);
            answer.end(AnswerEnd::Failed(error));
            if registered {
                cx.answers.remove(answer.id());
            }
            FollowState::Ended
        }
        ReadReply::Unknown | ReadReply::Holder | ReadReply::MovedTo(_) => FollowState::OwnerLost,
    }
}

// A request has no owner from the death of its owner until the copy holder takes over. The holder
// replies meanwhile that it has a copy, and the query is repeated until a node owns the request.
async fn locate(
    cx: &Arc<Context>,
    team: &TeamName,
    id: RequestId,
    seen: Option<TokenPosition>,
) -> Option<Found> {
    let until = Instant::now() + FIND_TIMEOUT;
    let mut rounds = 0;
    let role = || cx.ownership.send(GetRequestRole { team: team.clone(), id });
    while Instant::now() < until {
        let mut likely_owner = id.origin;
        if let Ok(RequestRole::MovedTo(to)) = role().await {
            likely_owner = to;
        }
        let (found, copy_exists) = query_round(cx, team, id, seen, likely_owner).await;
        if found.is_some() {
            return found;
        }
        let is_holder = matches!(role().await, Ok(RequestRole::Holder));
        rounds += 1;
        if MAX_UNKNOWN_ROUNDS <= rounds && !copy_exists && !is_holder {
            return None;
        }
        sleep(FIND_PAUSE).await;
    }
    None
}

async fn query_round(
    cx: &Arc<Context>,
    team: &TeamName,
    id: RequestId,
    seen: Option<TokenPosition>,
    mut likely_owner: Incarnation,
) -> (Option<Found>, bool) {
    let read = Read { team: team.clone(), id, seen, mode: ReadMode::Look };
    for _ in 0..MAX_REFERRALS {
        let Some(node) = cx.members.find(likely_owner) else { break };
        match read_from_node(cx, node, read.clone()).await {
            Some(Found { reply: ReadReply::MovedTo(to), .. }) if to != likely_owner => {
                likely_owner = to
            }
            Some(found) if is_answer(&found.reply) => return (Some(found), true),
            _ => break,
        }
    }
    let members = cx.members.current();
    let mut replies = FuturesUnordered::new();
    for member in members.iter() {
        replies.push(read_from_node(cx, member.clone(), read.clone()));
    }
    let mut copy_exists = false;
    while let Some(found) = replies.next().await {
        let Some(found) = found else { continue };
        if is_answer(&found.reply) {
            return (Some(found), true);
        }
        copy_exists |= matches!(found.reply, ReadReply::Holder);
    }
    (None, copy_exists)
}

fn is_answer(reply: &ReadReply) -> bool {
    matches!(reply, ReadReply::Parts { .. } | ReadReply::Diverged)
}

async fn read_from_node(cx: &Arc<Context>, node: Member, read: Read) -> Option<Found> {
    let reply = cx.peers.send(cx, node.peers, Some(node.incarnation), read).await.ok()?;
    Some(Found { node, reply })
}
