//! Who stands round the nodes: backends, membership sources, clients; and the nodes themselves, started, killed and
//! started again. All of them are scripted, and see only what the network shows.

pub mod boxes;
pub mod clients;
pub mod etcd;
pub mod nodes;
pub mod roster;
pub mod speech;
