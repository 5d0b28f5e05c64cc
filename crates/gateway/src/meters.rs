//! The metrics of a node that serves routes.

use std::time::Duration;

use bulrushhall_coord::{Role, facts::FactRefusal, rollouts::RolloutPhase};
use bulrushhall_core::{ServiceName, config::RouteKind};
use bulrushhall_external::{CallFault, http::MALFORMED_RESPONSES};
use bulrushhall_policy::server_speed::SpeedVerdict;
use bulrushhall_policy::waiting::{QueuedWork, RANKS};
use bulrushhall_policy::windowed_retry_budget::RetryAllowance;
use metrics::{counter, gauge, histogram};

use crate::{platform_calls::CallPurpose, retries::RetryCheck};

/// Callers' requests by their outcome.
const REQUESTS: &str = "bulrush_route_requests_total";
/// The time from a request to the end of its response.
const REQUEST_SECONDS: &str = "bulrush_route_request_seconds";
/// The time from a request to the first token, or to the response of a plain service.
const FIRST_SECONDS: &str = "bulrush_route_first_seconds";
/// Attempts that got no response that may be forwarded.
const SENDS_FAILED: &str = "bulrush_route_sends_failed_total";
/// Silences of backend servers in answers.
const SERVERS_SILENT: &str = "bulrush_route_servers_silent_total";
/// Retries that were paid from the retry budget of their service, and requests that it refused one.
const RETRIES: &str = "bulrush_route_retries_total";
/// The retries that this node may send to a service in a window, by what allows them.
const RETRY_ALLOWANCE: &str = "bulrush_route_retry_allowance";
/// The number of nodes among which the headroom for retries is divided.
const RETRY_NODES: &str = "bulrush_route_retry_nodes";
/// Statements of backend servers about the requests that they accept, in their responses.
const ANNOUNCEMENTS: &str = "bulrush_route_announcements_total";
/// The services that the node has lost its way to.
const SERVICES_LOST: &str = "bulrush_route_services_lost";
/// Requests that this node carried to a backend server for another node.
const CARRIED: &str = "bulrush_route_carried_total";
/// Streams that callers resumed, by how their version was found.
const STREAM_RESUMPTIONS: &str = "bulrush_route_stream_resumptions_total";
/// Streams whose versions were copied to other nodes.
const STREAMS_COPIED: &str = "bulrush_route_streams_copied_total";
/// The time that other nodes took to answer at which version a stream began.
const STREAM_ASKED_SECONDS: &str = "bulrush_route_stream_asked_seconds";
const STREAM_SERVERS_ASKED: &str = "bulrush_route_stream_servers_asked_total";
/// Crashes of backend servers in the middle of answers.
const SERVERS_CRASHED: &str = "bulrush_route_servers_crashed_total";
const UNMARKED_ENDS: &str = "bulrush_route_unmarked_ends_total";
/// The blocks of prompt parts that are in force.
const PARTS_BLOCKED: &str = "bulrush_route_parts_blocked";
/// Requests that were refused because of such a block.
const PARTS_REFUSED: &str = "bulrush_route_parts_refused_total";
/// The known backend servers by their lasting speed in their service.
const SERVERS_BY_SPEED: &str = "bulrush_route_servers_by_speed";
/// The home engines of the prompt prefix that is used most.
const PREFIX_HOMES: &str = "bulrush_route_prefix_homes";
/// Copies of prompt prefixes that would have delayed other requests for longer than they save.
const COPIES_AVOIDED: &str = "bulrush_route_copies_avoided_total";
/// Outages of the platform's services.
const DEPENDENCIES_LOST: &str = "bulrush_route_dependencies_lost_total";
/// Calls to the platform's services.
const PLATFORM_CALLS: &str = "bulrush_route_platform_calls_total";
/// Restores of the key-value service from an older copy.
const STORE_RESTORES: &str = "bulrush_route_store_restores_total";
/// The active revision.
const REVISION: &str = "bulrush_route_revision";
/// The known nodes, and those of them that are alive.
const MEMBERS: &str = "bulrush_route_members";
/// The node's role in gossip.
const ROLE: &str = "bulrush_route_role";
/// Received digests that were not applied.
const DIGESTS_IGNORED: &str = "bulrush_route_digests_ignored_total";
/// Received batches of facts that were refused.
const FACTS_REFUSED: &str = "bulrush_route_facts_refused_total";
/// Configurations that were fetched from other nodes.
const DOCUMENTS_READ: &str = "bulrush_route_documents_read_total";
/// Roll-outs that have ended, by their state.
const ROLLOUTS_ENDED: &str = "bulrush_route_rollouts_ended_total";
/// The share of a service's requests that the holder of the duties grants to a target version.
const ROLLOUT_SHARE: &str = "bulrush_route_rollout_share";
/// The answers of both versions in a roll-out that is in progress.
const ROLLOUT_ANSWERS: &str = "bulrush_route_rollout_answers";
/// Requests that wait for engines.
const WAITING_REQUESTS: &str = "bulrush_route_waiting_requests";
/// Their work.
const WAITING_TOKENS: &str = "bulrush_route_waiting_tokens";
/// The time from the arrival of a queued request to its start.
const WAITING_SECONDS: &str = "bulrush_route_waiting_seconds";
/// Requests that were refused because they would wait, or have waited, too long for an engine.
const WAITING_REFUSED: &str = "bulrush_route_waiting_refused_total";
/// The memory for the bodies of requests that is in use.
const BODY_BYTES: &str = "bulrush_route_body_bytes";
/// Connections that were closed to stay within the limits of their port.
const CONNECTIONS_CLOSED: &str = "bulrush_route_connections_closed_total";
/// Whether the node holds the duties.
const DUTIES: &str = "bulrush_route_duties_held";

