//! Prints the bytes and messages of checkpoints, and the tokens that the death of an owner loses,
//! for several checkpoint intervals.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    time::Duration,
};

use bulrushhall_coord::{Action, Message, Ownership, OwnershipOptions, Peer, Version};
use bulrushhall_core::{Incarnation, RequestId, Stamp, ZoneName};
use bytes::Bytes;

/// The number of concurrent answers of the owner.
const ANSWERS: u64 = 300;
/// The number of other nodes, over which the copies are distributed.
const PEERS: u64 = 4;
/// The time between two tokens of an answer.
const TOKEN: Duration = Duration::from_millis(32);
/// The simulated time.
const SIMULATED_TIME: Duration = Duration::from_secs(4);
/// The bytes of the HTTP headers of a request or response between nodes.
const HEADER_BYTES: usize = 200;
/// The time from a message to its acknowledgement.
const ROUND_TRIP: Duration = Duration::from_millis(3);

fn main() -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "interval  messages/s  bytes/s  bytes/token  tokens not copied")?;
    for millis in [1, 4, 16, 64, 256, 1_000] {
        let cost = simulate(Duration::from_millis(millis));
        let seconds = SIMULATED_TIME.as_secs_f64();
        writeln!(
            out,
            "{millis:>5} ms  {:>10.0}  {:>7.0}  {:>11.1}  {:>17.1}",
            cost.messages as f64 / seconds,
            cost.bytes as f64 / seconds,
            cost.bytes as f64 / cost.tokens as f64,
            cost.uncopied / cost.samples,
        )?;
    }
    Ok(())
}

#[derive(Default)]
struct Cost {
    messages: usize,
    bytes: usize,
    tokens: usize,
    uncopied: f64,
    samples: f64,
}

fn simulate(interval: Duration) -> Cost {
    let own = Incarnation(1);
    let zone = |name| ZoneName::new(name).unwrap_or_else(|_| unreachable!("a valid name"));
    let options = OwnershipOptions { checkpoint_interval: interval, ..OwnershipOptions::default() };
    let mut machine = Ownership::new(own, zone("suva-a"), options);
    let peers = (0..PEERS).map(|at| Peer {
        incarnation: Incarnation(at + 2),
        zone: zone("nausori"),
        leaving: false,
    });
    machine.set_members(Stamp(0), peers.collect());
    let version = Version { epoch: 1, generation: 0, owner: own };
    let mut cost = Cost::default();
    let mut due: BTreeMap<Stamp, Vec<(Incarnation, Message)>> = BTreeMap::new();
    let mut released: usize = 0;
    let mut now = Stamp::from_millis(1);
    let mut out = Vec::new();
    for sequence in 0..ANSWERS {
        out.extend(machine.accept(now, id(sequence), Bytes::from(vec![0; 400])));
    }
    let mut last_tick = now;
    let mut holders: BTreeMap<RequestId, usize> = BTreeMap::new();
    while now.since(Stamp(0)) < SIMULATED_TIME {
        // The tokens of different answers arrive at different times.
        for sequence in 0..ANSWERS {
            let phase = sequence * TOKEN.as_micros() as u64 / ANSWERS / 1_000;
            let millis = now.0 / 1_000;
            if millis % TOKEN.as_millis() as u64 == phase {
                machine.token(id(sequence), version, "cobalt12 ".to_owned());
                cost.tokens += 1;
            }
        }
        for (from, message) in due.remove(&now).unwrap_or_default() {
            out.extend(machine.receive(now, from, message));
        }
        if interval <= now.since(last_tick) {
            last_tick = now;
            out.extend(machine.tick(now));
        }
        let mut batches: BTreeMap<Incarnation, Vec<Message>> = BTreeMap::new();
        for action in out.drain(..) {
            match action {
                Action::Send(to, message) => batches.entry(to).or_default().push(message),
                Action::Release(_, _, tokens) => released += tokens.len(),
                _ => {}
            }
        }
        for (to, messages) in batches {
            let acks: Vec<Message> =
                messages.iter().filter_map(|it| ack(it, &mut holders)).collect();
            cost.messages += 1;
            cost.bytes += size(&messages) + size(&acks) + 2 * HEADER_BYTES;
            let acks = acks.into_iter().map(|ack| (to, ack));
            due.entry(now + ROUND_TRIP).or_default().extend(acks);
        }
        cost.uncopied += (cost.tokens - released) as f64 / ANSWERS as f64;
        cost.samples += 1.0;
        now = now + Duration::from_millis(1);
    }
    cost
}

fn ack(message: &Message, holders: &mut BTreeMap<RequestId, usize>) -> Option<Message> {
    let (id, version, count) = match message {
        Message::Copy { id, version, tokens, .. } => (*id, *version, tokens.len()),
        Message::Progress { id, version, from, tokens, .. } => (*id, *version, from + tokens.len()),
        _ => return None,
    };
    holders.insert(id, count);
    Some(Message::Ack { id, version, count, ended: false })
}

fn size(messages: &Vec<Message>) -> usize {
    rmp_serde::to_vec_named(messages).map_or(0, |bytes| bytes.len())
}

fn id(sequence: u64) -> RequestId {
    RequestId { origin: Incarnation(1), sequence }
}
