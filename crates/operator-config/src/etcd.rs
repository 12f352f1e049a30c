//! The table `[etcd]`.

use crate::reader::Section;
use sillward_balancer::settings::PlatformSettings;
use sillward_endpoints::Guard;
use sillward_etcd::{Terms, Times};
use std::time::Duration;

pub fn read(section: &Section<'_>, site: Option<&PlatformSettings>) -> Option<(Terms, Guard)> {
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
    let usual = Times::default();
    let time = |name, usual: Duration| {
        section
            .number(name, 1, 86_400_000)
            .map_or(usual, |ms| Duration::from_millis(ms as u64))
    };
    let times = Times {
        connect: time("connect_ms", usual.connect),
        keep_alive: time("keep_alive_ms", usual.keep_alive),
        first_pause: time("first_pause_ms", usual.first_pause),
        longest_pause: time("longest_pause_ms", usual.longest_pause),
        resync: time("resync_ms", usual.resync),
    };
    if times.first_pause > times.longest_pause {
        section.fault("first_pause_ms", "is longer than longest_pause_ms");
    }
    let usual = Guard::default();
    let guard = Guard {
        most_percent: section
            .number("guard_percent", 0, 100)
            .map_or(usual.most_percent, |n| n as usize),
        least: section
            .number("guard_least", 1, 1 << 20)
            .map_or(usual.least, |n| n as usize),
        hold: time("guard_hold_ms", usual.hold),
    };
    let endpoints: Result<Vec<_>, _> = parsed.into_iter().collect();
    let terms = Terms {
        endpoints: endpoints.ok()?,
        prefix,
        user: user.zip(password),
        times,
    };
    Some((terms, guard))
}
