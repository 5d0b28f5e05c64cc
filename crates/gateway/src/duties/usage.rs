//! Reports of the number of requests that each team has started.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bulrushhall_coord::{FixedReports, Role, TeamCounts, Window, decode_message};
use bulrushhall_core::{Era, Event, Stamp};
use bulrushhall_external::{
    CallError, CallFault,
    kv::{CasOutcome, Version},
};
use bytes::Bytes;

use crate::{
    clock,
    duties::{Holder, within},
    gateway::Gateway,
};

/// The key under which the reports are stored before they are sent.
pub const REPORTS_KEY: &str = "bulrushhall-usage";
/// The time after its end at which a window's counts are final without relays: five gossip intervals of
/// 250 ms.
const FINAL_AFTER: Duration = Duration::from_millis(1_300);
/// The time after its end at which a window's counts are final with relays: three hops of 800 ms and one
/// lost digest.
const FINAL_AFTER_WITH_RELAYS: Duration = Duration::from_millis(3_200);
/// The number of windows that a new holder sends again: those whose reports are not due yet.
const RESENT_WINDOWS: usize = 3;
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The timeout of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// A `UsageDuty` reports the usage windows in order.
#[derive(Debug, Default)]
pub struct UsageDuty {
    fixed: Option<(Version, FixedReports)>,
    unsent: BTreeMap<Window, TeamCounts>,
    paused_until: Stamp,
    /// The reports as this node last stored them, with the era, while it holds the duty.
    held: Option<FixedReports>,
}

impl UsageDuty {
    /// Returns the state for the next time that this node holds the duty: after a restore of the
    /// key-value service, only the holder until then knows all reports.
    pub fn suspended(self, era: Option<Era>) -> UsageDuty {
        let held = self.held.filter(|held| held.is_of_era_before(era));
        UsageDuty { held, ..UsageDuty::default() }
    }

    /// Stores and sends the reports that are due.
    pub async fn act(&mut self, gateway: &Arc<Gateway>, holder: &Holder) {
        if clock::now() < self.paused_until {
            return;
        }
        let acted = self.try_act(gateway, holder).await;
        if let Err(error) = acted {
            tracing::info!(event = Event::OrderFailed.number(), order = "usage", %error);
            self.paused_until = clock::now() + RETRY_PAUSE;
        }
    }

    async fn try_act(&mut self, gateway: &Gateway, holder: &Holder) -> Result<(), CallError> {
        if self.fixed.is_none() {
            self.read(gateway).await?;
        }
        let last_ended = Window(gateway.window().0.saturating_sub(1));
        let (role, oldest) = gateway.with(|state| (state.relays.role, state.usage.oldest()));
        let final_after = if role == Role::Flat { FINAL_AFTER } else { FINAL_AFTER_WITH_RELAYS };
        let is_final = final_after <= gateway.time_into_window();
        let last_final = if is_final { last_ended } else { Window(last_ended.0.saturating_sub(1)) };
        let next =
            self.fixed.as_ref().and_then(|(_, fixed)| fixed.next_counted(oldest, last_final));
        if let Some(window) = next {
            self.store(gateway, window).await?;
        }
        while let Some((&window, counts)) = self.unsent.first_key_value() {
            let Some(orders) = &gateway.platform.orders else { return Ok(()) };
            let Some(authority) = holder.authority() else { return Ok(()) };
            orders.report(&authority, window, counts).await?;
            let total = counts.values().fold(0_u64, |sum, count| sum.saturating_add(*count));
            tracing::info!(event = Event::UsageReported.number(), window = window.0, total);
            self.unsent.remove(&window);
        }
        Ok(())
    }

    async fn read(&mut self, gateway: &Gateway) -> Result<(), CallError> {
        let found = within(CALL_TIMEOUT, gateway.platform.key_value.get(REPORTS_KEY)).await?;
        let fixed: FixedReports = match found.value.is_empty() {
            true => FixedReports::default(),
            false => decode_message(&found.value).unwrap_or_else(|_| self.replaced(gateway)),
        };
        let era = gateway.era();
        let fixed = match gateway.with(|state| state.eras.restored_at()) {
            Some(at) if fixed.era != era => {
                let ended = Window(gateway.window_at(at).0.saturating_sub(1));
                let held = self.held.as_ref().filter(|held| held.is_of_era_before(era));
                fixed.restored(era, held, ended)
            }
            None if fixed.is_of_other_era(era)
                || (!gateway.settings.gateway.first_start && fixed.may_be_restored(era)) =>
            {
                let ended = Window(gateway.window().0.saturating_sub(1));
                fixed.restored(era, None, ended)
            }
            _ => FixedReports { era, ..fixed },
        };
        // The previous holder may have stored reports and failed before it sent them. Reports are
        // idempotent, so they are sent again.
        for (window, counts) in fixed.windows.iter().rev().take(RESENT_WINDOWS) {
            self.unsent.insert(*window, counts.clone());
        }
        self.fixed = Some((found.version, fixed));
        Ok(())
    }

    // Returns the reports in place of some that can't be read: those that this node has stored, or none of the windows until
    // now, any of which may have been reported with other counts.
    fn replaced(&self, gateway: &Gateway) -> FixedReports {
        let held = self.held.is_some();
        tracing::warn!(event = Event::RecordIgnored.number(), record = REPORTS_KEY, held);
        let ended = Window(gateway.window().0.saturating_sub(1));
        let lost = FixedReports { lost_until: Some(ended), ..FixedReports::default() };
        self.held.clone().unwrap_or(lost)
    }

    // Stores a report before it is sent. A write whose response is lost may still take effect, but only
    // on this version; reading the key again shows which report was stored.
    async fn store(&mut self, gateway: &Gateway, window: Window) -> Result<(), CallError> {
        let Some((version, fixed)) = self.fixed.take() else { return Ok(()) };
        let mut counts = gateway.with(|state| state.usage.total(window, gateway.incarnation));
        if let Some(table) = gateway.table.load_full() {
            for team in table.teams() {
                counts.entry(team.name.clone()).or_default();
            }
        }
        let updated = fixed.with(window, counts.clone());
        let encoded = rmp_serde::to_vec_named(&updated);
        let encoded = encoded.map_err(|_| CallError::not_done(CallFault::Malformed))?;
        let put =
            gateway.platform.key_value.put_if(REPORTS_KEY, version, Bytes::from(encoded), None);
        if let CasOutcome::Written(version) = within(CALL_TIMEOUT, put).await? {
            self.held = Some(updated.clone());
            self.fixed = Some((version, updated));
            self.unsent.insert(window, counts);
        }
        Ok(())
    }
}
