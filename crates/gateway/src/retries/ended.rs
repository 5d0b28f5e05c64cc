//! The retries of nodes that have stopped, which count for their next processes.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Incarnation, NodeName, ServiceName, Stamp};
use bytes::Bytes;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    clock,
    cluster::{DIGEST_TIMEOUTS, call},
    gateway::{Gateway, State},
    meters,
};

/// The path to which a node that stops sends its retries.
pub const ENDED_PATH: &str = "/retries/ended";
/// How long a node that stops waits until others have them.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);
/// The most nodes that get them.
const MAX_RECEIVERS: usize = 40;
/// The unit of the ages of retries.
const AGE_UNIT: Duration = Duration::from_millis(100);
/// The most retries of a service that count.
const MAX_PAID: u32 = 10_000;
/// The most services, and ages of the retries to one, that a node reports.
const MAX_ENTRIES: usize = 256;

/// `EndedRetries` are the retries of a node that has stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRetries {
    /// The node.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The time since its end, in milliseconds.
    pub age_ms: u64,
    /// The retries to each service: their ages at its end, in tenths of a second, and their numbers.
    pub services: Vec<(ServiceName, Vec<(u32, u32)>)>,
}

impl EndedRetries {
    /// Returns the retries of this node, which sends no more of them.
    fn of(gateway: &Gateway, state: &mut State, now: Stamp) -> EndedRetries {
        let mut services = Vec::new();
        for (service, paid) in state.retries.close(now) {
            let mut ages: Vec<(u32, u32)> = Vec::new();
            for at in paid {
                let units = now.since(at).as_millis() / AGE_UNIT.as_millis();
                let age = u32::try_from(units).unwrap_or(u32::MAX);
                match ages.last_mut() {
                    Some((last, count)) if *last == age => *count += 1,
                    _ => ages.push((age, 1)),
                }
            }
            services.push((service, ages));
        }
        EndedRetries {
            node: gateway.settings.gateway.name.clone(),
            incarnation: gateway.incarnation,
            age_ms: 0,
            services,
        }
    }

    /// Returns whether it is small enough to be kept.
    pub fn is_bounded(&self) -> bool {
        let has_few = |(_, ages): &(ServiceName, Vec<(u32, u32)>)| ages.len() <= MAX_ENTRIES;
        self.services.len() <= MAX_ENTRIES && self.services.iter().all(has_few)
    }

    /// Returns when the node has stopped.
    pub fn ended_at(&self, now: Stamp) -> Stamp {
        now - Duration::from_millis(self.age_ms)
    }

    /// Returns the same with another time since the end.
    pub fn aged(&self, age: Duration) -> EndedRetries {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        EndedRetries { age_ms, ..self.clone() }
    }

    /// Returns when the retries to each service were paid.
    pub fn paid(&self, now: Stamp) -> impl Iterator<Item = (ServiceName, Vec<Stamp>)> {
        let ended_at = self.ended_at(now);
        self.services.iter().map(move |(service, ages)| {
            let mut paid = Vec::new();
            for (age, count) in ages {
                let at = ended_at - AGE_UNIT.saturating_mul(*age);
                let room = (MAX_PAID as usize).saturating_sub(paid.len());
                paid.extend(std::iter::repeat_n(at, room.min(*count as usize)));
            }
            (service.clone(), paid)
        })
    }
}

/// Gives the retries of this node to others, before it stops.
pub async fn hand_over_retries(gateway: &Arc<Gateway>) {
    let now = clock::now();
    let zone = &gateway.settings.gateway.zone;
    let (ended, receivers) = gateway.with(|state| {
        let ended = EndedRetries::of(gateway, state, now);
        let live = state.members.iter().filter(|(_, member)| member.is_live(now));
        // Its next process hears at least the nodes of its availability zone.
        let mut receivers: Vec<_> = live.map(|(_, member)| member).collect();
        receivers.sort_by_key(|member| member.record.zone != *zone);
        let receivers = receivers.into_iter().take(MAX_RECEIVERS);
        (ended, receivers.map(|member| Arc::clone(&member.endpoint)).collect::<Vec<_>>())
    });
    let Ok(message) = rmp_serde::to_vec_named(&ended) else { return };
    let message = Bytes::from(message);
    let sending = receivers.iter().map(|endpoint| {
        call::<EndedRetries>(endpoint, ENDED_PATH, message.clone(), DIGEST_TIMEOUTS)
    });
    let _ = timeout(HANDOVER_TIMEOUT, join_all(sending)).await;
}

/// Notes the retries of stopped nodes that another node reports, and takes over those of this node's previous process.
pub fn receive_ended(gateway: &Gateway, state: &mut State, ended: Vec<EndedRetries>) {
    let now = clock::now();
    let own = &gateway.settings.gateway.name;
    for ended in ended.into_iter().take(MAX_ENTRIES) {
        if !ended.is_bounded() {
            meters::digest_ignored("retries");
            continue;
        }
        if ended.node != *own {
            state.retries.note_ended(now, ended);
            continue;
        }
        if ended.incarnation < gateway.incarnation {
            state.retries.inherit(now, &ended);
        }
    }
}
