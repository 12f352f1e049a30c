//! The platform that replaces the process of a node: it keeps the listening socket, and tells each process the same list.

use crate::peers::{
    Backend, Discovery, Node, Watch, config_operated, entry, file, list, settings, until,
};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// The target of a class, in milliseconds, where a test names none.
const TARGET_MS: u64 = 3000;

/// What outlives the processes of a node.
pub struct Platform {
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub discovery: Discovery,
    /// `$TMPDIR` of all processes, as the last one left it.
    pub folder: PathBuf,
    settings: String,
    watches: Vec<Watch>,
}

impl Platform {
    pub fn start() -> Self {
        Platform::with_settings(settings(TARGET_MS, ""))
    }

    /// A platform whose processes have these settings.
    pub fn with_settings(settings: String) -> Self {
        let folder = file("tmp", "").with_extension("dir");
        std::fs::create_dir_all(&folder).expect("a folder");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        Platform {
            listener,
            address,
            discovery: Discovery::start(),
            folder,
            settings,
            watches: Vec::new(),
        }
    }

    pub fn config(&self) -> String {
        let config = config_operated(self.discovery.address, &self.settings);
        config.replace(
            r#""listen":"127.0.0.1:0""#,
            &format!(r#""listen":"{}""#, self.address),
        )
    }

    /// Starts a process, which is not told its list yet.
    pub fn process(&self) -> Node {
        Node::inheriting(
            &self.listener,
            &self.config(),
            &[("TMPDIR", &self.folder.to_string_lossy())],
        )
    }

    /// As [`Platform::process`], with an operator file.
    pub fn operated_process(&self, operator: &str) -> Node {
        Node::inheriting_operated(
            &self.listener,
            &self.config(),
            operator,
            &[("TMPDIR", &self.folder.to_string_lossy())],
        )
    }

    /// Starts a process, and waits until it serves with this backend.
    pub fn serving_process(&mut self, backend: &Backend) -> Node {
        let node = self.process();
        self.tell(&node, backend);
        node
    }

    /// Tells the list to the process that calls next, and waits until it serves.
    pub fn tell(&mut self, node: &Node, backend: &Backend) {
        self.tell_entries(node, &[entry("s-0", backend.address, "in_service")]);
    }

    /// As [`Platform::tell`], of backends of any kind.
    pub fn tell_entries(&mut self, node: &Node, entries: &[String]) {
        let mut watch = self.discovery.call();
        watch.open();
        watch.line(&list(8, true, entries));
        self.watches.push(watch);
        until(|| node.operate("GET /control/ready").0 == 200, "its yes");
    }
}
