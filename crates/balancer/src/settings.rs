//! The settings text that a node starts with: JSON in the wire's words, turned into the module's
//! [`Settings`] and the names by which the rest of a node knows things.

use crate::interface::*;
use serde::Deserialize;
use std::time::Duration;

/// A load report's columns, in the order of their values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ReportField {
    /// Requests held.
    #[serde(rename = "concurrent")]
    InFlight,
    /// Requests waiting.
    #[serde(rename = "depth")]
    Queue,
    /// The fraction of the processors in use.
    #[serde(rename = "load_share")]
    Utilisation,
    /// The recent service time.
    #[serde(rename = "mean_ms")]
    LatencyMs,
    /// Requests served in a second.
    #[serde(rename = "tps")]
    Throughput,
    /// Errors in a second.
    #[serde(rename = "err_ps")]
    Errors,
    /// One that this version does not know.
    #[serde(other)]
    Unknown,
}

impl ReportField {
    /// The column that a load report in a header or a probe's body calls by this name: the settings' own, or
    /// the protocol's.
    pub fn from_report_name(name: &str) -> Self {
        match name {
            "concurrent" | "inflight" => ReportField::InFlight,
            "depth" | "queue" => ReportField::Queue,
            "load_share" | "util" => ReportField::Utilisation,
            "mean_ms" | "latency_ms" => ReportField::LatencyMs,
            "tps" | "qps" => ReportField::Throughput,
            "err_ps" | "eps" => ReportField::Errors,
            _ => ReportField::Unknown,
        }
    }

    /// Puts a value in its place. What is no finite number is left out.
    pub fn set(self, report: &mut LoadReport, value: f32) {
        let field = match self {
            ReportField::InFlight => &mut report.in_flight,
            ReportField::Queue => &mut report.queue,
            ReportField::Utilisation => &mut report.utilisation,
            ReportField::LatencyMs => &mut report.latency_ms,
            ReportField::Throughput => &mut report.throughput,
            ReportField::Errors => &mut report.errors,
            ReportField::Unknown => return,
        };
        *field = value.is_finite().then_some(value);
    }
}

/// All that a node takes from its settings text.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// What the module is told.
    pub settings: Settings,
    /// Which value of a load report is which.
    pub report_fields: Vec<ReportField>,
    /// The names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Whether the last settings still have it: open requests keep one that has vanished, newcomers don't know it.
    pub active_classes: Vec<bool>,
    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub tenant_names: Vec<String>,
    /// As for classes.
    pub active_tenants: Vec<bool>,
    /// The names of the zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// The names of the machine kinds, in the order of their numbers.
    pub machine_type_names: Vec<String>,
    /// A server closes a connection that has been idle for so long.
    pub server_idle_timeout: Duration,
}

/// Classes, tenants, zones or machine kinds that a process may come to know by its settings, old ones with them: what
/// has had a number keeps it, and a file that changed all names again and again would grow without end.
const MOST_NAMES: usize = 250;

/// The old names with the new ones that are not among them behind, and where each new one stands.
fn joined(old: &[String], new: &[String]) -> (Vec<String>, Vec<usize>) {
    let mut all = old.to_vec();
    let places = new.iter().map(|name| {
        all.iter()
            .position(|known| known == name)
            .unwrap_or_else(|| {
                all.push(name.clone());
                all.len() - 1
            })
    });
    let places = places.collect();
    (all, places)
}

/// What the new ones say in their places, and what the old ones said elsewhere; and which of them are new.
fn placed<T: Clone>(old: &[T], new: &[T], places: &[usize]) -> (Vec<T>, Vec<bool>) {
    let mut all = old.to_vec();
    for (item, place) in new.iter().zip(places) {
        match all.get_mut(*place) {
            Some(there) => *there = item.clone(),
            None => all.push(item.clone()),
        }
    }
    let live = (0..all.len()).map(|i| places.contains(&i)).collect();
    (all, live)
}

