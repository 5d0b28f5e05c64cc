//! The plainest membership: each node greets every node it knows of, several times a second.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::{
    context::Context,
    members::Member,
    peers::{PeerMessage, PeerPort},
};

/// The pause between two rounds of greetings.
const PAUSE: Duration = Duration::from_millis(100);
/// How long a node that doesn't answer is still believed to be alive.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// A `Hello` tells who the sender is.
#[derive(Serialize, Deserialize)]
pub struct Hello {
    member: Member,
}

/// A `HelloReply` tells who the receiver is and whom it knows.
#[derive(Serialize, Deserialize)]
pub struct HelloReply {
    member: Member,
    others: Vec<SocketAddr>,
}

impl PeerMessage for Hello {
    const PATH: &'static str = "/hello";
    type Reply = HelloReply;
}

/// Registers what is done with a greeting.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, hello: Hello| async move {
        cx.greeted(hello.member.peers);
        let others = cx.members.current().iter().map(|member| member.peers).collect();
        HelloReply { member: cx.own_member(), others }
    });
}

/// Greets all known nodes again and again.
pub async fn greet(cx: Arc<Context>) {
    let mut seen: BTreeMap<SocketAddr, (Instant, Member)> = BTreeMap::new();
    loop {
        let mut addresses: BTreeSet<SocketAddr> = seen.keys().copied().collect();
        addresses.extend(cx.settings.node.seeds.iter().copied());
        addresses.extend(cx.take_greetings());
        addresses.remove(&cx.settings.node.peers);
        for address in addresses {
            let hello = Hello { member: cx.own_member() };
            let Ok(reply) = cx.peers.send(&cx, address, None, hello).await else { continue };
            for other in reply.others {
                cx.greeted(other);
            }
            seen.insert(address, (Instant::now(), reply.member));
        }
        seen.retain(|_, (at, _)| at.elapsed() < PATIENCE);
        cx.members.replace(seen.values().map(|(_, member)| member.clone()).collect());
        sleep(PAUSE).await;
    }
}
