//! The operator file: a TOML file that turns on what the platform does not have. Everything wrong with it is told
//! at once, with file, line and key.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agreement;
mod etcd;
mod fleet;
mod outcomes;
mod reader;
mod thrift;

pub use agreement::{AgreementTerms, rules};
pub use fleet::FleetTerms;
pub use reader::Fault;

use reader::Reader;
use sillward_balancer::settings::PlatformSettings;
use sillward_endpoints::RemovalGuard;
use sillward_thrift::{BackendConfig, FrontendConfig};
use std::net::SocketAddr;

/// What an operator file says.
#[derive(Debug, Default)]
pub struct Operator {
    /// A listener for Thrift callers.
    pub thrift: Option<FrontendConfig>,
    /// Machine types whose backends speak Thrift.
    pub thrift_backends: Vec<BackendConfig>,
    /// Membership from etcd, with the guard of its lists.
    pub etcd: Option<(sillward_etcd::EtcdConfig, RemovalGuard)>,
    /// The fleet that this node is a member of.
    pub fleet: Option<FleetTerms>,
    /// What its nodes tell each other of backends and classes.
    pub outcomes: Option<sillward_outcome_stats::StatsConfig>,
    /// The settings on which the fleet agrees.
    pub agreement: Option<AgreementTerms>,
    /// A listener for operators' pages.
    pub admin: Option<SocketAddr>,
}

/// Reads an operator file's text against the platform's settings, or by itself where those can't be read; `name`
/// is what faults call the file.
///
/// # Errors
/// Everything that is wrong, in the order of lines.
pub fn parse(
    name: &str,
    text: &str,
    site: Option<&PlatformSettings>,
) -> Result<Operator, Vec<Fault>> {
    let reader = Reader::new(name, text);
    let mut operator = Operator::default();
    reader.root(|root| {
        if let Some(section) = root.table("admin") {
            if !section.has("listen") {
                section.fault("listen", "is missing");
            }
            operator.admin = section.parsed("listen");
            section.end();
        }
        if let Some(section) = root.table("etcd") {
            operator.etcd = etcd::read(&section, site);
            section.end();
        }
        if let Some(section) = root.table("fleet") {
            operator.fleet = fleet::read(&section);
            section.end();
        }
        if let Some(section) = root.table("outcomes") {
            operator.outcomes = Some(outcomes::read(&section));
            if !root.has("fleet") {
                section.fault("window_ms", "needs [fleet]: there is nobody to tell");
            }
            section.end();
        }
        if let Some(section) = root.table("agreement") {
            operator.agreement = agreement::read(&section);
            if !root.has("fleet") {
                section.fault(
                    "log",
                    "needs [fleet]: nodes that do not know each other agree on nothing",
                );
            }
            section.end();
        }
        if let Some(section) = root.table("thrift") {
            thrift::read(&section, site, &mut operator);
            section.end();
        }
    });
    reader.finish(operator)
}