impl PlatformSettings {
    /// The number of the class of that name, if the settings have it now.
    pub fn class(&self, name: &str) -> Option<usize> {
        let place = self.class_names.iter().position(|known| known == name)?;
        self.active_classes[place].then_some(place)
    }

    /// The number of the tenant of that name, if the settings have it now.
    pub fn tenant(&self, name: &[u8]) -> Option<usize> {
        let place = self
            .tenant_names
            .iter()
            .position(|known| known.as_bytes() == name)?;
        self.active_tenants[place].then_some(place)
    }

    /// These settings in the place of `old` ones in a node that runs: all that had a number keeps it, whatever the
    /// order in the new text.
    ///
    /// # Errors
    /// More names than a process may come to know.
    pub fn merged_onto(self, old: &PlatformSettings) -> Result<PlatformSettings, String> {
        let (class_names, class_places) = joined(&old.class_names, &self.class_names);
        let (tenant_names, tenant_places) = joined(&old.tenant_names, &self.tenant_names);
        let (zone_names, zone_places) = joined(&old.zone_names, &self.zone_names);
        let (kind_names, _) = joined(&old.machine_type_names, &self.machine_type_names);
        for (what, names) in [
            ("Classes", &class_names),
            ("Projects", &tenant_names),
            ("Localities", &zone_names),
            ("HostTypes", &kind_names),
        ] {
            if names.len() > MOST_NAMES {
                return Err(format!(
                    "settings.{what}: more than {MOST_NAMES} names since the start"
                ));
            }
        }
        let mut settings = self.settings;
        let (classes, live_classes) =
            placed(&old.settings.classes, &settings.classes, &class_places);
        let (tenants, live_tenants) =
            placed(&old.settings.tenants, &settings.tenants, &tenant_places);
        (settings.classes, settings.tenants) = (classes, tenants);
        let zone = zone_places
            .get(usize::from(settings.zone))
            .and_then(|zone| u8::try_from(*zone).ok());
        settings.zone = zone.unwrap_or(settings.zone);
        // Whether lists are pushed or asked for decides which of two loops follows them, from the start on.
        settings.poll_endpoint_list = old.settings.poll_endpoint_list;
        Ok(PlatformSettings {
            settings,
            report_fields: self.report_fields,
            class_names,
            active_classes: live_classes,
            tenant_names,
            active_tenants: live_tenants,
            zone_names,
            machine_type_names: kind_names,
            server_idle_timeout: self.server_idle_timeout,
        })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawIdempotency {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Via {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Mode {
    #[default]
    Push,
    Ask,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CountedBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawClass {
    #[serde(default)]
    name: String,
    #[serde(default)]
    aim_stretch: f64,
    target: f64,
    give_up: f64,
    idempotency: RawIdempotency,
    #[serde(default)]
    group: Group,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    window: f64,
    #[serde(default = "one")]
    credit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    allowance_per_s: f64,
    #[serde(default)]
    share: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawReport {
    columns: Vec<ReportField>,
    via: Via,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawLimits {
    attempts_cap: u32,
    cancel: bool,
    connect_timeout: f64,
    idle_close: f64,
    max_retry_after: f64,
    parallel_tries: bool,
    probes: bool,
    retry_after: bool,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits {
            attempts_cap: 1,
            cancel: false,
            connect_timeout: 250.0,
            idle_close: 15_000.0,
            max_retry_after: 0.0,
            parallel_tries: false,
            probes: false,
            retry_after: false,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawPrices {
    probe: f64,
    cross_zone: f64,
    waste: f64,
    late_fail: f64,
    connection: f64,
    handshake: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawGoal {
    whole: f64,
    worst_class: f64,
    worst_tenant: f64,
    worst_window: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawRules {
    must_ask_in: f64,
    cold_from: f64,
    drain_grace: f64,
    overload_factor: f64,
    ramp_time: f64,
    tip_after: f64,
}

impl Default for RawRules {
    fn default() -> Self {
        RawRules {
            must_ask_in: 10_000.0,
            cold_from: 1.0,
            drain_grace: 0.0,
            overload_factor: 1.0,
            ramp_time: 0.0,
            tip_after: 1000.0,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Raw {
    #[serde(default = "one_node")]
    n_instances: u32,
    #[serde(default)]
    ordinal: u32,
    #[serde(default)]
    zone: u8,
    #[serde(default)]
    localities: Vec<String>,
    #[serde(default)]
    host_types: Vec<String>,
    classes: Vec<RawClass>,
    #[serde(default)]
    projects: Vec<RawTenant>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    counted_by: CountedBy,
    #[serde(default)]
    load_report: RawReport,
    #[serde(default)]
    permissions: RawLimits,
    #[serde(default)]
    rules: RawRules,
    #[serde(default)]
    prices: RawPrices,
    #[serde(default)]
    goal: RawGoal,
    #[serde(default)]
    registry_mode: Mode,
    #[serde(default = "one")]
    quantum: f64,
}

fn one() -> f64 {
    1.0
}

fn one_node() -> u32 {
    1
}

/// A number of milliseconds as a time; whatever is no time at all becomes zero or the longest kept.
pub fn millis(ms: f64) -> Duration {
    const LONGEST_US: f64 = 1e18;
    Duration::from_micros((ms * 1000.0).round().clamp(0.0, LONGEST_US) as u64)
}

/// Reads the settings text.
pub fn parse(text: &[u8]) -> Result<PlatformSettings, String> {
    let raw: Raw = serde_json::from_slice(text).map_err(|e| format!("bad settings: {e}"))?;
    let faults = faults(&raw);
    if !faults.is_empty() {
        return Err(format!("bad settings: {}", faults.join("; ")));
    }
    let settings = Settings {
        nodes: raw.n_instances.max(1),
        node: raw.ordinal,
        zone: raw.zone,
        classes: raw.classes.iter().map(class).collect(),
        tenants: raw
            .projects
            .iter()
            .map(|t| Tenant {
                quota_per_s: t.allowance_per_s,
                share: t.share,
            })
            .collect(),
        over_quota_weight: raw.over_share_worth,
        weight_by_work: matches!(raw.counted_by, CountedBy::Work),
        reports: match raw.load_report.via {
            Via::Piggyback => ReportSource::Responses,
            Via::Pull => ReportSource::HealthChecks,
            Via::Silent => ReportSource::None,
        },
        limits: limits(&raw.permissions),
        safety: rules(&raw.rules),
        penalties: Penalties {
            health_check: raw.prices.probe,
            cross_zone: raw.prices.cross_zone,
            waste: raw.prices.waste,
            late_failure: raw.prices.late_fail,
            connections: raw.prices.connection + raw.prices.handshake,
        },
        objective_weights: ObjectiveWeights {
            whole: raw.goal.whole,
            worst_window: raw.goal.worst_window,
            worst_class: raw.goal.worst_class,
            worst_tenant: raw.goal.worst_tenant,
        },
        poll_endpoint_list: matches!(raw.registry_mode, Mode::Ask),
        tighten_open_requests: false,
        timer_resolution: millis(raw.quantum),
    };
    Ok(PlatformSettings {
        settings,
        report_fields: raw.load_report.columns,
        active_classes: vec![true; raw.classes.len()],
        active_tenants: vec![true; raw.projects.len()],
        class_names: raw.classes.into_iter().map(|class| class.name).collect(),
        tenant_names: raw.projects.into_iter().map(|tenant| tenant.name).collect(),
        zone_names: raw.localities,
        machine_type_names: raw.host_types,
        server_idle_timeout: millis(raw.permissions.idle_close),
    })
}

/// Whatever makes no sense, each fault with its key.
fn faults(raw: &Raw) -> Vec<String> {
    let mut faults = Vec::new();
    if raw.classes.is_empty() {
        faults.push("no classes".to_owned());
    }
    // A time over a year is no time that anybody meant.
    let is_time = |ms: f64| ms > 0.0 && ms < 3.2e10;
    for class in &raw.classes {
        let mut time = |key: &str, ms: f64| {
            if !is_time(ms) {
                faults.push(format!(
                    "Classes: {}: {key} is {ms}, and no time over 0",
                    class.name
                ));
            }
        };
        time("Target", class.target);
        time("GiveUp", class.give_up);
        if matches!(class.idempotency, RawIdempotency::Guarded) {
            time("Window", class.window);
        }
        for (key, number) in [
            ("Credit", class.credit),
            ("LateWorth", class.late_worth),
            ("AimStretch", class.aim_stretch),
        ] {
            if !(0.0..1e12).contains(&number) {
                faults.push(format!(
                    "Classes: {}: {key} is {number}, and no amount",
                    class.name
                ));
            }
        }
    }
    for tenant in &raw.projects {
        for (key, number) in [
            ("AllowancePerS", tenant.allowance_per_s),
            ("Share", tenant.share),
        ] {
            if !(0.0..1e12).contains(&number) {
                faults.push(format!(
                    "Projects: {}: {key} is {number}, and no amount",
                    tenant.name
                ));
            }
        }
    }
    if raw.permissions.attempts_cap == 0 {
        faults.push("Permissions.AttemptsCap is 0: nothing could be sent".to_owned());
    }
    let limits = &raw.permissions;
    let rules = &raw.rules;
    for (key, ms) in [
        ("Permissions.ConnectTimeout", limits.connect_timeout),
        ("Permissions.IdleClose", limits.idle_close),
        (
            "Permissions.MaxRetryAfter",
            limits.max_retry_after + f64::from(!limits.retry_after),
        ),
        ("Rules.DrainGrace", rules.drain_grace + 1.0),
        ("Rules.RampTime", rules.ramp_time + 1.0),
        ("Rules.TipAfter", rules.tip_after),
        ("Rules.MustAskIn", rules.must_ask_in),
        ("Quantum", raw.quantum),
    ] {
        if !is_time(ms) {
            faults.push(format!("{key}: {ms} is no time"));
        }
    }
    faults
}

fn class(raw: &RawClass) -> Class {
    let scope = match raw.group {
        Group::All => Scope::All,
        Group::Zone => Scope::Zone,
        Group::Cell => Scope::Cell,
    };
    Class {
        latency_objective: millis(raw.target),
        objective_stretch: raw.aim_stretch,
        deadline: millis(raw.give_up),
        priority_weight: raw.credit,
        late_weight: raw.late_worth,
        idempotency: match raw.idempotency {
            RawIdempotency::Free => Idempotency::Idempotent,
            RawIdempotency::Guarded => Idempotency::Keyed {
                scope,
                window: millis(raw.window),
            },
            RawIdempotency::SingleShot => Idempotency::NonIdempotent,
        },
        streamed: raw.stream,
    }
}

fn limits(raw: &RawLimits) -> Limits {
    Limits {
        max_attempts: raw.attempts_cap,
        cancel_attempts: raw.cancel,
        health_checks: raw.probes,
        hedging: raw.parallel_tries,
        max_retry_after: raw.retry_after.then(|| millis(raw.max_retry_after)),
        connect_timeout: millis(raw.connect_timeout),
    }
}

fn rules(raw: &RawRules) -> SafetyRules {
    SafetyRules {
        drain_grace: millis(raw.drain_grace),
        slow_start_capacity: raw.cold_from,
        slow_start_window: millis(raw.ramp_time),
        overload_factor: raw.overload_factor,
        overload_window: millis(raw.tip_after),
        max_poll_interval: millis(raw.must_ask_in),
    }
}
