//! Roll-outs of versions: the holder of the duties decides them and writes their states.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use bulrushhall_coord::rollouts::{Grant, OrderId, Rollout, RolloutPhase};
use bulrushhall_core::{Event, ServiceName};
use bulrushhall_external::{
    CallError,
    kv::{CasOutcome, Version, Versioned},
};
use bulrushhall_policy::rollout::{
    RolloutController, RolloutObservation, RolloutOptions, RolloutStage, RolloutStep,
    SequentialJudge, Track, TrackCounts, Verdict,
};

use crate::{
    clock,
    duties::{Holder, within},
    gateway::Gateway,
    meters,
};

/// The timeout of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// A `Running` is a roll-out that this node decides.
struct Running {
    order: OrderId,
    controller: RolloutController,
    /// The version of the record of its state; none while it has to be read.
    record: Option<Version>,
    written: Option<RolloutPhase>,
    grants: u64,
    /// Whether the completion was decided; its write may take effect late, so nothing else follows.
    completing: bool,
    logged: Option<(RolloutStage, Verdict, u16)>,
}

/// A `RolloutDuty` decides roll-outs.
#[derive(Default)]
pub struct RolloutDuty {
    running: HashMap<ServiceName, Running>,
}

impl RolloutDuty {
    /// Decides the roll-outs in progress, and writes the states that have changed.
    pub async fn act(&mut self, gateway: &Arc<Gateway>, holder: &Holder) {
        let known = gateway.with(|state| {
            let rollouts = state.rollouts.known.iter();
            rollouts
                .map(|(service, rollout)| (service.clone(), rollout.clone()))
                .collect::<Vec<_>>()
        });
        let services: HashSet<&ServiceName> = known.iter().map(|(service, _)| service).collect();
        self.running.retain(|service, _| services.contains(service));
        for (service, rollout) in known {
            if let Err(error) = self.act_on(gateway, holder, &service, &rollout).await {
                tracing::info!(event = Event::OrderFailed.number(), order = "rollout", %error);
                if let Some(running) = self.running.get_mut(&service) {
                    running.record = None;
                }
            }
        }
    }

    async fn act_on(
        &mut self,
        gateway: &Gateway,
        holder: &Holder,
        service: &ServiceName,
        rollout: &Rollout,
    ) -> Result<(), CallError> {
        let running = self.running.get_mut(service).filter(|known| known.order == rollout.order);
        let running = match running {
            Some(running) => running,
            None => {
                let running = Running::new(gateway, rollout);
                self.running.entry(service.clone()).insert_entry(running).into_mut()
            }
        };
        if running.written == Some(rollout.phase) && rollout.phase != RolloutPhase::InProgress {
            return Ok(());
        }
        if running.record.is_none() {
            running.read(gateway, service, rollout).await?;
        }
        let phase = phase_of(gateway, service).unwrap_or(rollout.phase);
        if phase != RolloutPhase::InProgress {
            return running.write(gateway, holder, service, rollout, phase).await;
        }
        if running.written.is_none() {
            running.write(gateway, holder, service, rollout, phase).await?;
        }
        let now = clock::now();
        let seen = observe(gateway, service, rollout);
        let verdict = running.controller.verdict(now, &seen);
        let step = match running.completing {
            true => RolloutStep::Complete,
            false => running.controller.step(now, &seen),
        };
        match step {
            RolloutStep::Share { share, stage } => {
                running.grant(gateway, holder, service, share, stage);
                running.report(service, &seen, verdict);
                Ok(())
            }
            // No request may go to a bad version while its state is being written.
            RolloutStep::Revert => {
                running.report(service, &seen, verdict);
                end(gateway, service, RolloutPhase::Reverted);
                let phase = RolloutPhase::Reverted;
                running.write(gateway, holder, service, rollout, phase).await
            }
            RolloutStep::Complete => {
                running.report(service, &seen, verdict);
                running.completing = true;
                // Without a valid grant, requests would go to servers that are about to stop.
                running.grant(gateway, holder, service, 1.0, RolloutStage::Drain);
                let phase = RolloutPhase::Completed;
                running.write(gateway, holder, service, rollout, phase).await?;
                if running.written == Some(phase) {
                    end(gateway, service, phase);
                }
                Ok(())
            }
        }
    }
}

impl Running {
    fn new(gateway: &Gateway, rollout: &Rollout) -> Running {
        let bounds = &gateway.settings.bounds;
        let options = RolloutOptions {
            exposure_share: bounds.exposure_share,
            exposure_headroom: bounds.exposure_headroom,
            ..RolloutOptions::default()
        };
        let judge = Box::new(SequentialJudge);
        Running {
            order: rollout.order,
            controller: RolloutController::new(
                rollout.ordered_at,
                rollout.duration,
                options,
                judge,
            ),
            record: None,
            written: None,
            grants: 0,
            completing: false,
            logged: None,
        }
    }

