//! The home engines of prompt prefixes by their use over all nodes.

mod settings;

use std::time::Duration;

use bulrushhall_coord::facts::{FactKind, FactKindId, FactPriority, FactValue, Facts, MergeRule};
use bulrushhall_core::{Event, ServiceName, Stamp};
use bulrushhall_policy::{
    engine_choice::EngineView,
    observed::EngineLatencyModel,
    prefix_homes::{AssumedCache, DemandHomes, HomeQuery, MAX_NODE_RATE, PrefixHomes, PrefixLoad},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use settings::PrefixSettings;

use crate::{
    adapter::Prompt, gateway::State, meters, speed_settings::SpeedSource, table::EngineSizes,
};

/// The uses of a prompt prefix per second. The subject is a hash of the service and the prefix.
pub const PREFIX_USES: FactKindId = FactKindId(19);

/// The kind of [`PREFIX_USES`].
pub const PREFIX_USES_FACT: FactKind = FactKind {
    id: PREFIX_USES,
    rule: MergeRule::Sum,
    // As for offered loads, which they are a part of.
    max_age: Duration::from_secs(3),
    max_subjects: 512,
    priority: FactPriority::Low,
    // Homes change at a change of the use by some tenths; this bounds what relays send.
    tolerance: 0.2,
    settle_time: Duration::from_secs(10),
};

/// The units of a reported use: integers take fewer bytes.
const UNITS_PER_USE: f64 = 16.0;
/// The change of the number of homes of the hottest prefix that is logged, as a share of the number.
const LOGGED_CHANGE: f64 = 0.25;

/// The `PrefixState` is what a node knows of prompt prefixes.
#[derive(Debug, Default)]
pub struct PrefixState {
    /// Whether homes follow demand.
    pub by_demand: bool,
    /// The uses of prefixes and the numbers of their homes.
    pub homes: PrefixHomes,
    /// The homes of the hottest prefix as last logged.
    logged: usize,
}

impl PrefixState {
    /// Returns the state of a node that knows of no uses.
    pub fn new(settings: PrefixSettings) -> PrefixState {
        PrefixState { by_demand: settings.homes_by_demand, ..PrefixState::default() }
    }
}

/// A `PrefixUse` is a prompt of a service, with what is known of its engines.
#[derive(Clone, Copy)]
pub struct PrefixUse<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// The sizes of its engines.
    pub sizes: EngineSizes,
}

impl PrefixUse<'_> {
    /// Records the use; without the setting nothing is recorded.
    pub fn note(&self, state: &mut State, now: Stamp) {
        let Some(prefix) = self.prefix().filter(|_| state.prefixes.by_demand) else { return };
        state.prefixes.homes.note_use(now, prefix);
    }

    /// Returns the homes of the prompt's prefix, or none without the setting or without facts of other nodes; `ages` is how long
    /// each engine has been known.
    pub fn homes(
        &self,
        state: &mut State,
        now: Stamp,
        views: &[EngineView],
        ages: &[Duration],
    ) -> Option<DemandHomes> {
        let prefix = self.prefix().filter(|_| state.prefixes.by_demand)?;
        let (tokens, prompt) = (self.prefix_tokens(), self.prompt);
        let observed = state.observed(self.service);
        let (model, cached_share) = (observed.engines.model(), observed.cached_share.share());
        let own_tokens = f64::from(prompt.tokens.saturating_sub(tokens));
        let batch = f64::from(self.sizes.slots);
        let load = PrefixLoad {
            request_ms: model.prefill_ms(own_tokens)
                + model.decode_work_ms(f64::from(prompt.answer()), batch),
            prefill_ms: model.prefill_ms(f64::from(tokens)),
            ..PrefixLoad::default()
        };
        let homes = &mut state.prefixes.homes;
        let count = homes.homes(now, prefix, load, views.len())?;
        let query = HomeQuery {
            prefix,
            tokens,
            count,
            rate: homes.rate(now, prefix) / count.max(1) as f64,
            cached_share,
            // Speeds that each node knows from its own requests alone would give each node other homes.
            by_speed: state.speed_source == SpeedSource::AllNodes,
        };
        Some(DemandHomes::new(query, views, ages))
    }

    /// Returns what the first token shows about the prefix at a home.
    pub fn assumed_cache(&self, model: &EngineLatencyModel, slowness: f64) -> AssumedCache {
        let tokens = self.prompt.tokens;
        let first_ms = |tokens: u32| model.first.at(f64::from(tokens)) * slowness;
        AssumedCache {
            hit_ms: first_ms(tokens.saturating_sub(self.prefix_tokens())),
            miss_ms: first_ms(tokens),
        }
    }

    // The largest shared part identifies the prefix. Engines of another service hold other caches.
    fn prefix(&self) -> Option<u64> {
        let largest = self.prompt.shared_parts().iter().max_by_key(|part| part.tokens)?;
        Some(xxh3_64_with_seed(self.service.as_str().as_bytes(), largest.id))
    }

    fn prefix_tokens(&self) -> u32 {
        let tokens: u32 = self.prompt.shared_parts().iter().map(|part| part.tokens).sum();
        tokens.min(self.prompt.tokens)
    }
}

/// Takes in how much other nodes use prefixes, and sets this node's own reports.
pub fn exchange_prefixes(state: &mut State, now: Stamp) {
    let State { facts, prefixes, .. } = state;
    prefixes.homes.receive(uses_by_others(facts, now));
    for report in prefixes.homes.due_reports(now) {
        let subject = format!("{:016x}", report.prefix);
        let Some(rate) = report.rate else {
            facts.withdraw(PREFIX_USES, &subject);
            continue;
        };
        let Ok(value) = FactValue::new(&[(rate * UNITS_PER_USE).round()]) else { continue };
        // A prefix that there is no room for has the homes that the reports of other nodes give it.
        let _ = facts.set(now, PREFIX_USES, &subject, value);
    }
    let hottest = prefixes.homes.hottest(now);
    let homes = hottest.map_or(0, |hottest| hottest.homes);
    meters::prefix_homes(homes);
    let (before, change) = (prefixes.logged, prefixes.logged.abs_diff(homes));
    if change == 0 || (change as f64) < LOGGED_CHANGE * before.max(homes) as f64 {
        return;
    }
    prefixes.logged = homes;
    let Some(hottest) = hottest else { return };
    tracing::info!(
        event = Event::PrefixHomesChanged.number(),
        prefix = format!("{:016x}", hottest.prefix),
        homes,
        before,
        uses_per_s = hottest.rate
    );
}

/// Bounds what each node is believed to use a prefix.
pub fn limit_uses(facts: &mut Facts) {
    facts.limit_numbers(PREFIX_USES, MAX_NODE_RATE * UNITS_PER_USE);
}

fn uses_by_others(facts: &Facts, now: Stamp) -> Vec<(u64, f64)> {
    let mut uses = Vec::new();
    for subject in facts.subjects(now, PREFIX_USES) {
        let Ok(prefix) = u64::from_str_radix(subject, 16) else { continue };
        let Some(merged) = facts.merged_others(now, PREFIX_USES, subject) else { continue };
        uses.push((prefix, merged.value.number(0) / UNITS_PER_USE));
    }
    uses
}
