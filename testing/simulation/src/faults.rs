//! Faults, carried out at their times.

use crate::net::{Host, Net};
use crate::parties::boxes::Tally;
use crate::parties::etcd::Etcd;
use crate::parties::nodes::{Nodes, UNIX};
use crate::parties::roster::{Line, Roster, State};
use crate::script::{Fault, Script, What};
use sillward_runtime::time::{sleep, sleep_until};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A node that is told to end has so long.
const LAST_ANSWERS: Duration = Duration::from_millis(3700);
/// So often a storm of resets strikes.
const STORM: Duration = Duration::from_millis(9);
/// A backend that drains is killed at the end; so long after it was told gone.
const LONGEST_LAG: Duration = Duration::from_millis(100);

/// All that faults can hit.
pub struct Stage {
    pub net: Net,
    /// The clients' machine.
    pub clients: Host,
    pub script: Rc<Script>,
    pub nodes: Rc<Nodes>,
    pub boxes: Vec<Rc<Tally>>,
    pub roster: Rc<Roster>,
    pub etcd: Option<Rc<Etcd>>,
    /// Lag that faults add up to.
    pub lag: Cell<u64>,
}

impl Stage {
    /// What is true of a backend from now on.
    pub fn list(&self, backend: usize, state: State, since: Duration) {
        let Some(tally) = self.boxes.get(backend) else {
            return;
        };
        let line = Line {
            backend,
            address: tally.address,
            zone: if tally.plan.zone == 0 { "a" } else { "b" },
            kind: if self.script.thrift { "t" } else { "m" },
            state,
            since_ms: if since.is_zero() {
                0
            } else {
                (UNIX + since).as_millis()
            },
        };
        if let Some(etcd) = &self.etcd {
            etcd.put(
                backend,
                state,
                (state != State::Terminated).then(|| line.json()),
            );
        }
        self.roster.change(&line);
    }

    /// Starts a backend that joins in the course of the night, cold.
    pub async fn join(self: Rc<Self>, backend: usize) {
        let Some(tally) = self.boxes.get(backend).cloned() else {
            return;
        };
        sleep_until(self.net.at(Duration::from_millis(tally.plan.from_ms))).await;
        if tally.start(true) {
            self.list(backend, State::InService, self.net.now());
        }
    }