    // Reads the state that an earlier holder may have written. A final state of this order is taken over.
    async fn read(
        &mut self,
        gateway: &Gateway,
        service: &ServiceName,
        rollout: &Rollout,
    ) -> Result<(), CallError> {
        let key = gateway.platform.records.rollout_status_key(service);
        let found = within(CALL_TIMEOUT, gateway.platform.key_value.get(&key)).await?;
        self.note_found(gateway, service, rollout, &found);
        Ok(())
    }

    fn note_found(
        &mut self,
        gateway: &Gateway,
        service: &ServiceName,
        rollout: &Rollout,
        found: &Versioned,
    ) {
        self.record = Some(found.version);
        self.written = None;
        if found.value.is_empty() {
            return;
        }
        match gateway.platform.records.read_rollout_status(&found.value) {
            // A state with a lower version is that of an earlier order for the same target.
            Ok((target, phase))
                if target == rollout.target && rollout.order.version < found.version.0 =>
            {
                self.written = Some(phase);
                end(gateway, service, phase);
            }
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(
                    event = Event::RecordIgnored.number(),
                    rollout_status = service.as_str(),
                    ?error
                );
            }
        }
    }

    async fn write(
        &mut self,
        gateway: &Gateway,
        holder: &Holder,
        service: &ServiceName,
        rollout: &Rollout,
        phase: RolloutPhase,
    ) -> Result<(), CallError> {
        let Some(record) = self.record else { return Ok(()) };
        if self.written == Some(phase) || holder.authority().is_none() {
            return Ok(());
        }
        let records = &gateway.platform.records;
        let key = records.rollout_status_key(service);
        let value = records.write_rollout_status(&rollout.target, phase);
        let put = gateway.platform.key_value.put_if(&key, record, value, None);
        match within(CALL_TIMEOUT, put).await? {
            CasOutcome::Written(version) => {
                self.record = Some(version);
                self.written = Some(phase);
            }
            CasOutcome::Conflict(found) => self.note_found(gateway, service, rollout, &found),
        }
        Ok(())
    }

    fn grant(
        &mut self,
        gateway: &Gateway,
        holder: &Holder,
        service: &ServiceName,
        share: f64,
        stage: RolloutStage,
    ) {
        let Some(authority) = holder.authority() else { return };
        self.grants += 1;
        let grant = Grant {
            fence: authority.fence,
            number: self.grants,
            per_mille: (share * 1_000.0) as u16,
            drains: stage == RolloutStage::Drain,
        };
        meters::rollout_share(service, share);
        gateway.with(|state| {
            if let Some(rollout) = state.rollouts.known.get_mut(service) {
                rollout.note_grant(clock::now(), grant);
            }
        });
    }

    fn report(&mut self, service: &ServiceName, seen: &RolloutObservation, verdict: Verdict) {
        let sum = |track| {
            let of_track = seen.counts.iter().filter(|((_, group), _)| group.track() == track);
            of_track.fold((0_u64, 0_u64), |(answers, bad), (_, counts): (_, &TrackCounts)| {
                (answers.saturating_add(counts.answers), bad.saturating_add(counts.bad))
            })
        };
        let (current, target) = (sum(Track::Current), sum(Track::Target));
        meters::rollout_answers(service, "current", current.0, current.1);
        meters::rollout_answers(service, "target", target.0, target.1);
        let stage = self.controller.stage();
        let per_mille = (self.controller.share() * 1_000.0) as u16;
        let logged = Some((stage, verdict, per_mille / 50));
        if self.logged == logged {
            return;
        }
        self.logged = logged;
        tracing::info!(
            event = Event::RolloutAdvanced.number(),
            service = service.as_str(),
            ?stage,
            per_mille,
            ?verdict,
            servers = seen.target_servers,
            answers = target.0,
            bad = target.1,
            current_answers = current.0,
            current_bad = current.1
        );
    }
}

fn observe(gateway: &Gateway, service: &ServiceName, rollout: &Rollout) -> RolloutObservation {
    gateway.with(|state| {
        let accepting = state.backends.accepting(service);
        let target = accepting.filter(|(_, backend)| backend.record.version == rollout.target);
        RolloutObservation {
            target_servers: target.count(),
            counts: state.rollouts.counts(service, gateway.incarnation).into_iter().collect(),
        }
    })
}

fn phase_of(gateway: &Gateway, service: &ServiceName) -> Option<RolloutPhase> {
    gateway.with(|state| state.rollouts.known.get(service).map(|rollout| rollout.phase))
}

fn end(gateway: &Gateway, service: &ServiceName, phase: RolloutPhase) {
    gateway.with(|state| state.rollouts.end(service, phase, &state.backends));
}
