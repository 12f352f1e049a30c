//! The settings on which the fleet agrees, laid over those of this node's own file.

use hyper::{Method, StatusCode};
use sillward_admin::{PostRoute, Reply, Route};
use sillward_balancer::Idempotency;
use sillward_balancer::settings::PlatformSettings;
use sillward_consensus::Timing;
use sillward_consensus_io::{ConsensusConfig, ConsensusService, LeaseUpdate};
use sillward_fleet_settings::{
    EffectiveValue, FleetSettings, Idempotency as AgreedIdempotency, Key, Value, Version,
};
use sillward_forwarding::{LiveSettings, SettingsLease};
use sillward_membership::Name;
use sillward_node_config::Config;
use sillward_operator_config::AgreementTerms;
use sillward_peer_transport::PeerTransport;
use sillward_runtime::Clock;
use sillward_runtime::task::spawn_local;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The memory that it takes at the worst, in bytes: 64 versions of 24 KiB, four times over while they are kept and sent, and what
/// waits to be taken in.
pub const BYTES: usize = 8 << 20;

/// What is agreed on, and among whom: the operator file's words.
///
/// # Errors
/// All that is wrong, with the operator file's keys.
pub fn terms(config: &Config, agreement: &AgreementTerms) -> Result<ConsensusConfig, String> {
    let mut faults = Vec::new();
    let voters: Vec<Option<Name>> = agreement
        .voters
        .iter()
        .map(|name| Name::new(name))
        .collect();
    if voters.iter().any(Option::is_none) {
        faults.push(format!(
            "agreement.voters: a name has 1 to {} bytes and no control characters",
            Name::MAX_BYTES
        ));
    }
    if agreement.voters.contains(&config.name) && agreement.folder.is_none() {
        faults.push("agreement.folder: is missing, and this node is a voter".to_owned());
    }
    if !faults.is_empty() {
        return Err(faults.join("\n"));
    }
    Ok(ConsensusConfig {
        log_name: agreement.log.clone(),
        voters: voters.into_iter().flatten().collect(),
        folder: agreement.folder.clone(),
        timing: planted(Timing::with_bound(agreement.bound)),
    })
}

#[cfg(not(feature = "faults"))]
fn planted(timing: Timing) -> Timing {
    timing
}

#[cfg(feature = "faults")]
fn planted(timing: Timing) -> Timing {
    use sillward_consensus::InjectedBug;
    let injected_bug = match sillward_runtime::fault_variable("SILLWARD_FAULT_PLANT").as_deref() {
        Some("from-arrival") => Some(InjectedBug::LeaseFromArrival),
        Some("no-sync") => Some(InjectedBug::SendBeforeSync),
        Some("skip-wait") => Some(InjectedBug::SkipLeaseWait),
        Some("forget-right") => Some(InjectedBug::ForgetLeases),
        _ => None,
    };
    Timing {
        injected_bug,
        ..timing
    }
}

/// Takes part; it ends when `stop` is over.
///
/// # Errors
/// See [`terms`], and [`ConsensusService::start`].
pub fn start(
    clock: Clock,
    config: &Config,
    agreement: &AgreementTerms,
    fleet: &Rc<PeerTransport>,
    (changed, lapse): (Rc<Notify>, Rc<SettingsLease>),
    stop: impl Future<Output = ()> + 'static,
) -> Result<Rc<ConsensusService>, String> {
    // In one step with what is learnt: nobody else's turn lies between.
    let change = move |update: LeaseUpdate| {
        lapse.set_expiry(update.expires_at);
        if update.status_changed {
            lapse.next_generation();
            changed.notify_one();
        }
    };
    let config = terms(config, agreement)?;
    let (council, results) =
        ConsensusService::start(fleet.clone(), clock, config, change).map_err(|e| e.to_string())?;
    spawn_local(council.clone().run(results, stop));
    Ok(council)
}

/// The keys that a node's own settings have, whether a version names them or not: one that is not known may.
pub fn keys(site: &PlatformSettings) -> Vec<Key> {
    let live = site
        .class_names
        .iter()
        .zip(&site.active_classes)
        .filter(|(_, live)| **live);
    let classes = live.map(|(name, _)| Key::Idempotency(name.clone()));
    classes.chain([Key::MaxAttempts, Key::Hedging]).collect()
}

