//! The JSON format of the platform's settings. Its key names are defined only here. Times are in milliseconds.

use super::model::{
    Class, Idempotency, Limits, ObjectiveWeights, Penalties, ReportSource, SafetyRules, Scope,
    Settings, Tenant,
};
use super::platform::PlatformSettings;
use super::report_field::ReportField;
use serde::Deserialize;
use std::time::Duration;

/// Converts milliseconds to a duration, rounded to microseconds. Negative values and NaN become zero; larger values are
/// capped at about 32,000 years.
pub fn millis(ms: f64) -> Duration {
    const MAX_US: f64 = 1e18;
    Duration::from_micros((ms * 1000.0).round().clamp(0.0, MAX_US) as u64)
}

#[derive(Deserialize)]
pub(super) struct WireSettings {
    #[serde(rename = "NInstances", default = "one_node")]
    nodes: u32,
    #[serde(rename = "Ordinal", default)]
    node: u32,
    #[serde(rename = "Zone", default)]
    zone: u8,
    #[serde(rename = "Localities", default)]
    zone_names: Vec<String>,
    #[serde(rename = "HostTypes", default)]
    machine_type_names: Vec<String>,
    #[serde(rename = "Classes")]
    pub(super) classes: Vec<WireClass>,
    #[serde(rename = "Projects", default)]
    pub(super) tenants: Vec<WireTenant>,
    #[serde(rename = "OverShareWorth", default = "one")]
    over_quota_weight: f64,
    #[serde(rename = "CountedBy", default)]
    weight_counted_by: WireCounting,
    #[serde(rename = "LoadReport", default)]
    load_report: WireLoadReport,
    #[serde(rename = "Permissions", default)]
    pub(super) limits: WireLimits,
    #[serde(rename = "Rules", default)]
    pub(super) safety: WireSafetyRules,
    #[serde(rename = "Prices", default)]
    penalties: WirePenalties,
    #[serde(rename = "Goal", default)]
    objective_weights: WireObjectiveWeights,
    #[serde(rename = "RegistryMode", default)]
    endpoint_list_mode: WireEndpointListMode,
    #[serde(rename = "Quantum", default = "one")]
    pub(super) timer_resolution_ms: f64,
}

