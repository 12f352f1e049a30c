//! Datagrams: lost, delayed, doubled, spoilt, overtaking each other; and ways that are cut, one way or both.

use super::{Event, Host, Inner, Net, wake};
use crate::dice::Dice;
use crate::trace::Trace;
use sillward_runtime::simulation::{self, Datagram};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// Datagrams that wait at a socket: about what a kernel's usual buffer holds of small ones.
const WAITING: usize = 256;

/// How datagrams fare from one machine to another. Chances are in a thousand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Way {
    /// Lost.
    pub lost: u64,
    /// There twice.
    pub doubled: u64,
    /// One byte is another.
    pub spoilt: u64,
    /// So much later than the network itself makes it, at least and at most, in milliseconds. What lies between makes them
    /// overtake each other.
    pub late_ms: (u64, u64),
}

#[derive(Default)]
struct Open {
    number: u64,
    waiting: VecDeque<Datagram>,
    waker: Option<Waker>,
}

/// All that has to do with datagrams.
pub struct Post {
    dice: Dice,
    open: BTreeMap<SocketAddr, (Host, Open)>,
    /// Where no other is named.
    usual: Way,
    ways: BTreeMap<(Host, Host), Way>,
    /// From one machine to another nothing passes until then, neither datagrams nor connections.
    cuts: BTreeMap<(Host, Host), Duration>,
    /// Sent by each machine: datagrams and bytes.
    sent: BTreeMap<Host, (u64, u64)>,
}

impl Post {
    pub fn new(seed: u64) -> Self {
        Post {
            dice: Dice::of(seed, "datagrams", 0),
            open: BTreeMap::new(),
            usual: Way::default(),
            ways: BTreeMap::new(),
            cuts: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    /// Until when nothing passes from one to the other, if so.
    pub fn cut(&self, from: Host, to: Host, now: Duration) -> Option<Duration> {
        self.cuts
            .get(&(from, to))
            .copied()
            .filter(|until| *until > now)
    }

    /// A number for a machine.
    pub fn number(&mut self) -> u64 {
        self.dice.within(1..u64::MAX)
    }
}

impl Net {
    /// How datagrams fare from now on, where no way of their own is named.
    pub fn usual_way(&self, way: Way) {
        self.inner.borrow_mut().post.usual = way;
    }

    /// How datagrams fare from one machine to another from now on.
    pub fn way(&self, from: Host, to: Host, way: Way) {
        self.inner.borrow_mut().post.ways.insert((from, to), way);
    }

    /// Cuts the way from one machine to another until then; what comes over connections waits for that.
    pub fn cut_way(&self, from: Host, to: Host, until: Duration) {
        self.inner.borrow_mut().post.cuts.insert((from, to), until);
    }

    /// What a machine has sent in datagrams: their number and their bytes.
    pub fn posted(&self, host: Host) -> (u64, u64) {
        self.inner
            .borrow()
            .post
            .sent
            .get(&host)
            .copied()
            .unwrap_or_default()
    }

    /// Opens a socket for datagrams.
    ///
    /// # Errors
    /// Somebody has that address, or no descriptor is left.
    pub fn datagrams(&self, host: Host, at: SocketAddr) -> io::Result<Mailbox> {
        let mut inner = self.inner.borrow_mut();
        if inner.post.open.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        inner.machines[host.0].take_descriptor()?;
        inner.made += 1;
        let number = inner.made;
        inner.post.open.insert(
            at,
            (
                host,
                Open {
                    number,
                    ..Open::default()
                },
            ),
        );
        Ok(Mailbox {
            net: self.clone(),
            host,
            at,
            number,
        })
    }
}

impl Inner {
    /// A datagram gets to where it leads, if anybody is there.
    pub fn arrive(
        &mut self,
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
        now: Duration,
        trace: &Trace,
    ) {
        let Some((host, open)) = self.post.open.get_mut(&to) else {
            return;
        };
        let machine = &self.machines[host.0];
        if machine.silent_until.is_some_and(|until| until > now) || open.waiting.len() >= WAITING {
            return;
        }
        trace.step(
            now,
            &machine.name,
            format_args!("gets a datagram of {} from {from}", bytes.len()),
        );
        open.waiting.push_back((bytes, from));
        wake(&mut open.waker);
    }
}

/// A socket for datagrams. Dropped, it closes.
pub struct Mailbox {
    net: Net,
    host: Host,
    at: SocketAddr,
    number: u64,
}

impl simulation::DatagramSocket for Mailbox {
    fn poll_receive(&self, cx: &mut Context<'_>, _: usize) -> Poll<io::Result<Datagram>> {
        let mut inner = self.net.inner.borrow_mut();
        let own = inner
            .post
            .open
            .get_mut(&self.at)
            .filter(|(_, open)| open.number == self.number);
        let Some((_, open)) = own else {
            return Poll::Pending;
        };
        match open.waiting.pop_front() {
            Some(datagram) => Poll::Ready(Ok(datagram)),
            None => {
                open.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let now = self.net.now();
        let mut inner = self.net.inner.borrow_mut();
        let sent = inner.post.sent.entry(self.host).or_default();
        *sent = (sent.0 + 1, sent.1 + bytes.len() as u64);
        let Some(host) = inner.post.open.get(&to).map(|(host, _)| *host) else {
            return Ok(());
        };
        let silent = |host: Host| {
            inner.machines[host.0]
                .silent_until
                .is_some_and(|until| until > now)
        };
        if silent(self.host) || silent(host) || inner.post.cut(self.host, host, now).is_some() {
            return Ok(());
        }
        let way = inner
            .post
            .ways
            .get(&(self.host, host))
            .copied()
            .unwrap_or(inner.post.usual);
        if inner.post.dice.permille(way.lost) {
            return Ok(());
        }
        let copies = if inner.post.dice.permille(way.doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if inner.post.dice.permille(way.spoilt) && !bytes.is_empty() {
                let place = inner.post.dice.within(0..bytes.len() as u64) as usize;
                bytes[place] ^= 1 << inner.post.dice.within(0..8);
            }
            let far = inner.machines[host.0].zone != inner.machines[self.host.0].zone;
            let dice = &mut inner.post.dice;
            let us = if far {
                1400 + dice.within(0..1200)
            } else {
                150 + dice.within(0..400)
            };
            let late =
                way.late_ms.0 * 1000 + dice.within(0..(way.late_ms.1 - way.late_ms.0) * 1000 + 1);
            let slow = inner.slow;
            let at = now + Duration::from_micros(us).mul_f64(slow) + Duration::from_micros(late);
            self.net.push(
                &mut inner,
                at,
                Event::Datagram {
                    to,
                    from: self.at,
                    bytes,
                },
            );
        }
        Ok(())
    }

    fn address(&self) -> SocketAddr {
        self.at
    }
}

impl Drop for Mailbox {
    fn drop(&mut self) {
        let mut inner = self.net.inner.borrow_mut();
        inner.machines[self.host.0].open -= 1;
        if inner
            .post
            .open
            .get(&self.at)
            .is_some_and(|(_, open)| open.number == self.number)
        {
            inner.post.open.remove(&self.at);
        }
    }
}
