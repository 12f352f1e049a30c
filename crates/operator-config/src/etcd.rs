//! The table `[etcd]`.

use crate::reader::Section;
use sillward_balancer::settings::PlatformSettings;
use sillward_endpoints::RemovalGuard;
use sillward_etcd::{Credentials, EtcdConfig, Timeouts};
use std::time::Duration;

pub fn read(
    section: &Section<'_>,
    site: Option<&PlatformSettings>,
) -> Option<(EtcdConfig, RemovalGuard)> {
    if site.is_some_and(|site| site.settings.poll_endpoint_list) {
        section.fault(
            "endpoints",
            "the settings' RegistryMode is \"ask\": etcd goes with pushed lists only",
        );
    }
    let endpoints = section.texts("endpoints");
    if endpoints.is_empty() {
        section.fault("endpoints", "at least one address is needed");
    }
    let parsed: Vec<_> = endpoints.iter().map(|text| text.parse()).collect();
    for (text, parsed) in endpoints.iter().zip(&parsed) {
        if parsed.is_err() {
            section.fault(
                "endpoints",
                format!("{text:?} is no address like \"127.0.0.1:2379\""),
            );
        }
    }
    let prefix = section.needed("prefix")?.to_owned();
    let user = section.text("user").map(str::to_owned);
    let password = section.text("password").map(str::to_owned);
    if user.is_some() != password.is_some() {
        section.fault("password", "user and password go together");
    }
    let usual = Timeouts::default();
    let time = |name, usual: Duration| {
        section
            .number(name, 1, 86_400_000)
            .map_or(usual, |ms| Duration::from_millis(ms as u64))
    };
    let timeouts = Timeouts {
        connect: time("connect_ms", usual.connect),
        keep_alive: time("keep_alive_ms", usual.keep_alive),
        initial_backoff: time("first_pause_ms", usual.initial_backoff),
        max_backoff: time("longest_pause_ms", usual.max_backoff),
        resync_interval: time("resync_ms", usual.resync_interval),
    };
    if timeouts.initial_backoff > timeouts.max_backoff {
        section.fault("first_pause_ms", "is longer than longest_pause_ms");
    }
    let usual = RemovalGuard::default();
    let guard = RemovalGuard {
        max_removed_percent: section
            .number("guard_percent", 0, 100)
            .map_or(usual.max_removed_percent, |n| n as usize),
        min_removed: section
            .number("guard_least", 1, 1 << 20)
            .map_or(usual.min_removed, |n| n as usize),
        delay: time("guard_hold_ms", usual.delay),
    };
    let endpoints: Result<Vec<_>, _> = parsed.into_iter().collect();
    let config = EtcdConfig {
        endpoints: endpoints.ok()?,
        prefix,
        credentials: user
            .zip(password)
            .map(|(user, password)| Credentials { user, password }),
        timeouts,
    };
    Some((config, guard))
}
