//! Translates the settings JSON to the settings of `limiter-core`.

use limiter_core::{DedupScope, Idempotency, Plan, RequestClass, Settings};
use thiserror::Error;

use crate::names::{NameIndex, UnknownName};
use crate::wire::settings::{
    ClassSettings, DedupScopeKind, DiscoveryMode, IdempotencyKind, InstanceSettings, PlanSettings,
};

/// A contradiction between values of well-formed settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsJsonError {
    /// The zone of the limiter is not in the list of zones.
    #[error(transparent)]
    UnknownZone(#[from] UnknownName),
    /// The requests of this class carry idempotency keys, and the class has no deduplication scope.
    #[error("class '{0}' is keyed without KeyScope")]
    MissingKeyScope(String),
}

/// The settings in the form of `limiter-core`, with an index of the names that the JSON form uses.
pub struct CoreSettings {
    /// The settings.
    pub settings: Settings,
    /// The index of the names in the settings.
    pub names: NameIndex,
}

impl InstanceSettings {
    /// Converts to the settings of `limiter-core`, with the index of their names. The values themselves are
    /// not checked here, but by [`Settings::validate`].
    ///
    /// # Errors
    /// Returns the first contradiction between two values.
    pub fn into_core(self) -> Result<CoreSettings, SettingsJsonError> {
        let names = self.name_index();
        let classes = self.classes.iter().map(request_class).collect::<Result<Vec<_>, _>>()?;
        let settings = Settings {
            limiters: self.limiters,
            position: self.position,
            zone: names.zone(&self.zone)?,
            classes,
            plans: self.plans.iter().map(plan).collect(),
            event_interval_ms: self.event_interval_ms,
            max_attempts: self.capabilities.max_attempts,
            connect_timeout_ms: self.capabilities.connect_timeout_ms,
            can_gossip: self.capabilities.can_gossip,
            can_cancel: self.capabilities.can_cancel,
            can_send_retry_after: self.capabilities.can_send_retry_after,
            gossip_messages_per_s: self.service.gossip_messages_per_s,
            must_subscribe: self.discovery == DiscoveryMode::Subscribe,
            cold_capacity_fraction: self.slow_start.cold_capacity_fraction,
            slow_start_ms: self.slow_start.slow_start_ms,
            overload_factor: self.slow_start.overload_factor,
            overload_ms: self.slow_start.overload_ms,
        };
        Ok(CoreSettings { settings, names })
    }

    fn name_index(&self) -> NameIndex {
        NameIndex::new(
            self.classes.iter().map(|class| class.name.as_str()),
            self.plans.iter().map(|plan| plan.name.as_str()),
            self.zones.iter().map(String::as_str),
        )
    }
}

fn request_class(class: &ClassSettings) -> Result<RequestClass, SettingsJsonError> {
    let idempotency = Idempotency::from(class.idempotency);
    let dedup_scope = match class.dedup_scope {
        Some(scope) => scope.into(),
        None if idempotency == Idempotency::WithKey => {
            return Err(SettingsJsonError::MissingKeyScope(class.name.clone()));
        }
        None => DedupScope::All,
    };
    Ok(RequestClass {
        latency_objective_ms: class.latency_objective_ms,
        late_value: class.late_value,
        idempotency,
        dedup_scope,
        dedup_window_ms: class.dedup_window_ms,
    })
}

fn plan(plan: &PlanSettings) -> Plan {
    Plan {
        rate: plan.rate,
        burst: plan.burst,
        max_in_flight: plan.max_in_flight,
        ceiling_rate: plan.ceiling_rate,
        ceiling_burst: plan.ceiling_burst,
        ceiling_slack: plan.ceiling_slack,
    }
}

impl From<IdempotencyKind> for Idempotency {
    fn from(kind: IdempotencyKind) -> Idempotency {
        match kind {
            IdempotencyKind::Idempotent => Idempotency::Idempotent,
            IdempotencyKind::WithKey => Idempotency::WithKey,
            IdempotencyKind::NonIdempotent => Idempotency::NonIdempotent,
        }
    }
}

impl From<DedupScopeKind> for DedupScope {
    fn from(scope: DedupScopeKind) -> DedupScope {
        match scope {
            DedupScopeKind::All => DedupScope::All,
            DedupScopeKind::Zone => DedupScope::Zone,
            DedupScopeKind::Cell => DedupScope::Cell,
        }
    }
}
