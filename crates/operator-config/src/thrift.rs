//! The table `[thrift]`.

use crate::Operator;
use crate::reader::Section;
use sillward_balancer::Idempotency;
use sillward_balancer::settings::PlatformSettings;
use sillward_thrift::wire::{Encoding, MessageLimits};
use sillward_thrift::{
    BackendConfig, FrontendConfig, HttpCallMapping, Method, RejectedReply, ReplyOrder,
};
use std::time::Duration;

/// The longest budget that a call may have, as over HTTP.
const LONGEST_BUDGET_MS: i64 = 600_000;

/// Calls with a reply that may be open, over all connections.
const DEFAULT_OPEN_CALLS: usize = 4096;
/// Oneway calls that may be open, over all connections.
const DEFAULT_ONEWAY_CALLS: usize = 1024;
/// The largest limit of open calls that can be configured.
const MAX_OPEN_CALLS: i64 = 1 << 20;

pub fn read(section: &Section<'_>, site: Option<&PlatformSettings>, operator: &mut Operator) {
    let bounds = bounds(section);
    let methods = methods(section, site);
    if section.has("listen") {
        if methods.is_empty() {
            section.fault(
                "method",
                "no method is served: at least one [[thrift.method]] is needed",
            );
        }
        operator.thrift = section.parsed("listen").map(|listen| FrontendConfig {
            listen,
            max_connections: section
                .number("connections", 1, 1 << 20)
                .map(|n| n as usize),
            max_calls_in_flight: section.number("calls_in_flight", 1, 1024).unwrap_or(32) as usize,
            max_open_calls: section
                .number("open_calls", 1, MAX_OPEN_CALLS)
                .map_or(DEFAULT_OPEN_CALLS, |calls| calls as usize),
            max_oneway_calls: section
                .number("oneway_calls", 1, MAX_OPEN_CALLS)
                .map_or(DEFAULT_ONEWAY_CALLS, |calls| calls as usize),
            reply_order: match section.word("order", &["finished", "called"]) {
                Some(1) => ReplyOrder::Arrival,
                _ => ReplyOrder::Completion,
            },
            limits: bounds,
            methods,
        });
    } else if section.has("method") {
        section.fault(
            "method",
            "methods without a \"listen\": nobody could call them",
        );
    }
    let mut seen = Vec::new();
    for backend in section.tables("backend") {
        if let Some(terms) = read_backend(&backend, site, bounds) {
            if site.is_some() && seen.contains(&terms.machine_type) {
                backend.fault("type", "this machine type stands twice");
            }
            seen.push(terms.machine_type);
            operator.thrift_backends.push(terms);
        }
        backend.end();
    }
    // Asked for even where there is no listener, so that they are not called unknown.
    for name in [
        "connections",
        "calls_in_flight",
        "open_calls",
        "oneway_calls",
        "order",
    ] {
        section.has(name);
    }
}

fn bounds(section: &Section<'_>) -> MessageLimits {
    let usual = MessageLimits::default();
    let number = |name, least, most, usual: usize| {
        section
            .number(name, least, most)
            .map_or(usual, |number| number as usize)
    };
    MessageLimits {
        // Bodies are bounded by 64 KiB whichever protocol carries them.
        max_frame_bytes: number("max_frame", 256, 64 * 1024, usual.max_frame_bytes),
        max_depth: number("max_depth", 2, 64, usual.max_depth),
        max_name_bytes: number("max_name", 1, 1024, usual.max_name_bytes),
    }
}

fn methods(section: &Section<'_>, site: Option<&PlatformSettings>) -> Vec<Method> {
    let mut methods: Vec<Method> = Vec::new();
    for table in section.tables("method") {
        if let Some(method) = read_method(&table, site) {
            if methods
                .iter()
                .any(|m| m.service == method.service && m.name == method.name)
            {
                table.fault("name", "this method stands twice");
            }
            methods.push(method);
        }
        table.end();
    }
    methods
}

