//! The list of servers: what is taken in, and when it is asked for.

use super::*;

impl Balancer {
    pub(super) fn on_list(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>) {
        if kind == EndpointUpdate::Failed {
            self.ask_wait = (2 * self.ask_wait).clamp(ASK_AGAIN / 2, ASK_AGAIN);
            self.ask_at = Some(self.now + self.ask_wait.mul_f64(0.5 + self.random() / 2.0));
            return;
        }
        if kind != EndpointUpdate::Cached {
            (self.ask_at, self.ask_wait) = (None, Duration::ZERO);
        }
        // Should this list say that all have started anew.
        self.carried_warm = self.carried_by_warm().or(self.carried_warm);
        // One newly listed or restarted has the usual estimate: at zero all nodes would join it at once.
        let near = self.enough().min(self.order.len());
        let count = self
            .ring()
            .take(near)
            .map(|id| self.servers[&id].count)
            .sum::<u32>()
            / near.max(1) as u32;
        if kind != EndpointUpdate::Incremental {
            self.servers
                .values_mut()
                .for_each(|s| s.entry.state = ServerState::Removed);
            self.order.clear();
        }
        for entry in entries {
            let old = self.servers.remove(&entry.id).unwrap_or_default();
            let same = old.entry.id == entry.id && old.entry.started_at == entry.started_at;
            let new = Server {
                out: old.out,
                count,
                ..Server::default()
            };
            if entry.state != ServerState::Removed {
                self.servers.insert(
                    entry.id,
                    Server {
                        entry,
                        ..if same { old } else { new }
                    },
                );
            }
            match (
                self.order
                    .binary_search_by_key(&scatter(entry.id), |id| scatter(*id)),
                entry.state,
            ) {
                (Err(at), ServerState::Ready) => self.order.insert(at, entry.id),
                (Ok(at), state) if state != ServerState::Ready => drop(self.order.remove(at)),
                _ => {}
            }
        }
        if kind != EndpointUpdate::Incremental {
            self.servers
                .retain(|_, s| s.entry.state != ServerState::Removed);
        }
    }

    /// Where the list must be asked for: asks when it is time, and again if no answer came.
    pub(super) fn on_tick(&mut self, actions: &mut Vec<Action>) {
        if self.ask_at.is_some_and(|at| self.now >= at) {
            actions.push(Action::WatchEndpoints { on: true });
            self.ask_at = Some(self.now + self.settings.safety.max_poll_interval / 2);
        }
        let after = (self.settings.safety.max_poll_interval / 64).min(ASK_AGAIN / 8);
        actions.push(Action::SetTimer { after, token: TICK });
    }
}
