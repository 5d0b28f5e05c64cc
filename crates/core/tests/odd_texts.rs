//! Texts of deployments that are drawn by a seed, most of which are no valid ones.

use bulrushhall_core::config::parse_deployment;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const TEXTS: usize = 20_000;
const VALID: &str = "\
[zone suva-a]
region = viti-central

[service pattern-desk]
type = model
backends = vm-1@suva-a@127.0.0.1:9000, vm-2@suva-a@127.0.0.1:9001

[model motif-7b]
service = pattern-desk

[class urgent]
priority = 0
deadline = 2m

[team workshop]
share = 3
";
const PARTS: [&str; 12] = [
    "[",
    "]",
    "=",
    "\n",
    "\r",
    "\0",
    "@",
    ",",
    "-1",
    "9999999999999999999999",
    "1e308",
    "\u{1f600}",
];

fn changed(rng: &mut Pcg64) -> String {
    let mut text: Vec<char> = VALID.chars().collect();
    for _ in 0..rng.random_range(1..6) {
        let at = rng.random_range(0..text.len());
        let end = (at + rng.random_range(0..12)).min(text.len());
        let part: Vec<char> = match rng.random_range(0..4) {
            0 => Vec::new(),
            1 => text[at..end].repeat(2),
            2 => vec![rng.random()],
            _ => PARTS[rng.random_range(0..PARTS.len())].chars().collect(),
        };
        text.splice(at..end, part);
        if text.is_empty() {
            break;
        }
    }
    text.into_iter().collect()
}

// Guards against a parser that panics or loops at a text that an operator has damaged, and against problems without a line.
#[test]
fn problems_named() {
    let mut rng = Pcg64::seed_from_u64(72);
    let mut rejected = 0;
    for _ in 0..TEXTS {
        let text = changed(&mut rng);
        let Err(error) = parse_deployment("test.ini", &text) else { continue };
        rejected += 1;
        assert!(error.to_string().contains("test.ini"), "{error}\n{text}");
    }
    assert!(TEXTS / 10 < rejected, "{rejected} rejected");
}