#[derive(Deserialize)]
pub(super) struct WireClass {
    #[serde(rename = "Name", default)]
    pub(super) name: String,
    #[serde(rename = "AimStretch", default)]
    pub(super) objective_stretch: f64,
    #[serde(rename = "Target")]
    pub(super) latency_objective_ms: f64,
    #[serde(rename = "GiveUp")]
    pub(super) deadline_ms: f64,
    #[serde(rename = "Idempotency")]
    pub(super) idempotency: WireIdempotency,
    #[serde(rename = "Group", default)]
    scope: WireScope,
    #[serde(rename = "LateWorth", default)]
    pub(super) late_weight: f64,
    #[serde(rename = "Stream", default)]
    streamed: bool,
    #[serde(rename = "Window", default)]
    pub(super) window_ms: f64,
    #[serde(rename = "Credit", default = "one")]
    pub(super) priority_weight: f64,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
pub(super) enum WireIdempotency {
    #[serde(rename = "free")]
    Idempotent,
    #[serde(rename = "guarded")]
    Keyed,
    #[serde(rename = "single_shot")]
    NonIdempotent,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
pub(super) struct WireTenant {
    #[serde(rename = "Name", default)]
    pub(super) name: String,
    #[serde(rename = "AllowancePerS", default)]
    pub(super) quota_per_s: f64,
    #[serde(rename = "Share", default)]
    pub(super) share: f64,
}

#[derive(Default, Deserialize)]
enum WireCounting {
    #[default]
    #[serde(rename = "request")]
    Requests,
    #[serde(rename = "work")]
    Work,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireLoadReport {
    #[serde(rename = "Columns")]
    fields: Vec<ReportField>,
    #[serde(rename = "Via")]
    source: WireReportSource,
}

#[derive(Default, Deserialize)]
enum WireReportSource {
    #[serde(rename = "piggyback")]
    Responses,
    #[serde(rename = "pull")]
    HealthChecks,
    #[default]
    #[serde(rename = "silent")]
    None,
}

#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WireLimits {
    #[serde(rename = "AttemptsCap")]
    pub(super) max_attempts: u32,
    #[serde(rename = "Cancel")]
    cancel_attempts: bool,
    #[serde(rename = "ConnectTimeout")]
    pub(super) connect_timeout_ms: f64,
    #[serde(rename = "IdleClose")]
    pub(super) server_idle_timeout_ms: f64,
    #[serde(rename = "MaxRetryAfter")]
    pub(super) max_retry_after_ms: f64,
    #[serde(rename = "ParallelTries")]
    hedging: bool,
    #[serde(rename = "Probes")]
    health_checks: bool,
    #[serde(rename = "RetryAfter")]
    pub(super) sends_retry_after: bool,
}

impl Default for WireLimits {
    fn default() -> Self {
        WireLimits {
            max_attempts: 1,
            cancel_attempts: false,
            connect_timeout_ms: 250.0,
            server_idle_timeout_ms: 15_000.0,
            max_retry_after_ms: 0.0,
            hedging: false,
            health_checks: false,
            sends_retry_after: false,
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WireSafetyRules {
    #[serde(rename = "MustAskIn")]
    pub(super) max_poll_interval_ms: f64,
    #[serde(rename = "ColdFrom")]
    slow_start_capacity: f64,
    #[serde(rename = "DrainGrace")]
    pub(super) drain_grace_ms: f64,
    #[serde(rename = "OverloadFactor")]
    overload_factor: f64,
    #[serde(rename = "RampTime")]
    pub(super) slow_start_window_ms: f64,
    #[serde(rename = "TipAfter")]
    pub(super) overload_window_ms: f64,
}

impl Default for WireSafetyRules {
    fn default() -> Self {
        WireSafetyRules {
            max_poll_interval_ms: 10_000.0,
            slow_start_capacity: 1.0,
            drain_grace_ms: 0.0,
            overload_factor: 1.0,
            slow_start_window_ms: 0.0,
            overload_window_ms: 1000.0,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WirePenalties {
    #[serde(rename = "Probe")]
    health_check: f64,
    #[serde(rename = "CrossZone")]
    cross_zone: f64,
    #[serde(rename = "Waste")]
    waste: f64,
    #[serde(rename = "LateFail")]
    late_failure: f64,
    #[serde(rename = "Connection")]
    open_connections: f64,
    #[serde(rename = "Handshake")]
    new_connections: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct WireObjectiveWeights {
    whole: f64,
    worst_class: f64,
    worst_tenant: f64,
    worst_window: f64,
}

#[derive(Default, Deserialize)]
enum WireEndpointListMode {
    #[default]
    #[serde(rename = "push")]
    Pushed,
    #[serde(rename = "ask")]
    Polled,
}

fn one() -> f64 {
    1.0
}

fn one_node() -> u32 {
    1
}

impl From<WireSettings> for PlatformSettings {
    fn from(wire: WireSettings) -> Self {
        PlatformSettings {
            active_classes: vec![true; wire.classes.len()],
            active_tenants: vec![true; wire.tenants.len()],
            server_idle_timeout: millis(wire.limits.server_idle_timeout_ms),
            settings: Settings::from(&wire),
            report_fields: wire.load_report.fields,
            class_names: wire.classes.into_iter().map(|class| class.name).collect(),
            tenant_names: wire.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zone_names: wire.zone_names,
            machine_type_names: wire.machine_type_names,
        }
    }
}

impl From<&WireSettings> for Settings {
    fn from(wire: &WireSettings) -> Self {
        Settings {
            nodes: wire.nodes.max(1),
            node: wire.node,
            zone: wire.zone,
            classes: wire.classes.iter().map(Class::from).collect(),
            tenants: wire.tenants.iter().map(Tenant::from).collect(),
            over_quota_weight: wire.over_quota_weight,
            weight_by_work: matches!(wire.weight_counted_by, WireCounting::Work),
            reports: ReportSource::from(&wire.load_report.source),
            limits: Limits::from(&wire.limits),
            safety: SafetyRules::from(&wire.safety),
            penalties: Penalties::from(&wire.penalties),
            objective_weights: ObjectiveWeights::from(&wire.objective_weights),
            poll_endpoint_list: matches!(wire.endpoint_list_mode, WireEndpointListMode::Polled),
            tighten_open_requests: false,
            timer_resolution: millis(wire.timer_resolution_ms),
        }
    }
}

impl From<&WireClass> for Class {
    fn from(wire: &WireClass) -> Self {
        let scope = match wire.scope {
            WireScope::All => Scope::All,
            WireScope::Zone => Scope::Zone,
            WireScope::Cell => Scope::Cell,
        };
        let window = millis(wire.window_ms);
        Class {
            latency_objective: millis(wire.latency_objective_ms),
            objective_stretch: wire.objective_stretch,
            deadline: millis(wire.deadline_ms),
            priority_weight: wire.priority_weight,
            late_weight: wire.late_weight,
            idempotency: match wire.idempotency {
                WireIdempotency::Idempotent => Idempotency::Idempotent,
                WireIdempotency::Keyed => Idempotency::Keyed { scope, window },
                WireIdempotency::NonIdempotent => Idempotency::NonIdempotent,
            },
            streamed: wire.streamed,
        }
    }
}

impl From<&WireTenant> for Tenant {
    fn from(wire: &WireTenant) -> Self {
        Tenant {
            quota_per_s: wire.quota_per_s,
            share: wire.share,
        }
    }
}

impl From<&WireReportSource> for ReportSource {
    fn from(wire: &WireReportSource) -> Self {
        match wire {
            WireReportSource::Responses => ReportSource::Responses,
            WireReportSource::HealthChecks => ReportSource::HealthChecks,
            WireReportSource::None => ReportSource::None,
        }
    }
}

impl From<&WireLimits> for Limits {
    fn from(wire: &WireLimits) -> Self {
        let retry_after = wire.sends_retry_after;
        Limits {
            max_attempts: wire.max_attempts,
            cancel_attempts: wire.cancel_attempts,
            health_checks: wire.health_checks,
            hedging: wire.hedging,
            max_retry_after: retry_after.then(|| millis(wire.max_retry_after_ms)),
            connect_timeout: millis(wire.connect_timeout_ms),
        }
    }
}

impl From<&WireSafetyRules> for SafetyRules {
    fn from(wire: &WireSafetyRules) -> Self {
        SafetyRules {
            drain_grace: millis(wire.drain_grace_ms),
            slow_start_capacity: wire.slow_start_capacity,
            slow_start_window: millis(wire.slow_start_window_ms),
            overload_factor: wire.overload_factor,
            overload_window: millis(wire.overload_window_ms),
            max_poll_interval: millis(wire.max_poll_interval_ms),
        }
    }
}

impl From<&WirePenalties> for Penalties {
    fn from(wire: &WirePenalties) -> Self {
        Penalties {
            health_check: wire.health_check,
            cross_zone: wire.cross_zone,
            waste: wire.waste,
            late_failure: wire.late_failure,
            connections: wire.open_connections + wire.new_connections,
        }
    }
}

impl From<&WireObjectiveWeights> for ObjectiveWeights {
    fn from(wire: &WireObjectiveWeights) -> Self {
        ObjectiveWeights {
            all_requests: wire.whole,
            worst_window: wire.worst_window,
            worst_class: wire.worst_class,
            worst_tenant: wire.worst_tenant,
        }
    }
}
