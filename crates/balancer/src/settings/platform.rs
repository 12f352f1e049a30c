//! The platform's settings as a node uses them: the balancer's settings, and the names of classes, tenants, zones and machine
//! types, which events refer to by position. New settings in a running node keep all existing positions.

use super::error::SettingsError;
use super::model::Settings;
use super::report_field::ReportField;
use std::time::Duration;

/// The most classes, zones or machine types that a process may have had, including removed ones. Positions are never reused,
/// so settings that keep changing names would grow without bound.
const MAX_NAMES: usize = 250;
/// The most tenants that the settings of a process may have had and lack now. The settings may have any number of them.
const MAX_REMOVED_TENANTS: usize = 250;

/// The platform's settings as a node uses them.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The balancer's settings.
    pub settings: Settings,
    /// The fields of a load report, in the order of its values.
    pub report_fields: Vec<ReportField>,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Whether each class is in the latest settings. New requests of a removed class are not accepted; open ones keep it.
    pub active_classes: Vec<bool>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenant_names: Vec<String>,
    /// Whether each tenant is in the latest settings.
    pub active_tenants: Vec<bool>,
    /// Names of the zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// Names of the machine types, in the order of their numbers.
    pub machine_type_names: Vec<String>,
    /// Idle timeout after which servers close connections.
    pub server_idle_timeout: Duration,
}

impl PlatformSettings {
    /// The position of the class of that name, if the latest settings have it.
    pub fn class(&self, name: &str) -> Option<usize> {
        let position = self.class_names.iter().position(|known| known == name)?;
        self.active_classes[position].then_some(position)
    }

    /// The position of the tenant of that name, if the latest settings have it.
    pub fn tenant(&self, name: &[u8]) -> Option<usize> {
        let mut names = self.tenant_names.iter();
        let position = names.position(|known| known.as_bytes() == name)?;
        self.active_tenants[position].then_some(position)
    }

    /// Merges these settings onto `old` in a running node: every name keeps its old position, whatever its position in the new
    /// settings.
    ///
    /// # Errors
    /// [`SettingsError::TooManyNames`] or [`SettingsError::TooManyRemovedNames`] if there would be too many names.
    pub fn merged_onto(self, old: &PlatformSettings) -> Result<PlatformSettings, SettingsError> {
        let classes = MergedNames::new(&old.class_names, &self.class_names);
        let tenants = MergedNames::new(&old.tenant_names, &self.tenant_names);
        let zones = MergedNames::new(&old.zone_names, &self.zone_names);
        let machine_types = MergedNames::new(&old.machine_type_names, &self.machine_type_names);
        classes.check("Classes")?;
        tenants.check_removed("Projects", MAX_REMOVED_TENANTS)?;
        zones.check("Localities")?;
        machine_types.check("HostTypes")?;

        let mut settings = self.settings;
        settings.classes = classes.place(&old.settings.classes, &settings.classes);
        settings.tenants = tenants.place(&old.settings.tenants, &settings.tenants);
        settings.zone = zones.position_of(settings.zone);
        // Whether a node polls the endpoint list is fixed at its start.
        settings.poll_endpoint_list = old.settings.poll_endpoint_list;
        Ok(PlatformSettings {
            report_fields: self.report_fields,
            active_classes: classes.active(settings.classes.len()),
            active_tenants: tenants.active(settings.tenants.len()),
            settings,
            class_names: classes.names,
            tenant_names: tenants.names,
            zone_names: zones.names,
            machine_type_names: machine_types.names,
            server_idle_timeout: self.server_idle_timeout,
        })
    }
}

/// The old names, followed by the new names that are not among them.
struct MergedNames {
    names: Vec<String>,
    /// The position of each new name in `names`.
    positions: Vec<usize>,
}

impl MergedNames {
    fn new(old: &[String], new: &[String]) -> Self {
        let mut names = old.to_vec();
        let mut positions = Vec::with_capacity(new.len());
        for name in new {
            let known = names.iter().position(|known| known == name);
            positions.push(known.unwrap_or_else(|| {
                names.push(name.clone());
                names.len() - 1
            }));
        }
        MergedNames { names, positions }
    }

    fn check(&self, key: &'static str) -> Result<(), SettingsError> {
        if self.names.len() > MAX_NAMES {
            return Err(SettingsError::TooManyNames {
                key,
                limit: MAX_NAMES,
            });
        }
        Ok(())
    }

    fn check_removed(&self, key: &'static str, limit: usize) -> Result<(), SettingsError> {
        // No name is twice in the new settings.
        let removed = self.names.len().saturating_sub(self.positions.len());
        if removed > limit {
            return Err(SettingsError::TooManyRemovedNames { key, limit });
        }
        Ok(())
    }

    /// Merges items: the new ones at the positions of their names, the old ones elsewhere.
    fn place<T: Clone>(&self, old: &[T], new: &[T]) -> Vec<T> {
        let mut all = old.to_vec();
        for (item, position) in new.iter().zip(&self.positions) {
            match all.get_mut(*position) {
                Some(place) => *place = item.clone(),
                None => all.push(item.clone()),
            }
        }
        all
    }

    /// For each of `count` positions, whether it belongs to a new name.
    fn active(&self, count: usize) -> Vec<bool> {
        (0..count)
            .map(|position| self.positions.contains(&position))
            .collect()
    }

    /// The merged position of the new name at position `new`; `new` itself if there is no such name.
    fn position_of(&self, new: u8) -> u8 {
        let merged = self.positions.get(usize::from(new));
        merged
            .and_then(|position| u8::try_from(*position).ok())
            .unwrap_or(new)
    }
}
