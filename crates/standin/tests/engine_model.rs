//! The simulated engine batches continuously, respects priorities and resumes exactly.

use bulrushhall_core::{FencingNumber, Incarnation, ModelName, RequestId, Stamp};
use bulrushhall_external::engine::{Frame, Generate, Usage};
use bulrushhall_standin::engine::{EngineModel, EngineOptions, Output, expected_answer};
use rstest::rstest;

fn generate(sequence: u64, prompt: &str, priority: u8) -> Generate {
    Generate {
        request: RequestId { origin: Incarnation(1), sequence },
        attempt: 0,
        model: ModelName::new("m").expect("a name"),
        prompt: prompt.to_owned(),
        emitted: Vec::new(),
        max_tokens: 40,
        priority,
        fence: FencingNumber(0),
    }
}

fn run(model: &mut EngineModel) -> Vec<(Stamp, Output)> {
    let mut outputs = Vec::new();
    while let Some(at) = model.next_wake() {
        outputs.extend(model.advance(at).into_iter().map(|output| (at, output)));
    }
    outputs
}

fn text_of(outputs: &[(Stamp, Output)], sequence: u64) -> String {
    let mut text = String::new();
    for (_, output) in outputs {
        if output.request.sequence != sequence {
            continue;
        }
        if let Frame::Token(token) = &output.frame {
            text.push_str(token);
        }
    }
    text
}

fn usage_of(outputs: &[(Stamp, Output)], sequence: u64) -> Usage {
    let found = outputs.iter().find_map(|(_, output)| match output.frame {
        Frame::Done(usage) if output.request.sequence == sequence => Some(usage),
        _ => None,
    });
    found.expect("a finished response")
}

fn finished_at(outputs: &[(Stamp, Output)], sequence: u64) -> Stamp {
    let done = outputs.iter().rfind(|(_, output)| output.request.sequence == sequence);
    done.expect("a response").0
}

#[test]
fn complete_text() {
    let mut model = EngineModel::new(EngineOptions::default());
    for sequence in 0..5 {
        model.submit(Stamp(0), generate(sequence, &format!("prompt {sequence}"), 0));
    }
    let outputs = run(&mut model);
    for sequence in 0..5 {
        let expected = expected_answer(&format!("prompt {sequence}"), 40);
        assert_eq!(text_of(&outputs, sequence), expected);
    }
}

// Guards against a response that changes when its engine fails after some tokens and another engine
// resumes it: at any token, the text must be the one that a single engine generates.
#[rstest]
#[case(1)]
#[case(7)]
#[case(19)]
fn resumed_text(#[case] emitted: usize) {
    let expected = expected_answer("prompt", 40);
    let tokens: Vec<String> = expected.split_inclusive(' ').map(str::to_owned).collect();
    let mut model = EngineModel::new(EngineOptions::default());
    let resumed =
        Generate { attempt: 1, emitted: tokens[..emitted].to_vec(), ..generate(1, "prompt", 0) };
    model.submit(Stamp(0), resumed);
    let outputs = run(&mut model);
    assert_eq!(tokens[..emitted].concat() + &text_of(&outputs, 1), expected);
    let recomputed = usage_of(&outputs, 1).recomputed_tokens;
    assert_eq!(recomputed, 1 + u32::try_from(emitted).expect("a small number"));
}

#[test]
fn urgent_before_others() {
    let options = EngineOptions { batch: 2, ..EngineOptions::default() };
    let mut model = EngineModel::new(options);
    for sequence in 0..4 {
        model.submit(Stamp(0), generate(sequence, &format!("patient {sequence}"), 5));
    }
    model.submit(Stamp(0), generate(9, "urgent", 0));
    let outputs = run(&mut model);
    let urgent = finished_at(&outputs, 9);
    let others = (0..4).map(|sequence| finished_at(&outputs, sequence)).max();
    assert!(Some(urgent) < others);
    for sequence in 0..4 {
        let expected = expected_answer(&format!("patient {sequence}"), 40);
        assert_eq!(text_of(&outputs, sequence), expected);
    }
}

#[test]
fn cached_prefix() {
    let prompt = "word ".repeat(64);
    let mut model = EngineModel::new(EngineOptions::default());
    model.submit(Stamp(0), generate(1, &prompt, 0));
    assert_eq!(usage_of(&run(&mut model), 1).cached_tokens, 0);
    model.submit(Stamp(0), generate(2, &prompt, 0));
    assert_eq!(usage_of(&run(&mut model), 2).cached_tokens, 64);
}

#[test]
fn imported_cache() {
    let prompt = "word ".repeat(64);
    let mut exporter = EngineModel::new(EngineOptions::default());
    exporter.submit(Stamp(0), generate(1, &prompt, 0));
    let first = exporter.next_wake().expect("work");
    exporter.advance(first);
    let blocks = exporter.export(RequestId { origin: Incarnation(1), sequence: 1 });
    assert_eq!(blocks.len(), 4);

    let mut importer = EngineModel::new(EngineOptions::default());
    importer.import(&blocks);
    importer.submit(Stamp(0), Generate { attempt: 1, ..generate(1, &prompt, 0) });
    assert_eq!(usage_of(&run(&mut importer), 1).recomputed_tokens, 0);
}

#[test]
fn larger_batch_is_slower() {
    let mut alone = EngineModel::new(EngineOptions::default());
    alone.submit(Stamp(0), generate(0, "prompt", 0));
    let alone = finished_at(&run(&mut alone), 0);
    let mut batch = EngineModel::new(EngineOptions::default());
    for sequence in 0..16 {
        batch.submit(Stamp(0), generate(sequence, "prompt", 0));
    }
    assert!(alone < finished_at(&run(&mut batch), 0));
}