/// A `RouteMetric` is the description of one metric, as in the documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMetric {
    /// Its name.
    pub name: &'static str,
    /// Its type: `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// Its labels, each of which has a fixed set of values.
    pub labels: &'static str,
}

/// Every metric.
pub const ROUTE_METRICS: [RouteMetric; 42] = [
    RouteMetric { name: REQUESTS, kind: "counter", labels: "kind, outcome" },
    RouteMetric { name: REQUEST_SECONDS, kind: "histogram", labels: "kind" },
    RouteMetric { name: FIRST_SECONDS, kind: "histogram", labels: "kind" },
    RouteMetric { name: SENDS_FAILED, kind: "counter", labels: "fault" },
    RouteMetric { name: MALFORMED_RESPONSES, kind: "counter", labels: "reason" },
    RouteMetric { name: SERVERS_SILENT, kind: "counter", labels: "stage, takeover" },
    RouteMetric { name: RETRIES, kind: "counter", labels: "service, outcome" },
    RouteMetric { name: RETRY_ALLOWANCE, kind: "gauge", labels: "service, part" },
    RouteMetric { name: RETRY_NODES, kind: "gauge", labels: "" },
    RouteMetric { name: ANNOUNCEMENTS, kind: "counter", labels: "kind" },
    RouteMetric { name: SERVICES_LOST, kind: "gauge", labels: "" },
    RouteMetric { name: CARRIED, kind: "counter", labels: "outcome" },
    RouteMetric { name: STREAM_RESUMPTIONS, kind: "counter", labels: "outcome" },
    RouteMetric { name: STREAMS_COPIED, kind: "counter", labels: "outcome" },
    RouteMetric { name: STREAM_ASKED_SECONDS, kind: "histogram", labels: "outcome" },
    RouteMetric { name: STREAM_SERVERS_ASKED, kind: "counter", labels: "outcome" },
    RouteMetric { name: SERVERS_CRASHED, kind: "counter", labels: "" },
    RouteMetric { name: UNMARKED_ENDS, kind: "counter", labels: "server" },
    RouteMetric { name: PARTS_BLOCKED, kind: "gauge", labels: "" },
    RouteMetric { name: PARTS_REFUSED, kind: "counter", labels: "" },
    RouteMetric { name: DEPENDENCIES_LOST, kind: "counter", labels: "prefix" },
    RouteMetric { name: PLATFORM_CALLS, kind: "counter", labels: "purpose" },
    RouteMetric { name: STORE_RESTORES, kind: "counter", labels: "" },
    RouteMetric { name: REVISION, kind: "gauge", labels: "" },
    RouteMetric { name: MEMBERS, kind: "gauge", labels: "state" },
    RouteMetric { name: ROLE, kind: "gauge", labels: "role" },
    RouteMetric { name: DIGESTS_IGNORED, kind: "counter", labels: "reason" },
    RouteMetric { name: FACTS_REFUSED, kind: "counter", labels: "reason" },
    RouteMetric { name: SERVERS_BY_SPEED, kind: "gauge", labels: "speed" },
    RouteMetric { name: PREFIX_HOMES, kind: "gauge", labels: "" },
    RouteMetric { name: COPIES_AVOIDED, kind: "counter", labels: "" },
    RouteMetric { name: DOCUMENTS_READ, kind: "counter", labels: "outcome" },
    RouteMetric { name: ROLLOUTS_ENDED, kind: "counter", labels: "phase" },
    RouteMetric { name: ROLLOUT_SHARE, kind: "gauge", labels: "service" },
    RouteMetric { name: ROLLOUT_ANSWERS, kind: "gauge", labels: "service, version, result" },
    RouteMetric { name: WAITING_REQUESTS, kind: "gauge", labels: "" },
    RouteMetric { name: WAITING_TOKENS, kind: "gauge", labels: "priority" },
    RouteMetric { name: WAITING_SECONDS, kind: "histogram", labels: "priority" },
    RouteMetric { name: WAITING_REFUSED, kind: "counter", labels: "reason, priority" },
    RouteMetric { name: BODY_BYTES, kind: "gauge", labels: "" },
    RouteMetric { name: CONNECTIONS_CLOSED, kind: "counter", labels: "port, reason" },
    RouteMetric { name: DUTIES, kind: "gauge", labels: "" },
];

