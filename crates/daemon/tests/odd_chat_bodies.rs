//! Bodies of chat requests that are drawn by a seed, some of which are no requests.

use bulrushhall_core::{Deployment, config::parse_deployment};
use bulrushhall_daemon::callers::classify::{DefaultClass, classify};
use bytes::Bytes;
use hyper::Request;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};

const BODIES: usize = 20_000;
const DEPLOYMENT: &str = "[zone a]\nregion = r\n[service s]\ntype = model\nbackends = \n\
                          [model m]\nservice = s\n[class urgent]\npriority = 0\n[team t]\nshare = 1\n";

fn deployment() -> Deployment {
    parse_deployment("test", DEPLOYMENT).expect("a deployment")
}

fn prompt_of(deployment: &Deployment, body: &str) -> Option<String> {
    let (parts, ()) = Request::new(()).into_parts();
    let body = Bytes::copy_from_slice(body.as_bytes());
    classify(deployment, &parts, &body, DefaultClass::MostUrgent).ok().map(|found| found.prompt)
}

fn odd_value(rng: &mut Pcg64, depth: usize) -> Value {
    match rng.random_range(0..9) {
        0 => Value::Null,
        1 => json!(rng.random_bool(0.5)),
        2 => json!(rng.random::<i64>()),
        3 => json!(rng.random::<f64>()),
        4 | 5 => json!(odd_text(rng)),
        6 if depth < 4 => (0..rng.random_range(0..4)).map(|_| odd_value(rng, depth + 1)).collect(),
        7 if depth < 4 => json!({ "text": odd_value(rng, depth + 1), "other": odd_text(rng) }),
        _ => json!({ "type": "text", "text": odd_text(rng) }),
    }
}

fn odd_text(rng: &mut Pcg64) -> String {
    (0..rng.random_range(0..6)).map(|_| rng.random::<char>()).collect()
}

fn odd_message(rng: &mut Pcg64) -> Value {
    match rng.random_range(0..8) {
        // The fields of a message may also be written in a list.
        0 => Some(odd_value(rng, 0)).filter(|value| !value.is_array()).into(),
        1 => json!({ "role": odd_value(rng, 0) }),
        2 => json!({ "role": odd_text(rng) }),
        _ => json!({ "role": odd_text(rng), "content": odd_value(rng, 0) }),
    }
}

// Returns the text of messages; none if they are not of the expected form.
fn expected_prompt(messages: &[Value]) -> Option<String> {
    let mut prompt = String::new();
    for message in messages {
        let role = message.as_object()?.get("role")?.as_str()?;
        let content = match message.get("content") {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(Value::Array(parts)) => expected_parts(parts)?,
            Some(_) => return None,
        };
        prompt.push_str(&format!("{role}: {content}\n"));
    }
    (!messages.is_empty()).then_some(prompt)
}

fn expected_parts(parts: &[Value]) -> Option<String> {
    let mut content = String::new();
    for part in parts {
        match part.as_object()?.get("text") {
            None | Some(Value::Null) => {}
            Some(Value::String(text)) => content.push_str(text),
            Some(_) => return None,
        }
    }
    Some(content)
}

// Guards against prompts that differ from their messages, and against messages of another form that are taken for some.
#[test]
fn messages() {
    let deployment = deployment();
    let mut rng = Pcg64::seed_from_u64(76);
    let mut accepted = 0;
    for number in 0..BODIES {
        let messages: Vec<Value> =
            (0..rng.random_range(0..4)).map(|_| odd_message(&mut rng)).collect();
        let body = json!({ "model": "m", "messages": messages }).to_string();
        let prompt = prompt_of(&deployment, &body);
        assert_eq!(prompt, expected_prompt(&messages), "{number}: {body}");
        accepted += usize::from(prompt.is_some());
    }
    assert!(BODIES / 10 < accepted, "{accepted} accepted");
}

// Guards against a parser that panics or loops at bytes that are no request.
#[test]
fn changed_bytes() {
    let deployment = deployment();
    let mut rng = Pcg64::seed_from_u64(77);
    let message =
        json!({ "role": "user", "content": [{ "text": "which kiln" }, { "text": "now" }] });
    let body = json!({ "model": "m", "messages": [message], "stream": true }).to_string();
    for _ in 0..BODIES {
        let mut bytes = body.clone().into_bytes();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..bytes.len());
            match rng.random_range(0..3) {
                0 => bytes[at] = rng.random(),
                1 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, b"{}[]\",:0"[rng.random_range(0..8)]),
            }
        }
        prompt_of(&deployment, &String::from_utf8_lossy(&bytes));
    }
}
