//! The sources of the endpoint list: discovery, and etcd where the operator file names one.

use sillward_discovery::DiscoveryClient;
use sillward_endpoint_updates::EndpointAggregator;
use sillward_endpoints::{MergedEndpoints, RemovalGuard, SourceConfig};
use sillward_etcd::{EtcdConfig, EtcdSource};
use sillward_forwarding::{LiveSettings, Message};
use sillward_node_config::Config;
use sillward_runtime::Clock;
use sillward_runtime::task::spawn_local;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Updates of a source that may wait for the aggregator.
const UPDATE_CAPACITY: usize = 16;

/// The sources of a node.
pub struct Sources {
    /// The client of discovery; to be run.
    pub discovery: DiscoveryClient,
    /// The list merged from several sources; none where discovery is the only one.
    pub membership: Option<Rc<RefCell<MergedEndpoints>>>,
}

/// Starts etcd and the aggregator where there is an etcd. Without it discovery's updates go to the node itself.
pub fn start(
    clock: Clock,
    config: &Config,
    etcd: Option<(EtcdConfig, RemovalGuard)>,
    node: &mpsc::Sender<Message>,
    live: &Rc<LiveSettings>,
) -> Sources {
    let (discovery_messages, discovery_inbox) = match &etcd {
        Some(_) => mpsc::channel(UPDATE_CAPACITY),
        None => (node.clone(), mpsc::channel(1).1),
    };
    let seed = config.seed;
    let discovery = DiscoveryClient::new(
        config.discovery,
        live.clone(),
        config.known_endpoints.clone(),
        seed,
        discovery_messages,
    );
    let membership = etcd.map(|(etcd_config, guard)| {
        let merged = Rc::new(RefCell::new(MergedEndpoints::new(source_configs(guard))));
        let (events, event_inbox) = mpsc::channel(UPDATE_CAPACITY);
        let etcd = EtcdSource::new(etcd_config, live.clone(), seed, events);
        let aggregator =
            EndpointAggregator::new(clock, merged.clone(), node.clone(), discovery.ready());
        spawn_local(aggregator.run(discovery_inbox, event_inbox));
        spawn_local(etcd.run());
        merged
    });
    Sources {
        discovery,
        membership,
    }
}

/// The sources in the aggregator's order. Their names are shown on the admin page.
fn source_configs(etcd_guard: RemovalGuard) -> Vec<SourceConfig> {
    vec![
        SourceConfig {
            name: "roster".to_owned(),
            removal_guard: None,
        },
        SourceConfig {
            name: "etcd".to_owned(),
            removal_guard: Some(etcd_guard),
        },
    ]
}
