//! Where a node stands between its start and its end, and what follows from that: what it says of itself, whether an
//! answer ends its connection, when idle connections are closed. Events come with their time; nothing here waits,
//! reads a clock or opens a socket.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::time::Duration;

/// What happens to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It knows enough of its backends to serve.
    Listed,
    /// An operator takes it out of service.
    OutOfService,
    /// An operator puts it back.
    InService,
    /// It is told to end.
    Stop,
}

/// What an operator hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It is so, now or as before.
    Yes,
    /// It can't be done any more: the node is leaving.
    Leaving,
}

/// Times that the platform sets.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// New connections go on coming for so long after the node says that it is not ready, and a client that has one
    /// goes on using it: no idle connection is closed before.
    pub front: Duration,
}

/// A node's standing.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    terms: Terms,
    listed: bool,
    /// Since when it is out of service.
    out: Option<Duration>,
    /// Since when it is leaving.
    leaving: Option<Duration>,
}

impl Lifecycle {
    /// A node that has just started.
    pub fn new(terms: Terms) -> Self {
        Lifecycle {
            terms,
            listed: false,
            out: None,
            leaving: None,
        }
    }

    /// Takes in what happened at `now`. What is told twice changes nothing the second time.
    pub fn handle(&mut self, now: Duration, event: Event) -> Said {
        match event {
            Event::Listed => self.listed = true,
            Event::OutOfService => drop(self.out.get_or_insert(now)),
            Event::InService if self.leaving.is_some() => return Said::Leaving,
            Event::InService => self.out = None,
            Event::Stop => drop(self.leaving.get_or_insert(now)),
        }
        Said::Yes
    }

    /// What the front that deals out clients hears: whether to send any.
    pub fn healthy(&self) -> bool {
        self.listed && !self.parting()
    }

    /// What operators hear: whether this process can serve. One out of service can, and is told not to.
    pub fn can_serve(&self) -> bool {
        self.listed && self.leaving.is_none()
    }

    /// Whether every answer is its connection's last.
    pub fn parting(&self) -> bool {
        self.out.is_some() || self.leaving.is_some()
    }

    /// Whether idle connections are to close. Before, new ones still come with their requests on the way.
    pub fn idle_may_close(&self, now: Duration) -> bool {
        let since = [self.out, self.leaving].into_iter().flatten().min();
        since.is_some_and(|since| now >= since + self.terms.front)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FRONT: Duration = Duration::from_millis(450);

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn listed() -> Lifecycle {
        let mut node = Lifecycle::new(Terms { front: FRONT });
        assert!(!node.healthy() && !node.can_serve(), "nothing is known yet");
        node.handle(at(0), Event::Listed);
        assert!(node.healthy() && node.can_serve() && !node.parting());
        node
    }

    #[test]
    fn out_of_service_says_no_at_once_and_closes_idle_connections_only_after_the_front_has_heard() {
        let mut node = listed();
        assert_eq!(node.handle(at(1000), Event::OutOfService), Said::Yes);
        assert!(
            !node.healthy() && node.parting(),
            "clients are sent elsewhere, each answer is the last"
        );
        assert!(node.can_serve(), "the process itself is sound");
        assert!(!node.idle_may_close(at(1449)));
        assert!(node.idle_may_close(at(1450)));
    }

    #[test]
    fn the_call_twice_does_not_begin_the_drain_again() {
        let mut node = listed();
        node.handle(at(1000), Event::OutOfService);
        assert_eq!(node.handle(at(1400), Event::OutOfService), Said::Yes);
        assert!(node.idle_may_close(at(1450)), "counted from the first call");
    }

    #[test]
    fn back_in_service_is_ready_at_once_even_within_the_fronts_time() {
        let mut node = listed();
        node.handle(at(1000), Event::OutOfService);
        assert_eq!(node.handle(at(1100), Event::InService), Said::Yes);
        assert!(node.healthy() && !node.parting());
        assert!(
            !node.idle_may_close(at(9000)),
            "nothing of the drain is left"
        );
        node.handle(at(9000), Event::OutOfService);
        assert!(
            !node.idle_may_close(at(9449)),
            "a second drain has its own time"
        );
    }

    #[test]
    fn who_leaves_does_not_come_back() {
        let mut node = listed();
        node.handle(at(1000), Event::OutOfService);
        node.handle(at(1200), Event::Stop);
        assert_eq!(node.handle(at(1300), Event::InService), Said::Leaving);
        assert!(!node.healthy() && !node.can_serve() && node.parting());
        assert!(node.idle_may_close(at(1450)), "the drain had begun before");
    }

    /// Over all orders of four events: a node is healthy only if it knows backends and nothing has taken it out.
    #[test]
    fn no_order_of_events_leaves_a_node_healthy_that_is_out_or_leaving() {
        let events = [
            Event::Listed,
            Event::OutOfService,
            Event::InService,
            Event::Stop,
        ];
        for code in 0..4_usize.pow(6) {
            let mut node = Lifecycle::new(Terms { front: FRONT });
            let (mut listed, mut out, mut leaving) = (false, false, false);
            for step in 0..6 {
                let event = events[code / 4_usize.pow(step) % 4];
                node.handle(at(step.into()), event);
                match event {
                    Event::Listed => listed = true,
                    Event::OutOfService => out = true,
                    Event::InService => out &= leaving,
                    Event::Stop => leaving = true,
                }
                assert_eq!(node.healthy(), listed && !out && !leaving, "{code} {step}");
                assert_eq!(node.can_serve(), listed && !leaving, "{code} {step}");
                assert_eq!(node.parting(), out || leaving, "{code} {step}");
            }
        }
    }
}