/// The node's own settings under what is agreed on: where a version names a key, it goes before the file; what it leaves
/// open stays the file's.
pub fn laid_over(site: &PlatformSettings, readings: &[(Key, EffectiveValue)]) -> PlatformSettings {
    let mut site = site.clone();
    site.settings.tighten_open_requests = true;
    for (key, reading) in readings {
        let class = key.name().and_then(|name| site.class(name));
        let class = class.and_then(|place| site.settings.classes.get_mut(place));
        match (key, &reading.value, class) {
            (Key::Idempotency(_), Value::Idempotency(repeat), Some(class)) => {
                class.idempotency = match (class.idempotency, repeat) {
                    (_, AgreedIdempotency::Idempotent) => Idempotency::Idempotent,
                    (Idempotency::Keyed { scope, .. }, AgreedIdempotency::Keyed(ms)) => {
                        Idempotency::Keyed {
                            scope,
                            window: Duration::from_millis(*ms),
                        }
                    }
                    // Callers of a class that the file does not call keyed send no keys.
                    _ => Idempotency::NonIdempotent,
                };
            }
            (Key::LatencyObjective(_), Value::Milliseconds(ms), Some(class)) => {
                class.latency_objective = Duration::from_millis(*ms)
            }
            (Key::Deadline(_), Value::Milliseconds(ms), Some(class)) => {
                class.deadline = Duration::from_millis(*ms)
            }
            (Key::MaxAttempts, Value::Count(count), _) => {
                site.settings.limits.max_attempts = *count
            }
            (Key::Hedging, Value::Flag(allowed), _) => site.settings.limits.hedging = *allowed,
            _ => {}
        }
    }
    site
}

/// As [`laid_over`], for those who read calls: how a class is called, by which method and with or without a key, is between the
/// file and the callers. What may be sent again is the node's alone.
pub fn called(site: &PlatformSettings, readings: &[(Key, EffectiveValue)]) -> PlatformSettings {
    let others: Vec<(Key, EffectiveValue)> = readings
        .iter()
        .filter(|(key, _)| !matches!(key, Key::Idempotency(_)))
        .cloned()
        .collect();
    laid_over(site, &others)
}

/// What of a change clashes with this node's own settings, a line each.
pub fn clashes(site: &PlatformSettings, rules: &FleetSettings) -> Vec<String> {
    let unknown = rules.iter().filter_map(|(key, value)| {
        if let (Key::Idempotency(class), Value::Idempotency(AgreedIdempotency::Keyed(_))) =
            (key, value)
        {
            let terms = site
                .class(class)
                .and_then(|place| site.settings.classes.get(place));
            if terms.is_some_and(|terms| !matches!(terms.idempotency, Idempotency::Keyed { .. })) {
                return Some(format!(
                    "{key}: the settings ask no key of the callers of {class:?}"
                ));
            }
        }
        let class = match key {
            Key::Idempotency(class) | Key::LatencyObjective(class) | Key::Deadline(class) => class,
            _ => return None,
        };
        site.class(class)
            .is_none()
            .then(|| format!("{key}: the settings have no class {class:?}"))
    });
    unknown.collect()
}

/// What is agreed on, for operators.
pub fn page(council: &Rc<ConsensusService>, live: &Rc<LiveSettings>) -> Route {
    let (council, live) = (council.clone(), live.clone());
    let text = move || {
        Reply::json(sillward_consensus_io::settings_page::render(
            &council,
            &keys(&live.get()),
        ))
    };
    Route::new(Method::GET, "/admin/settings", text)
}

/// A change as an operator sends it: see `sillward ctl settings propose`.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    base: u64,
    id: u64,
    author: String,
    why: String,
    rules: String,
    #[serde(default)]
    despite: bool,
    /// Looked at alone, and not proposed.
    #[serde(default)]
    check: bool,
}

/// Takes changes in. What is answered is that one is under way; what came of it is on the page.
pub fn proposals(council: &Rc<ConsensusService>, live: &Rc<LiveSettings>) -> PostRoute {
    let (council, live) = (council.clone(), live.clone());
    let answer = move |body: &[u8]| {
        let bad = |what: String| Reply::error(StatusCode::BAD_REQUEST, what);
        let change: Change = match serde_json::from_slice(body) {
            Ok(change) => change,
            Err(e) => return bad(format!("no change: {e}\n")),
        };
        let rules = match FleetSettings::from_json(&change.rules) {
            Ok(rules) => rules,
            Err(e) => return bad(format!("{e}\n")),
        };
        let clashes = clashes(&live.get(), &rules);
        if !clashes.is_empty() {
            return bad(format!("{}\n", clashes.join("\n")));
        }
        if change.check {
            return Reply::ok("good\n");
        }
        let Change {
            base,
            id,
            author,
            why,
            rules,
            despite,
            ..
        } = change;
        match council.propose(
            base,
            Version {
                number: 0,
                id,
                author,
                reason: why,
                settings: rules,
            },
            despite,
        ) {
            Ok(()) => Reply::ok("under way\n"),
            Err(what) => Reply::error(StatusCode::CONFLICT, format!("{what}\n")),
        }
    };
    PostRoute {
        path: "/admin/settings",
        answer: Box::new(answer),
    }
}
