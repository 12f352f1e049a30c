//! Who tells the node of its backends: the roster, and etcd beside it where the operator file names one.

use sillward_discovery::Discovery;
use sillward_endpoint_updates::Hub;
use sillward_endpoints::{Guard, Membership};
use sillward_etcd::{Etcd, Terms};
use sillward_forwarding::{LiveSettings, Message};
use sillward_node_config::Config;
use sillward_runtime::Clock;
use sillward_runtime::task::spawn_local;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Tellings that may wait for the hub.
const TELLINGS: usize = 16;

/// The sources of a node.
pub struct Sources {
    /// The roster's side; to be run.
    pub discovery: Discovery,
    /// What several sources come to; none where the roster is alone.
    pub membership: Option<Rc<RefCell<Membership>>>,
}

/// Starts etcd and the hub where there is an etcd. Without it the roster tells the node itself.
pub fn start(
    clock: Clock,
    config: &Config,
    etcd: Option<(Terms, Guard)>,
    node: &mpsc::Sender<Message>,
    live: &Rc<LiveSettings>,
) -> Sources {
    let (roster, told) = match &etcd {
        Some(_) => mpsc::channel(TELLINGS),
        None => (node.clone(), mpsc::channel(1).1),
    };
    let seed = config.seed;
    let discovery = Discovery::new(
        config.discovery,
        live.clone(),
        config.known.clone(),
        seed,
        roster,
    );
    let membership = etcd.map(|(terms, guard)| {
        let sources = [("roster", None), ("etcd", Some(guard))];
        let membership = Rc::new(RefCell::new(Membership::new(&sources)));
        let (tellings, heard) = mpsc::channel(TELLINGS);
        let etcd = Etcd::new(terms, live.clone(), seed, tellings);
        let hub = Hub::new(clock, membership.clone(), node.clone(), discovery.ready());
        spawn_local(hub.run(told, heard));
        spawn_local(etcd.run());
        membership
    });
    Sources {
        discovery,
        membership,
    }
}