/// The labels of priorities.
const PRIORITIES: [&str; RANKS] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];

/// Sets the number of requests that wait for engines, and their work.
pub fn waiting(requests: usize, work: &QueuedWork) {
    gauge!(WAITING_REQUESTS).set(requests as f64);
    for (label, tokens) in PRIORITIES.iter().zip(work.0) {
        gauge!(WAITING_TOKENS, "priority" => *label).set(tokens);
    }
}

/// Sets the memory for the bodies of requests that is in use.
pub fn body_bytes(used: usize) {
    gauge!(BODY_BYTES).set(used as f64);
}

/// Counts a connection that was closed to stay within the limits of its port.
pub fn connection_closed(port: &'static str, reason: &'static str) {
    counter!(CONNECTIONS_CLOSED, "port" => port, "reason" => reason).increment(1);
}

/// Counts a queued request that is started.
pub fn waited(rank: u8, waited: Duration) {
    histogram!(WAITING_SECONDS, "priority" => priority_label(rank)).record(waited.as_secs_f64());
}

/// Counts a request that was refused while it waited, or instead.
pub fn waiting_refused(reason: &'static str, rank: u8) {
    counter!(WAITING_REFUSED, "reason" => reason, "priority" => priority_label(rank)).increment(1);
}

fn priority_label(rank: u8) -> &'static str {
    PRIORITIES[usize::from(rank).min(RANKS - 1)]
}

/// Counts a request that has ended.
pub fn request_ended(
    kind: Option<RouteKind>,
    outcome: &'static str,
    first: Option<Duration>,
    took: Duration,
) {
    let kind = kind_label(kind);
    counter!(REQUESTS, "kind" => kind, "outcome" => outcome).increment(1);
    histogram!(REQUEST_SECONDS, "kind" => kind).record(took.as_secs_f64());
    if let Some(first) = first {
        histogram!(FIRST_SECONDS, "kind" => kind).record(first.as_secs_f64());
    }
}

