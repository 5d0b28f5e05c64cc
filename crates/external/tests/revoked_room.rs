//! The memory for bodies while some of them stop arriving.

use std::time::Duration;

use bulrushhall_external::http::{BodyBudget, BodyRoom, NoRoom};
use tokio::time::sleep;

const MIB: usize = 1 << 20;
const LIMIT: Duration = Duration::from_secs(10);

// Holds the room of a body until it is revoked.
fn hold(room: BodyRoom) {
    tokio::spawn(async move { room.revoked().await });
}

// Guards against clients that stop in the middle of a body and keep the room that others wait for.
#[tokio::test(start_paused = true)]
async fn stalled_bodies_yield() {
    let budget = BodyBudget::with_bytes(8 * MIB);
    for _ in 0..7 {
        hold(budget.reserve(MIB, LIMIT).await.expect("room"));
    }
    assert!(budget.reserve(MIB, LIMIT).await.is_ok());
    // Only as many have lost their room as was needed.
    assert_eq!(budget.used_bytes(), 6 * MIB);
}

// Guards against bodies that arrive and are refused because others wait.
#[tokio::test(start_paused = true)]
async fn arriving_bodies_stay() {
    let budget = BodyBudget::with_bytes(8 * MIB);
    let room = budget.reserve(7 * MIB, LIMIT).await.expect("room");
    let arriving = async {
        for _ in 0..30 {
            sleep(Duration::from_millis(100)).await;
            room.note_arrived(MIB / 10);
        }
    };
    let waiting = async { budget.reserve(MIB, LIMIT).await.err() };
    tokio::select! {
        refused = waiting => assert_eq!(refused, Some(NoRoom)),
        () = room.revoked() => panic!("revoked"),
        () = arriving => panic!("no end of the wait"),
    }
}

// Guards against bodies that have arrived and lose their room while their requests need them.
#[tokio::test(start_paused = true)]
async fn complete_bodies_stay() {
    let budget = BodyBudget::with_bytes(8 * MIB);
    let mut room = budget.reserve(7 * MIB, LIMIT).await.expect("room");
    room.complete(7 * MIB);
    sleep(LIMIT).await;
    assert_eq!(budget.reserve(MIB, LIMIT).await.err(), Some(NoRoom));
    // What can't wait has room all the same.
    assert!(budget.try_reserve(MIB / 2).is_some());
}

// Guards against a crowd of large bodies that waits and keeps smaller ones from being read.
#[tokio::test(start_paused = true)]
async fn smaller_bodies_first() {
    let budget = BodyBudget::with_bytes(8 * MIB);
    let held = budget.reserve(7 * MIB, LIMIT).await.expect("room");
    let large = tokio::spawn({
        let budget = budget.clone();
        async move { budget.reserve(7 * MIB, LIMIT).await }
    });
    sleep(Duration::from_millis(10)).await;
    let small = tokio::spawn({
        let budget = budget.clone();
        async move { budget.reserve(MIB, LIMIT).await }
    });
    sleep(Duration::from_millis(10)).await;
    drop(held);
    let small = small.await.expect("a task").expect("room");
    assert_eq!(budget.used_bytes(), MIB);
    drop(small);
    assert!(large.await.expect("a task").is_ok());
}

// Guards against a body that grows while it waits for itself, and against room that is lost with it.
#[tokio::test(start_paused = true)]
async fn growing_body() {
    let budget = BodyBudget::with_bytes(8 * MIB);
    let mut room = budget.reserve(64 * 1_024, LIMIT).await.expect("room");
    room.extend(&budget, 4 * MIB, LIMIT).await.expect("room");
    assert_eq!((room.bytes(), budget.used_bytes()), (4 * MIB, 4 * MIB));
    let mut other = budget.reserve(64 * 1_024, LIMIT).await.expect("room");
    assert_eq!(other.extend(&budget, 6 * MIB, Duration::from_millis(100)).await, Err(NoRoom));
    drop(other);
    room.complete(MIB);
    assert_eq!(budget.used_bytes(), MIB);
    drop(room);
    assert_eq!(budget.used_bytes(), 0);
}
