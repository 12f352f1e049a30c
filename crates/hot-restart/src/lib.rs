//! Two processes of one node, side by side while one takes the other's place: what each may hold, so that together they
//! keep the node's limits. Events in, shares out; no I/O. The older process tells the newer one, over a connection whose
//! end says that the teller is gone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// What a process holds, or may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Clients' connections.
    pub clients: usize,
    /// Connections to backends.
    pub backends: usize,
    /// Bytes of bodies.
    pub bytes: usize,
}

impl Holding {
    fn each(self, other: Self, with: impl Fn(usize, usize) -> usize) -> Self {
        Holding {
            clients: with(self.clients, other.clients),
            backends: with(self.backends, other.backends),
            bytes: with(self.bytes, other.bytes),
        }
    }

    /// Half of each.
    pub fn half(self) -> Self {
        self.each(self, |amount, _| amount / 2)
    }
}

/// What happens between the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process that was here before lives.
    Older,
    /// What it may hold.
    OlderHolds(Holding),
    /// It is gone, in whatever way.
    OlderGone,
    /// A process has come to take this one's place.
    Newer,
    /// It is gone.
    NewerGone,
    /// This process is told to end: it takes nothing new.
    Stop,
}

/// One process's view of what the two may hold.
#[derive(Clone, Debug)]
pub struct Shares {
    /// What the node may hold while one process is alone.
    alone: Holding,
    /// What both may hold together: a second process takes some for itself.
    together: Holding,
    older: Option<Option<Holding>>,
    newer: bool,
    stopping: bool,
    /// What the newer one was last told.
    promised: Option<Holding>,
}

impl Shares {
    /// A process that has just started. `second` is what a second process takes for itself, whatever it holds.
    pub fn new(alone: Holding, second: Holding) -> Self {
        let together = alone.each(second, usize::saturating_sub);
        Shares {
            alone,
            together,
            older: None,
            newer: false,
            stopping: false,
            promised: None,
        }
    }

    /// Takes in what happened.
    pub fn handle(&mut self, event: Event) {
        match event {
            Event::Older => self.older = Some(None),
            Event::OlderHolds(holding) => self.older = self.older.map(|_| Some(holding)),
            Event::OlderGone => self.older = None,
            Event::Newer => (self.newer, self.promised) = (true, None),
            Event::NewerGone => (self.newer, self.promised) = (false, None),
            Event::Stop => self.stopping = true,
        }
    }

    /// What this process may hold, where it holds `held`. It closes nothing for it; it takes nothing beyond it.
    pub fn may_hold(&self, held: Holding) -> Holding {
        let mine = match self.older {
            None if !self.newer => return self.alone,
            None => self.together,
            // Nothing before the first word.
            Some(None) => Holding::default(),
            Some(Some(older)) => self.together.each(older, usize::saturating_sub),
        };
        if !self.newer {
            return mine;
        }
        if !self.stopping {
            return mine.half().each(held, usize::max);
        }
        // What the newer one was told is never taken back: told to end, this one holds ever less of it. Each client may
        // still ask once, on a backend's connection.
        let last = self.promised.unwrap_or(held);
        let bytes = if held.clients > 0 {
            last.bytes
        } else {
            held.bytes
        };
        let needs = Holding {
            clients: held.clients,
            backends: held.clients.max(held.backends),
            bytes,
        };
        needs.each(last, usize::min).each(held, usize::max)
    }

    /// What the newer process is told.
    pub fn told(&mut self, held: Holding) -> Holding {
        let may = self.may_hold(held);
        // A share that shrinks under what is held counts as that until it is let go.
        let told = may.each(held, usize::max);
        self.promised = Some(told);
        told
    }
}

const WORD: &str = "sillward-holds";
const VERSION: u32 = 1;
/// No line is longer.
pub const LONGEST_LINE: usize = 128;

/// The line that says so.
pub fn line(holding: Holding) -> String {
    let Holding {
        clients,
        backends,
        bytes,
    } = holding;
    format!("{WORD} {VERSION} {clients} {backends} {bytes}\n")
}

/// Reads a line; `None` if it is none of this version, or not whole.
pub fn read(line: &str) -> Option<Holding> {
    let mut words = line.strip_suffix('\n')?.split(' ');
    (words.next()? == WORD && words.next()? == VERSION.to_string()).then_some(())?;
    let mut number = || words.next()?.parse().ok();
    let holding = Holding {
        clients: number()?,
        backends: number()?,
        bytes: number()?,
    };
    words.next().is_none().then_some(holding)
}

#[cfg(test)]
mod tests {
    use super::*;

    const ALONE: Holding = Holding {
        clients: 100,
        backends: 80,
        bytes: 1000,
    };
    const SECOND: Holding = Holding {
        clients: 0,
        backends: 20,
        bytes: 200,
    };

    fn holding(clients: usize, backends: usize, bytes: usize) -> Holding {
        Holding {
            clients,
            backends,
            bytes,
        }
    }