    /// Carries a fault out.
    pub async fn strike(self: Rc<Self>, fault: Fault) {
        sleep_until(self.net.at(Duration::from_millis(fault.at_ms))).await;
        let span = Duration::from_millis(fault.for_ms);
        let until = Some(self.net.now() + span);
        self.net.trace.step(
            self.net.now(),
            "fault",
            format_args!("{:?} for {} ms", fault.what, fault.for_ms),
        );
        let nodes = &self.nodes;
        let there = |backend: usize| self.boxes.get(backend).cloned();
        match fault.what {
            What::KillNode(node) if node < nodes.count() => {
                nodes.keep_down(node);
                nodes.kill(node).await;
                sleep(span).await;
                nodes.release(node);
            }
            What::StopNode(node) if node < nodes.count() => {
                nodes.keep_down(node);
                if !nodes.stop(node, LAST_ANSWERS).await {
                    self.nodes_slow(node);
                }
                sleep(span).await;
                nodes.release(node);
            }
            What::Reload(node) if node < nodes.count() => nodes.reload(node),
            What::Descriptors { node, left } if node < nodes.count() => {
                let host = nodes.host(node);
                let before = self.net.with(host, |m| {
                    std::mem::replace(&mut m.descriptors, m.open + left)
                });
                nodes.excuse(node, self.net.now() + span + Duration::from_millis(200));
                sleep(span).await;
                self.net.with(host, |machine| machine.descriptors = before);
            }
            What::RosterSilent(node) => self.roster.silence(node, self.net.now() + span),
            What::Lag(more) => {
                self.add_lag(more as i64);
                sleep(span).await;
                self.add_lag(-(more as i64));
            }
            What::Slow(factor) => {
                self.net.slow(factor as f64);
                sleep(span).await;
                self.net.slow(1.0);
            }
            What::EtcdCompacts => self.etcd.iter().for_each(|etcd| etcd.compact()),
            What::EtcdStalls => self
                .etcd
                .iter()
                .for_each(|etcd| etcd.stall(self.net.now() + span)),
            What::Drain(backend) => self.drain(backend, span).await,
            What::Replace { backend, successor } => {
                // The successor joins by its own plan, at an address of its own.
                let _ = successor;
                self.drain(backend, span).await;
            }
            What::Crash(backend) => {
                let Some(tally) = there(backend).filter(|tally| tally.is_up()) else {
                    return;
                };
                tally.die().await;
                sleep(span).await;
                self.list(backend, State::Terminated, Duration::ZERO);
            }
            What::Resets { backend, permille } => {
                let Some(tally) = there(backend) else { return };
                self.storm(tally.host, None, permille, span).await;
            }
            What::FrontResets { node, permille } if node < nodes.count() => {
                let clients = self.clients;
                self.storm(nodes.host(node), Some(clients), permille, span)
                    .await;
            }
            What::FrontCuts { node, permille } if node < nodes.count() => {
                self.net
                    .cuts(nodes.host(node), permille, self.net.now() + span);
            }
            What::CutOff(node) if node < nodes.count() => {
                // Who asks meanwhile is not heard; what it had taken may be answered late.
                nodes.excuse(node, self.net.now() + span + Duration::from_millis(1300));
                self.net.silence(nodes.host(node), self.net.now() + span);
            }
            What::Silent(backend) => {
                if let Some(tally) = there(backend) {
                    self.net.silence(tally.host, self.net.now() + span);
                }
            }
            What::Deaf(backend) => {
                if let Some(tally) = there(backend) {
                    self.net
                        .with(tally.host, |machine| machine.deaf_until = until);
                }
            }
            What::Refuse(backend) => {
                if let Some(tally) = there(backend) {
                    self.net
                        .with(tally.host, |machine| machine.refuses_until = until);
                }
            }
            What::Full(backend) => {
                if let Some(tally) = there(backend) {
                    self.net
                        .with(tally.host, |machine| machine.full_until = until);
                }
            }
            What::Cuts { backend, permille } => {
                if let Some(tally) = there(backend) {
                    self.net.cuts(tally.host, permille, self.net.now() + span);
                }
            }
            What::Choke { backend, factor } => {
                self.trouble(backend, span, |t| t.slower = factor).await
            }
            What::Spoils { backend, permille } => {
                self.trouble(backend, span, |t| t.spoils = permille).await
            }
            What::Behind { backend, permille } => {
                self.trouble(backend, span, |t| t.behind = permille).await
            }
            What::Errors { backend, permille } => {
                self.trouble(backend, span, |t| t.errors = permille).await
            }
            What::Rejects { backend, permille } => {
                self.trouble(backend, span, |t| t.rejects = permille).await
            }
            // A node that the script no longer has.
            What::KillNode(_)
            | What::StopNode(_)
            | What::Reload(_)
            | What::Descriptors { .. }
            | What::FrontResets { .. }
            | What::FrontCuts { .. }
            | What::CutOff(_) => {}
        }
    }

    /// Resets connections again and again.
    async fn storm(&self, host: Host, with: Option<Host>, permille: u64, span: Duration) {
        let end = self.net.now() + span;
        loop {
            let count = self.net.reset_some(host, with, permille);
            if count > 0 {
                self.net
                    .step(host, format_args!("{count} connections are reset"));
            }
            if self.net.now() >= end {
                return;
            }
            sleep(STORM).await;
        }
    }

    fn nodes_slow(&self, node: usize) {
        self.net.step(
            self.nodes.host(node),
            format_args!("had not ended in time and is killed"),
        );
    }

    fn add_lag(&self, more: i64) {
        self.lag.set(self.lag.get().saturating_add_signed(more));
        self.roster
            .set_lag(Duration::from_millis(self.script.lag_ms + self.lag.get()));
    }

    async fn trouble(
        &self,
        backend: usize,
        span: Duration,
        change: impl Fn(&mut crate::parties::boxes::Trouble),
    ) {
        let Some(tally) = self.boxes.get(backend) else {
            return;
        };
        let mut trouble = tally.trouble.get();
        change(&mut trouble);
        tally.trouble.set(trouble);
        sleep(span).await;
        tally.trouble.set(Default::default());
    }

    /// A backend drains, finishes what it has, and is gone after the time.
    async fn drain(&self, backend: usize, span: Duration) {
        let Some(tally) = self.boxes.get(backend).filter(|tally| tally.is_up()) else {
            return;
        };
        self.list(backend, State::Terminating, Duration::ZERO);
        sleep(span).await;
        self.list(backend, State::Terminated, Duration::ZERO);
        sleep(LONGEST_LAG).await;
        tally.die().await;
    }
}
