//! Copies of cached prefixes between engines, only where they save more time than they cause delay.

use crate::{
    copy_source::MIN_COPIED_TOKENS,
    engine_choice::{
        EngineRequest, EngineView,
        candidate::{Candidate, ExpectedWork},
    },
    prefix_homes::DemandHomes,
};

/// The setup time of a copy from the memory of another engine, in milliseconds: known engines take
/// 1.7 and 5 ms, plus the network latency between two availability zones.
pub(super) const COPY_SETUP_MS: f64 = 6.0;
/// The weight of a copied token relative to a computed one: a copy is fast, but uses memory of a
/// second engine and network bandwidth. If only its time counted, every queue of a few milliseconds
/// would move a prompt.
pub(super) const COPY_WEIGHT: f64 = 0.5;
/// The weight of prefilling a prefix at an engine that is no home of it, relative to the request's own first token: the
/// engine's time is lost for other prompts.
pub(super) const REPEAT_WEIGHT: f64 = 1.0;
/// The weight of the delay that computing a prompt causes to the requests of a full batch.
pub(super) const DELAY_WEIGHT: f64 = 0.5;

// Adds the copies that save more time than they cause delay, compared with the best engine without one, and returns
// whether a copy was left out that would only have been faster for the request itself.
pub(super) fn add_copies(
    req: EngineRequest<'_>,
    engines: &[EngineView],
    homes: &DemandHomes,
    candidates: &mut Vec<Candidate>,
) -> bool {
    if req.copied_per_ms <= 0.0 || req.cached_elsewhere < MIN_COPIED_TOKENS {
        return false;
    }
    let best = candidates.iter().min_by(|one, other| one.compare(other));
    let Some((best_score, best_ms)) = best.map(|best| (best.score, best.choice.first_token_ms))
    else {
        return false;
    };
    let own_tokens = req.prompt_tokens.saturating_sub(req.cached_elsewhere);
    let ms_per_copied = 1.0 / req.copied_per_ms;
    let (mut is_any_added, mut is_any_avoided) = (false, false);
    for nth in 0..candidates.len() {
        let Candidate { at, score, choice } = candidates[nth];
        let missing = choice.prefill_tokens.saturating_sub(own_tokens);
        if missing < MIN_COPIED_TOKENS {
            continue;
        }
        let engine = &engines[at];
        let copy_ms = COPY_SETUP_MS + f64::from(missing) * ms_per_copied;
        let prefill_ms = req.model.prefill_ms(f64::from(missing));
        let saved_ms = prefill_ms * engine.slowness - copy_ms;
        is_any_avoided |= choice.first_token_ms - saved_ms < best_ms;
        // Even without any delay.
        if best_score <= score - saved_ms - prefill_ms * REPEAT_WEIGHT {
            continue;
        }
        // A copy at a home is used again; elsewhere it displaces other prompts, and its engine time is lost as well as
        // the source's.
        let (displaced_ms, repeated_ms) = if 0.0 < homes.share(at) {
            (0.0, 0.0)
        } else {
            (prefill_ms * COPY_WEIGHT, prefill_ms * REPEAT_WEIGHT)
        };
        let utilization = f64::from(engine.requests) / f64::from(engine.slots.max(1));
        let delay_ms = copy_ms * (1.0 + utilization) * DELAY_WEIGHT + displaced_ms;
        let copied_score = score - saved_ms - repeated_ms + delay_ms;
        if best_score <= copied_score {
            continue;
        }
        is_any_added = true;
        let choice = ExpectedWork {
            prefill_tokens: choice.prefill_tokens - missing,
            copied: missing,
            first_token_ms: choice.first_token_ms - saved_ms,
            ..choice
        };
        candidates.push(Candidate { at, score: copied_score, choice });
    }
    is_any_avoided && !is_any_added
}