/// Counts an attempt that got no response that may be forwarded.
pub fn send_failed(fault: &'static str) {
    counter!(SENDS_FAILED, "fault" => fault).increment(1);
}

/// Counts a silence of a backend server in an answer, and whether another one takes over.
pub fn server_silent(stage: &'static str, takeover: &'static str) {
    counter!(SERVERS_SILENT, "stage" => stage, "takeover" => takeover).increment(1);
}

/// Counts a retry that was paid or refused, and sets what allows them.
pub fn retry(service: &ServiceName, checked: RetryCheck) {
    let outcome = if checked.is_allowed { "paid" } else { "refused" };
    let RetryAllowance { earned, headroom, .. } = checked.allowance;
    let service = service.as_str().to_owned();
    counter!(RETRIES, "service" => service.clone(), "outcome" => outcome).increment(1);
    gauge!(RETRY_ALLOWANCE, "service" => service.clone(), "part" => "earned")
        .set(f64::from(earned));
    gauge!(RETRY_ALLOWANCE, "service" => service, "part" => "headroom").set(f64::from(headroom));
    gauge!(RETRY_NODES).set(f64::from(checked.nodes));
}

/// Counts a response in which a backend server states which requests it accepts.
pub fn announced(kind: &'static str) {
    counter!(ANNOUNCEMENTS, "kind" => kind).increment(1);
}

/// Sets the number of services that the node has lost its way to.
pub fn services_lost(count: usize) {
    gauge!(SERVICES_LOST).set(count as f64);
}

/// Counts a request that this node carried for another one, by how it ended.
pub fn carried(outcome: &'static str) {
    counter!(CARRIED, "outcome" => outcome).increment(1);
}

/// Counts a stream that a caller resumed, by how its version was found.
pub fn stream_resumption(outcome: &'static str) {
    counter!(STREAM_RESUMPTIONS, "outcome" => outcome).increment(1);
}

/// Counts streams whose versions were sent to another node, by whether it took them.
pub fn streams_copied(outcome: &'static str, streams: usize) {
    counter!(STREAMS_COPIED, "outcome" => outcome).increment(streams as u64);
}

/// Records how long other nodes took to answer at which version a stream began, by whether one knew it.
pub fn stream_asked(outcome: &'static str, took: Duration) {
    histogram!(STREAM_ASKED_SECONDS, "outcome" => outcome).record(took.as_secs_f64());
}

/// Counts questions to other nodes for servers of a version, by whether one knew any.
pub fn servers_asked(outcome: &'static str) {
    counter!(STREAM_SERVERS_ASKED, "outcome" => outcome).increment(1);
}

/// Counts an outage of a service of the platform, by the prefix of the keys that were requested.
pub fn dependency_lost(prefix: &'static str) {
    counter!(DEPENDENCIES_LOST, "prefix" => prefix).increment(1);
}

/// Counts a call to the platform's services.
pub fn platform_call(purpose: CallPurpose) {
    counter!(PLATFORM_CALLS, "purpose" => purpose.as_str()).increment(1);
}

/// Counts a restore of the key-value service from an older copy.
pub fn store_restored() {
    counter!(STORE_RESTORES).increment(1);
}

/// Sets the active revision.
pub fn revision(revision: u64) {
    // Revisions stay far below the numbers that a float can't represent exactly.
    gauge!(REVISION).set(revision as f64);
}

/// Sets the number of known nodes, including this one, and of the other nodes that are alive.
pub fn members(known: usize, alive: usize) {
    gauge!(MEMBERS, "state" => "known").set(known as f64);
    gauge!(MEMBERS, "state" => "heard").set(alive as f64);
}

