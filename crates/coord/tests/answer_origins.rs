//! The software version at which an answer began, when another node takes it over.

use std::time::Duration;

use bulrushhall_coord::{Action, Message, Ownership, OwnershipOptions, Peer, Version};
use bulrushhall_core::{Incarnation, RequestId, Stamp, ZoneName};
use bytes::Bytes;
use rstest::rstest;

const OWNER: Incarnation = Incarnation(1);
const HOLDER: Incarnation = Incarnation(2);
const ID: RequestId = RequestId { origin: OWNER, sequence: 1 };
/// Longer than any timeout of a takeover.
const LONG: Duration = Duration::from_secs(60);

fn zone() -> ZoneName {
    ZoneName::new("zone-a").expect("a name")
}

fn node(own: Incarnation, other: Incarnation) -> Ownership {
    let mut node = Ownership::new(own, zone(), OwnershipOptions::default());
    node.set_members(
        Stamp::from_millis(1),
        vec![Peer { incarnation: other, zone: zone(), leaving: false }],
    );
    node
}

fn messages(actions: Vec<Action>) -> Vec<Message> {
    let mut sent = Vec::new();
    for action in actions {
        if let Action::Send(_, message) = action {
            sent.push(message);
        }
    }
    sent
}

fn deliver(now: Stamp, from: Incarnation, sent: Vec<Message>, to: &mut Ownership) -> Vec<Message> {
    let received = sent.into_iter().flat_map(|message| to.receive(now, from, message));
    messages(received.collect())
}

// Takes a request with two tokens over, from an owner of this build or of one that does not tell the origin.
fn taken_over_origin(tells_origin: bool) -> Option<String> {
    let mut now = Stamp::from_millis(2);
    let (mut owner, mut holder) = (node(OWNER, HOLDER), node(HOLDER, OWNER));
    let sent = messages(owner.accept(now, ID, Bytes::from_static(b"asked")));
    let acks = deliver(now, OWNER, sent, &mut holder);
    deliver(now, HOLDER, acks, &mut owner);
    let version = Version { epoch: 1, generation: 0, owner: OWNER };
    for token in ["one", "two"] {
        if tells_origin {
            owner.note_origin(ID, version, "v1");
        }
        assert!(owner.token(ID, version, token.to_owned()));
        now = now + Duration::from_secs(1);
        let sent = messages(owner.tick(now));
        let acks = deliver(now, OWNER, sent, &mut holder);
        deliver(now, HOLDER, acks, &mut owner);
    }
    holder.set_members(now, Vec::new());
    for action in holder.sweep(now + LONG) {
        if let Action::Start { tokens, origin, .. } = action {
            assert_eq!(tokens, ["one", "two"]);
            return origin;
        }
    }
    panic!("the request was not taken over");
}

// Guards against a node that takes an answer over and does not know where it began, and against one that makes that up.
#[rstest]
#[case::told(true, Some("v1"))]
#[case::earlier_build(false, None)]
fn takeover_keeps_origin(#[case] tells_origin: bool, #[case] origin: Option<&str>) {
    assert_eq!(taken_over_origin(tells_origin).as_deref(), origin);
}

// Guards against an origin that a later attempt changes.
#[test]
fn first_token_decides() {
    let now = Stamp::from_millis(2);
    let (mut owner, mut holder) = (node(OWNER, HOLDER), node(HOLDER, OWNER));
    let sent = messages(owner.accept(now, ID, Bytes::new()));
    let acks = deliver(now, OWNER, sent, &mut holder);
    deliver(now, HOLDER, acks, &mut owner);
    let version = Version { epoch: 1, generation: 0, owner: OWNER };
    owner.note_origin(ID, version, "v1");
    owner.token(ID, version, "one".to_owned());
    owner.note_origin(ID, version, "v2");
    let offered = messages(owner.hand_over(now, ID));
    let Some(Message::Offer { origin, .. }) = offered.first() else { panic!("{offered:?}") };
    assert_eq!(origin.as_deref(), Some("v1"));
}
