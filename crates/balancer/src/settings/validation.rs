//! Validates the platform's settings. All errors are reported together, each with its key in the JSON.

use super::error::SettingsError;
use super::wire::{WireClass, WireIdempotency, WireSettings, WireTenant};

/// Longer times are considered mistakes. In milliseconds, about a year.
const MAX_TIME_MS: f64 = 3.2e10;
/// Larger weights, quotas and factors are considered mistakes.
const MAX_AMOUNT: f64 = 1e12;

/// Validates the settings.
///
/// # Errors
/// [`SettingsError::Invalid`] with all errors found.
pub(super) fn validate(settings: &WireSettings) -> Result<(), SettingsError> {
    let mut errors = Vec::new();
    if settings.classes.is_empty() {
        errors.push("no classes".to_owned());
    }
    for class in &settings.classes {
        check_class(class, &mut errors);
    }
    for tenant in &settings.tenants {
        check_tenant(tenant, &mut errors);
    }
    if settings.limits.max_attempts == 0 {
        errors.push("Permissions.AttemptsCap is 0: nothing could be sent".to_owned());
    }
    check_times(settings, &mut errors);
    if errors.is_empty() {
        return Ok(());
    }
    Err(SettingsError::Invalid(errors))
}

fn is_time(ms: f64) -> bool {
    ms > 0.0 && ms < MAX_TIME_MS
}

fn is_amount(number: f64) -> bool {
    (0.0..MAX_AMOUNT).contains(&number)
}

fn check_class(class: &WireClass, errors: &mut Vec<String>) {
    let name = &class.name;
    let keyed = class.idempotency == WireIdempotency::Keyed;
    let window = keyed.then_some(("Window", class.window_ms));
    let times = [
        ("Target", class.latency_objective_ms),
        ("GiveUp", class.deadline_ms),
    ];
    for (key, ms) in times.into_iter().chain(window) {
        if !is_time(ms) {
            errors.push(format!(
                "Classes: {name}: {key} is {ms}, not a valid time above 0 ms"
            ));
        }
    }
    let amounts = [
        ("Credit", class.priority_weight),
        ("LateWorth", class.late_weight),
        ("AimStretch", class.objective_stretch),
    ];
    for (key, number) in amounts {
        if !is_amount(number) {
            errors.push(format!(
                "Classes: {name}: {key} is {number}, not a valid number from 0"
            ));
        }
    }
}

fn check_tenant(tenant: &WireTenant, errors: &mut Vec<String>) {
    let name = &tenant.name;
    let amounts = [
        ("AllowancePerS", tenant.quota_per_s),
        ("Share", tenant.share),
    ];
    for (key, number) in amounts {
        if !is_amount(number) {
            errors.push(format!(
                "Projects: {name}: {key} is {number}, not a valid number from 0"
            ));
        }
    }
}

fn check_times(settings: &WireSettings, errors: &mut Vec<String>) {
    let limits = &settings.limits;
    let safety = &settings.safety;
    // 1 ms is added to times that may be 0.
    let unused_retry_after = f64::from(!limits.sends_retry_after);
    let times = [
        ("Permissions.ConnectTimeout", limits.connect_timeout_ms),
        ("Permissions.IdleClose", limits.server_idle_timeout_ms),
        (
            "Permissions.MaxRetryAfter",
            limits.max_retry_after_ms + unused_retry_after,
        ),
        ("Rules.DrainGrace", safety.drain_grace_ms + 1.0),
        ("Rules.RampTime", safety.slow_start_window_ms + 1.0),
        ("Rules.TipAfter", safety.overload_window_ms),
        ("Rules.MustAskIn", safety.max_poll_interval_ms),
        ("Quantum", settings.timer_resolution_ms),
    ];
    for (key, ms) in times {
        if !is_time(ms) {
            errors.push(format!("{key}: {ms} is not a valid time in milliseconds"));
        }
    }
}
