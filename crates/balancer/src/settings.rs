//! The balancer's settings, and the platform's settings from which a node derives them.

mod error;
mod model;
mod platform;
mod report_field;
mod request_policy;
mod validation;
mod wire;

pub use error::SettingsError;
pub use model::{
    Class, Idempotency, Limits, ObjectiveWeights, Penalties, ReportSource, SafetyRules, Scope,
    Settings, Tenant,
};
pub use platform::PlatformSettings;
pub use report_field::ReportField;
pub use request_policy::RequestPolicy;
pub use wire::millis;

/// Reads the platform's settings, as JSON.
///
/// # Errors
/// [`SettingsError`] if the text is not valid JSON for the settings, or contains invalid values.
pub fn parse(text: &[u8]) -> Result<PlatformSettings, SettingsError> {
    let settings: wire::WireSettings = serde_json::from_slice(text)?;
    validation::validate(&settings)?;
    Ok(settings.into())
}
