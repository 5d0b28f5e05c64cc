//! Finding the owner of a request from any node, and following an answer there.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use bulrushhall_core::{Incarnation, Ran, RequestId, TeamName};
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, sleep};

use crate::{
    answers::{Answer, AnswerEnd, Place},
    callers::{ApiCode, ApiError},
    context::Context,
    handoff::{Cancel, Ended, Read, ReadReply, Standing, StandingOf, messages::ReadMode},
    members::Member,
};

/// How long a request is looked for whose owner has gone and whose holder has not yet taken over.
const FIND_WAIT: Duration = Duration::from_secs(6);
/// The rounds of questions for a request that nobody knows.
const FIND_ROUNDS: u32 = 2;
/// The pause between two rounds.
const FIND_PAUSE: Duration = Duration::from_millis(150);
/// The most forwards that are followed in one round.
const FORWARDS: usize = 4;

/// Where an answer was found.
struct Found {
    at: Member,
    reply: ReadReply,
}

/// Returns the answer to a team's request, wherever its owner is.
///
/// An answer of another node is followed for as long as it has readers here.
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

/// Cancels a team's request, wherever its owner is; returns whether it was found.
pub async fn cancel(cx: &Arc<Context>, answer: &Arc<Answer>) -> bool {
    if cancel_here(cx, answer).await {
        return true;
    }
    let (team, id) = (answer.team().clone(), answer.id());
    let Some(Found { at, .. }) = locate(cx, &team, id, None).await else { return false };
    let cancel = Cancel { team, id };
    cx.peers.send(cx, at.peers, Some(at.incarnation), cancel).await.unwrap_or(false)
}

/// Cancels a request that this node owns; returns whether it does.
pub(super) async fn cancel_here(cx: &Context, answer: &Answer) -> bool {
    let error = ApiError::not_run(ApiCode::Cancelled, "the caller cancelled the request");
    let end = AnswerEnd::Failed(error.ran(answer.ran()));
    let ended = cx.ownership.send(Ended { id: answer.id(), end }).await.unwrap_or(false);
    if ended {
        answer.halt();
    }
    ended
}

/// Follows an answer at its owner until it ends or nobody reads it here any more.
pub async fn follow(cx: Arc<Context>, answer: Weak<Answer>) {
    loop {
        let Some((team, id, seen)) = look(&answer) else { return };
        let Some(Found { at, reply }) = locate(&cx, &team, id, seen).await else {
            let Some(answer) = answer.upgrade() else { return };
            let message = "no node knows the request any more";
            let error = ApiError::not_run(ApiCode::Unavailable, message).ran(Ran::Unknown);
            answer.end(AnswerEnd::Failed(error));
            return;
        };
        if apply(&cx, &answer, seen, reply) == Followed::Ended {
            return;
        }
        while let Some((team, id, seen)) = look(&answer) {
            let read = Read { team, id, seen, mode: ReadMode::Wait };
            let Ok(reply) = cx.peers.send(&cx, at.peers, Some(at.incarnation), read).await else {
                sleep(FIND_PAUSE).await;
                break;
            };
            match apply(&cx, &answer, seen, reply) {
                Followed::GoesOn => {}
                Followed::Lost => break,
                Followed::Ended => return,
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Followed {
    GoesOn,
    Lost,
    Ended,
}

fn look(answer: &Weak<Answer>) -> Option<(TeamName, RequestId, Option<Place>)> {
    let answer = answer.upgrade()?;
    if answer.ended().is_some() {
        return None;
    }
    Some((answer.team().clone(), answer.id(), answer.last()))
}

fn apply(cx: &Context, answer: &Weak<Answer>, seen: Option<Place>, reply: ReadReply) -> Followed {
    let Some(answer) = answer.upgrade() else { return Followed::Ended };
    let registered = cx.answers.get(answer.id()).is_some_and(|known| Arc::ptr_eq(&known, &answer));
    match reply {
        ReadReply::Parts { tokens, end, .. } => {
            answer.push(seen.map_or(0, |seen| seen.number + 1), tokens);
            let Some(end) = end else { return Followed::GoesOn };
            if matches!(end, AnswerEnd::Moved(_)) {
                return Followed::Lost;
            }
            answer.end(end);
            if registered {
                cx.answers.finished(cx.clock.now(), answer.id());
            }
            Followed::Ended
        }
        ReadReply::Diverged => {
            let message = "the answer was written anew with other words; read it from the start";
            let error = ApiError::not_run(ApiCode::StreamDiverged, message).ran(Ran::Yes);
            answer.end(AnswerEnd::Failed(error));
            if registered {
                cx.answers.remove(answer.id());
            }
            Followed::Ended
        }
        ReadReply::Unknown | ReadReply::Holder | ReadReply::WentTo(_) => Followed::Lost,
    }
}

// While a dead owner's holder has not yet taken over, nobody owns the request. The holder says
// that it has a copy, and the question is asked again until somebody owns it.
async fn locate(
    cx: &Arc<Context>,
    team: &TeamName,
    id: RequestId,
    seen: Option<Place>,
) -> Option<Found> {
    let until = Instant::now() + FIND_WAIT;
    let mut rounds = 0;
    let standing = || cx.ownership.send(StandingOf { team: team.clone(), id });
    while Instant::now() < until {
        let mut hint = id.origin;
        if let Ok(Standing::WentTo(to)) = standing().await {
            hint = to;
        }
        let (found, copied) = one_round(cx, team, id, seen, hint).await;
        if found.is_some() {
            return found;
        }
        let held = matches!(standing().await, Ok(Standing::Holder));
        rounds += 1;
        if FIND_ROUNDS <= rounds && !copied && !held {
            return None;
        }
        sleep(FIND_PAUSE).await;
    }
    None
}

async fn one_round(
    cx: &Arc<Context>,
    team: &TeamName,
    id: RequestId,
    seen: Option<Place>,
    mut hint: Incarnation,
) -> (Option<Found>, bool) {
    let read = Read { team: team.clone(), id, seen, mode: ReadMode::Look };
    for _ in 0..FORWARDS {
        let Some(at) = cx.members.find(hint) else { break };
        match ask(cx, at, read.clone()).await {
            Some(Found { reply: ReadReply::WentTo(to), .. }) if to != hint => hint = to,
            Some(found) if is_answer(&found.reply) => return (Some(found), true),
            _ => break,
        }
    }
    let members = cx.members.current();
    let mut asked = FuturesUnordered::new();
    for member in members.iter() {
        asked.push(ask(cx, member.clone(), read.clone()));
    }
    let mut copied = false;
    while let Some(found) = asked.next().await {
        let Some(found) = found else { continue };
        if is_answer(&found.reply) {
            return (Some(found), true);
        }
        copied |= matches!(found.reply, ReadReply::Holder);
    }
    (None, copied)
}

fn is_answer(reply: &ReadReply) -> bool {
    matches!(reply, ReadReply::Parts { .. } | ReadReply::Diverged)
}

async fn ask(cx: &Arc<Context>, at: Member, read: Read) -> Option<Found> {
    let reply = cx.peers.send(cx, at.peers, Some(at.incarnation), read).await.ok()?;
    Some(Found { at, reply })
}
