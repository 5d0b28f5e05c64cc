//! The merged status as rows of tables.

use std::time::Duration;

use crate::status::{
    MergedServer, MergedStatus, QueueStatus, Restriction, SpeedStatus, TeamStatus, TeamUnit,
};

/// What is shown where nothing is known.
const UNKNOWN: &str = "unknown";

/// A `StatusTable` is a table with a line of text below it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusTable {
    /// The names of the columns.
    pub header: Vec<&'static str>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
    /// What is left out or not known, if anything is.
    pub note: Option<String>,
}

/// Returns the tables of a merged status.
pub fn status_tables(status: &MergedStatus) -> Vec<StatusTable> {
    let mut queues = Vec::new();
    for queue in status.queues.iter().flatten() {
        queue_rows(queue, &mut queues);
    }
    let omitted_teams: u64 = status.queues.iter().flatten().map(|queue| queue.omitted_teams).sum();
    let queue_note = match &status.queues {
        None => Some(format!("queued requests: {UNKNOWN}, no node queues requests")),
        Some(_) => omitted(&[(status.omitted_queues, "services"), (omitted_teams, "teams")]),
    };
    let named = |label: &str, nodes: &[String]| {
        (!nodes.is_empty()).then(|| format!("{label}: {}", nodes.join(", ")))
    };
    let server_note = [
        omitted(&[(status.omitted_servers, "servers")]),
        named("nodes without these values", &status.nodes_without),
        named("no answer from", &status.unanswered),
    ];
    let server_note: Vec<String> = server_note.into_iter().flatten().collect();
    vec![
        StatusTable {
            header: vec!["QUEUE", "OF", "REQUESTS", "TOKENS", "SINCE"],
            rows: queues,
            note: queue_note,
        },
        StatusTable {
            header: vec![
                "TEAM",
                "HELD TO",
                "ALLOWED",
                "USED",
                "REFUSED",
                "REFUSED REQUESTS",
                "LAST",
            ],
            rows: status.teams.iter().map(team_row).collect(),
            note: omitted(&[(status.omitted_teams, "teams")]),
        },
        StatusTable {
            header: vec!["SERVER", "SERVICE", "PART", "REQUESTS", "PREFILL", "DECODING", "CALLS"],
            rows: status.servers.iter().map(server_row).collect(),
            note: (!server_note.is_empty()).then(|| server_note.join("\n")),
        },
    ]
}

fn queue_rows(queue: &QueueStatus, rows: &mut Vec<Vec<String>>) {
    let mut push = |of: String, requests: u64, tokens: u64, since: String| {
        let service = queue.service.to_string();
        rows.push(vec![service, of, requests.to_string(), format!("{tokens} tokens"), since]);
    };
    let since = queue.since.map_or(UNKNOWN.to_owned(), |since| format!("{} ago", time(since)));
    push("all".to_owned(), queue.requests, queue.tokens, since);
    for sum in &queue.by_urgency {
        push(format!("urgency {}", sum.urgency), sum.requests, sum.tokens, String::new());
    }
    for sum in &queue.by_team {
        let oldest = format!("oldest {}", time(sum.oldest));
        push(format!("team {}", sum.team), sum.requests, sum.tokens, oldest);
    }
}

fn team_row(team: &TeamStatus) -> Vec<String> {
    let unit = match team.unit {
        TeamUnit::Requests => "requests/min",
        TeamUnit::Tokens => "tokens/min",
    };
    let amount = |amount: u64| format!("{amount} {unit}");
    let held_to = match team.restriction() {
        Some(Restriction::Share) => {
            let share = team.share.unwrap_or_default() * 100.0;
            match team.share_nodes {
                0 | 1 => format!("share {share:.1}%"),
                nodes => format!("shares from {share:.1}%, {nodes} nodes"),
            }
        }
        Some(Restriction::Limit) => "limit".to_owned(),
        Some(Restriction::Engines) => "share of engines".to_owned(),
        None => String::new(),
    };
    vec![
        team.team.to_string(),
        held_to,
        team.allowed.map_or(UNKNOWN.to_owned(), amount),
        amount(team.used),
        amount(team.refused),
        format!("{}, queued {}", team.refused_requests, team.refused_queued),
        team.refused_age.map_or("none".to_owned(), |age| format!("{} ago", time(age))),
    ]
}

fn server_row(merged: &MergedServer) -> Vec<String> {
    let server = &merged.server;
    vec![
        server.server.clone(),
        server.service.to_string(),
        merged.part.map_or(UNKNOWN.to_owned(), |part| format!("{:.1}%", part * 100.0)),
        format!("{}/min", server.requests),
        speed(server.prefill),
        speed(server.decoding),
        speed(server.calls),
    ]
}

fn speed(speed: Option<SpeedStatus>) -> String {
    let Some(SpeedStatus { speed, samples, age }) = speed else { return UNKNOWN.to_owned() };
    let age = age.map_or(format!("age {UNKNOWN}"), |age| format!("{} ago", time(age)));
    format!("{speed:.2}x, {samples:.1} samples, {age}")
}

fn omitted(counts: &[(u64, &str)]) -> Option<String> {
    let left = counts.iter().filter(|(count, _)| 0 < *count);
    let left: Vec<String> = left.map(|(count, items)| format!("{count} {items}")).collect();
    (!left.is_empty()).then(|| format!("not shown: {}", left.join(", ")))
}

fn time(time: Duration) -> String {
    let seconds = time.as_secs();
    match seconds {
        0 => format!("{} ms", time.as_millis()),
        1..120 => format!("{seconds} s"),
        120..7_200 => format!("{} min", seconds / 60),
        _ => format!("{} h", seconds / 3_600),
    }
}