fn read_method(table: &Section<'_>, site: Option<&PlatformSettings>) -> Option<Method> {
    let service = table.text("service").map(str::to_owned);
    let name = table.needed("name").map(str::to_owned);
    if name.as_ref().is_some_and(|name| name.contains(':')) {
        table.fault(
            "name",
            "a multiplexed name's service goes under \"service\"",
        );
    }
    table.needed("class");
    let class = table.named("class", "class", site.map(|site| &site.class_names[..]));
    let idempotency_key = table.parsed("idempotency_key");
    let key_from_content = table.word("default_idempotency_key", &["refuse", "content"]) == Some(1);
    let terms = class.and_then(|class| site?.settings.classes.get(class));
    if terms.is_some_and(|class| matches!(class.idempotency, Idempotency::Keyed { .. }))
        && !table.has("idempotency_key")
        && !key_from_content
    {
        table.fault(
            "idempotency_key",
            "is missing: this class is repeated by its key",
        );
    }
    let tenant = table.parsed("tenant");
    let default_tenant = table.named(
        "default_tenant",
        "tenant",
        site.map(|site| &site.tenant_names[..]),
    );
    let tenants = site.is_some_and(|site| !site.tenant_names.is_empty());
    if tenants && !table.has("tenant") && !table.has("default_tenant") {
        table.fault(
            "tenant",
            "is missing, and so is default_tenant: the settings have tenants",
        );
    }
    let budget = table.parsed("budget_ms");
    let default_budget = table.number("default_budget_ms", 1, LONGEST_BUDGET_MS);
    let class_deadline = terms.map(|class| class.deadline).unwrap_or_default();
    Some(Method {
        service,
        name: name?,
        class: class?,
        station_key: table.parsed("station_key"),
        default_station_key: table
            .text("default_station_key")
            .unwrap_or_default()
            .to_owned(),
        idempotency_key,
        key_from_content,
        tenant,
        default_tenant,
        time_budget: budget,
        default_time_budget: default_budget
            .map_or(class_deadline, |ms| Duration::from_millis(ms as u64)),
    })
}

fn read_backend(
    table: &Section<'_>,
    site: Option<&PlatformSettings>,
    bounds: MessageLimits,
) -> Option<BackendConfig> {
    table.needed("type");
    let kind = table.named(
        "type",
        "machine type",
        site.map(|site| &site.machine_type_names[..]),
    );
    table.needed("encoding");
    let encoding = table
        .word("encoding", &["binary", "compact", "binary-old"])
        .map(|word| match word {
            0 => Encoding::Binary { strict: true },
            1 => Encoding::Compact,
            _ => Encoding::Binary { strict: false },
        });
    let mut turned_away = Vec::new();
    for text in table.texts("turned_away") {
        match turned(text) {
            Some(reply) => turned_away.push(reply),
            None => table.fault(
                "turned_away",
                format!("{text:?} is neither \"exception NUMBER\" nor \"field NUMBER\""),
            ),
        }
    }
    let mut http_calls: Vec<HttpCallMapping> = Vec::new();
    for call in table.tables("http_call") {
        if let Some(read) = read_http_call(&call, site) {
            if site.is_some() && http_calls.iter().any(|other| other.class == read.class) {
                call.fault("class", "this class stands twice");
            }
            http_calls.push(read);
        }
        call.end();
    }
    Some(BackendConfig {
        machine_type: kind.and_then(|kind| u8::try_from(kind).ok())?,
        encoding: encoding?,
        rejected_replies: turned_away,
        load_report: table.parsed("load_report"),
        health_check_method: table.text("probe").map(str::to_owned),
        http_calls,
        send_buffer_bytes: table
            .number("send_buffer", 1, 1 << 24)
            .map(|bytes| bytes as usize),
        limits: bounds,
    })
}

fn turned(text: &str) -> Option<RejectedReply> {
    let (what, number) = text.split_once(' ')?;
    match what {
        "exception" => number.parse().ok().map(RejectedReply::Exception),
        // Field 0 is the result itself.
        "field" => number
            .parse()
            .ok()
            .filter(|field| *field > 0)
            .map(RejectedReply::Field),
        _ => None,
    }
}

fn read_http_call(table: &Section<'_>, site: Option<&PlatformSettings>) -> Option<HttpCallMapping> {
    table.needed("class");
    let class = table.named("class", "class", site.map(|site| &site.class_names[..]));
    let method = table.needed("method").map(str::to_owned);
    let field = |name, usual| {
        table
            .number(name, 1, i64::from(i16::MAX))
            .map_or(usual, |n| n as i16)
    };
    let (target, body) = (field("target", 1), field("body", 2));
    let key = table
        .number("key", 1, i64::from(i16::MAX))
        .map(|n| n as i16);
    if target == body || key.is_some_and(|key| key == target || key == body) {
        table.fault("body", "two of target, body and key are the same argument");
    }
    Some(HttpCallMapping {
        class: class?,
        method: method?,
        target,
        body,
        key,
    })
}