    fn fits(one: Holding, other: Holding) -> bool {
        one.clients + other.clients <= ALONE.clients
            && one.backends + other.backends <= ALONE.backends - SECOND.backends
            && one.bytes + other.bytes <= ALONE.bytes - SECOND.bytes
    }

    #[test]
    fn alone_a_process_may_hold_all() {
        let shares = Shares::new(ALONE, SECOND);
        assert_eq!(shares.may_hold(holding(3, 3, 3)), ALONE);
    }

    /// Over all orders of what can happen, with what both hold drifting up to what they may: never more than the limits,
    /// once the older one holds no more than both may.
    #[test]
    fn together_they_keep_the_limits_in_every_order() {
        let mut seen = 0;
        for code in 0..6_usize.pow(6) {
            let (mut old, mut new) = (Shares::new(ALONE, SECOND), Shares::new(ALONE, SECOND));
            // The older one held this much when the newer came: at most what both may.
            let mut old_holds = holding(code % 101, code % 61, code % 801);
            let mut new_holds = Holding::default();
            old.handle(Event::Newer);
            new.handle(Event::Older);
            let (mut old_lives, mut new_lives) = (true, true);
            for step in 0..6 {
                match code / 6_usize.pow(step) % 6 {
                    0 if old_lives && new_lives => {
                        new.handle(Event::OlderHolds(old.told(old_holds)))
                    }
                    1 if old_lives => old.handle(Event::Stop),
                    // A stopping process lets go; what it held is told later.
                    2 if old_lives && old.stopping => old_holds = old_holds.half(),
                    3 if old_lives => {
                        old_holds = old_holds.each(old.may_hold(old_holds), usize::max)
                    }
                    4 if new_lives => {
                        new_holds = new_holds.each(new.may_hold(new_holds), usize::max)
                    }
                    5 if old_lives && code % 7 == 0 => {
                        (old_lives, old_holds) = (false, Holding::default());
                        new.handle(Event::OlderGone);
                    }
                    5 if new_lives && code % 7 == 1 => {
                        (new_lives, new_holds) = (false, Holding::default());
                        old.handle(Event::NewerGone);
                    }
                    _ => continue,
                }
                if old_lives && new_lives && fits(old_holds, Holding::default()) {
                    assert!(
                        fits(old_holds, new_holds),
                        "{code}: {old_holds:?} {new_holds:?}"
                    );
                    seen += 1;
                }
            }
        }
        assert!(seen > 10_000, "{seen}");
    }

    #[test]
    fn the_newer_grows_as_the_older_lets_go_and_has_all_when_it_is_gone() {
        let mut new = Shares::new(ALONE, SECOND);
        new.handle(Event::Older);
        assert_eq!(new.may_hold(Holding::default()), Holding::default());
        new.handle(Event::OlderHolds(holding(60, 40, 500)));
        assert_eq!(new.may_hold(Holding::default()), holding(40, 20, 300));
        new.handle(Event::OlderHolds(holding(10, 5, 0)));
        assert_eq!(new.may_hold(Holding::default()), holding(90, 55, 800));
        new.handle(Event::OlderGone);
        assert_eq!(new.may_hold(Holding::default()), ALONE);
    }

    #[test]
    fn a_newer_one_that_dies_leaves_the_older_as_it_was() {
        let mut old = Shares::new(ALONE, SECOND);
        old.handle(Event::Newer);
        assert_eq!(old.may_hold(holding(10, 10, 10)), holding(50, 30, 400));
        assert_eq!(
            old.told(holding(70, 10, 10)),
            holding(70, 30, 400),
            "it keeps what it held"
        );
        old.handle(Event::Stop);
        assert_eq!(
            old.may_hold(holding(7, 3, 5)),
            holding(7, 7, 400),
            "at its end, what its clients may still need"
        );
        assert_eq!(old.may_hold(holding(0, 3, 5)), holding(0, 3, 5));
        old.handle(Event::NewerGone);
        assert_eq!(old.may_hold(holding(7, 6, 5)), ALONE);
    }

    #[test]
    fn a_line_reads_as_it_was_written_and_none_cut_or_changed_does() {
        let text = line(holding(12, 34, 56));
        assert!(
            text.len() <= LONGEST_LINE
                && line(holding(usize::MAX, usize::MAX, usize::MAX)).len() <= LONGEST_LINE
        );
        assert_eq!(read(&text), Some(holding(12, 34, 56)));
        for cut in 0..text.len() {
            assert_eq!(read(&text[..cut]), None, "cut at {cut}");
        }
        for bad in [
            "sillward-holds 2 1 1 1\n",
            "sillward-holds 1 1 1 1 1\n",
            "sillward-holds 1 1 -1 1\n",
            "x\n",
            "\n",
        ] {
            assert_eq!(read(bad), None, "{bad:?}");
        }
    }
}