/// Sets the node's role in gossip.
pub fn role(role: Role) {
    for (label, labeled_role) in
        [("flat", Role::Flat), ("member", Role::Member), ("relay", Role::Relay)]
    {
        gauge!(ROLE, "role" => label).set(f64::from(u8::from(role == labeled_role)));
    }
}

/// Counts a received digest that was not applied.
pub fn digest_ignored(reason: &'static str) {
    counter!(DIGESTS_IGNORED, "reason" => reason).increment(1);
}

/// Counts a received batch of facts that was refused.
pub fn facts_refused(reason: FactRefusal) {
    counter!(FACTS_REFUSED, "reason" => reason.as_str()).increment(1);
}

/// Reports how many backend servers have a speed.
pub fn servers_by_speed(verdict: SpeedVerdict, count: u32) {
    gauge!(SERVERS_BY_SPEED, "speed" => verdict.as_str()).set(f64::from(count));
}

/// Sets the number of home engines of the prompt prefix that is used most; 0 if none is known.
pub fn prefix_homes(homes: usize) {
    gauge!(PREFIX_HOMES).set(homes as f64);
}

/// Counts a copy that was left out because it would have delayed other requests for longer than it saves.
pub fn copy_avoided() {
    counter!(COPIES_AVOIDED).increment(1);
}

/// Counts a fetch of a configuration from another node, by its fault if it failed.
pub fn document_read(fault: Option<&CallFault>) {
    let outcome = match fault {
        None => "read",
        Some(CallFault::Timeout) => "timeout",
        Some(CallFault::TooLarge) => "too_large",
        Some(_) => "failed",
    };
    counter!(DOCUMENTS_READ, "outcome" => outcome).increment(1);
}

/// Counts a roll-out that has ended.
pub fn rollout_ended(phase: RolloutPhase) {
    let phase = match phase {
        RolloutPhase::InProgress => return,
        RolloutPhase::Completed => "completed",
        RolloutPhase::Reverted => "reverted",
    };
    counter!(ROLLOUTS_ENDED, "phase" => phase).increment(1);
}

/// Sets the share of a service's requests that the holder of the duties grants to a target version.
pub fn rollout_share(service: &ServiceName, share: f64) {
    gauge!(ROLLOUT_SHARE, "service" => service.as_str().to_owned()).set(share);
}

/// Sets the numbers of all and of bad answers of a version, `current` or `target`, in a roll-out of a service.
pub fn rollout_answers(service: &ServiceName, version: &'static str, answers: u64, bad: u64) {
    for (result, count) in [("all", answers), ("bad", bad)] {
        let service = service.as_str().to_owned();
        let answers = gauge!(
            ROLLOUT_ANSWERS, "service" => service, "version" => version, "result" => result
        );
        // Counts stay far below the numbers that a float can't represent exactly.
        answers.set(count as f64);
    }
}

/// Sets whether the node holds the duties.
pub fn duties(held: bool) {
    gauge!(DUTIES).set(f64::from(u8::from(held)));
}

fn kind_label(kind: Option<RouteKind>) -> &'static str {
    match kind {
        None => "none",
        Some(RouteKind::Idempotent) => "idempotent",
        Some(RouteKind::AtMostOnce) => "at-most-once",
        Some(RouteKind::Stream) => "stream",
        Some(RouteKind::ResumableStream) => "resumable-stream",
    }
}

/// Counts a crash of a backend server in the middle of answers.
pub fn server_crashed() {
    counter!(SERVERS_CRASHED).increment(1);
}

/// Counts an answer without a mark of its end by what is known of its server after it.
pub fn unmarked_end(server: &'static str) {
    counter!(UNMARKED_ENDS, "server" => server).increment(1);
}

/// Sets the number of blocks of prompt parts that are in force.
pub fn parts_blocked(count: usize) {
    gauge!(PARTS_BLOCKED).set(count as f64);
}

/// Counts a request that was refused because of a block.
pub fn part_refused() {
    counter!(PARTS_REFUSED).increment(1);
}
