//! A fleet of members on the virtual clock: the shipped membership and links, without the rest of the node, at sizes that
//! loopback does not carry. What is measured is read off what members know and what the network carried.

use crate::dice::Dice;
use crate::net::{Host, Net, Way};
use crate::parties::nodes::UNIX;
use crate::scoped::Scoped;
use crate::trace::Trace;
use sillward_membership::{Incarnation, MemberState, MembershipStatus, Name, NodeMetadata};
use sillward_peer_transport::envelope::Keys;
use sillward_peer_transport::{PeerTransport, TransportSettings};
use sillward_runtime::time::sleep;
use sillward_runtime::{Clock, task};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

const LOOK: Duration = Duration::from_millis(20);
/// No phase lasts longer.
const LONGEST: Duration = Duration::from_secs(120);
const SEEDS: usize = 3;

/// A fleet to be measured.
#[derive(Clone, Debug)]
pub struct Size {
    /// Members.
    pub nodes: usize,
    /// Of all that is drawn.
    pub seed: u64,
    /// Deaths and births, one after the other.
    pub rounds: usize,
    /// Bytes of a frame with its envelope.
    pub frame_bytes: usize,
}

/// What was measured. Times are of the virtual clock.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measured {
    /// From the start of all until all know all.
    pub joined: Option<Duration>,
    /// From each death until 99 % of the living knew it; `None` if they never did.
    pub deaths: Vec<Option<Duration>>,
    /// From each birth until 99 % of the others knew the new life.
    pub births: Vec<Option<Duration>>,
    /// A node and second, in calm: datagrams and their bytes, without the headers of UDP and IP (28 bytes each).
    pub calm: (f64, f64),
    /// The same while members die and are born.
    pub busy: (f64, f64),
    /// The same over the ten seconds after a third that was cut off for 20 s is back.
    pub healing: (f64, f64),
    /// From the end of the cut until all agree.
    pub healed: Option<Duration>,
    /// How often a member that lived and could be reached was called gone.
    pub alarms: u64,
    /// Steps of the run and the hash over them.
    pub steps: u64,
    /// See there.
    pub hash: u64,
}

struct Member {
    host: Host,
    fleet: Rc<RefCell<Option<Rc<PeerTransport>>>>,
    process: RefCell<Option<JoinHandle<()>>>,
}

struct World {
    net: Net,
    size: Size,
    members: Vec<Member>,
}

fn address(number: usize) -> SocketAddr {
    (
        [127, 4, (number / 200) as u8, (number % 200) as u8 + 1],
        7946,
    )
        .into()
}

fn name(number: usize) -> Option<Name> {
    Name::new(&format!("n{number}"))
}

impl World {
    fn start(&self, number: usize) {
        let member = &self.members[number];
        let Some(name) = name(number) else { return };
        let zone = number % 3;
        let terms = TransportSettings {
            fleet: "size".to_owned(),
            keys: Keys::derive(b"a key of a simulated fleet, 32 bytes or more"),
            name,
            listen: address(number),
            advertise: None,
            seeds: (0..SEEDS.min(self.size.nodes)).map(address).collect(),
            metadata: NodeMetadata {
                zone: format!("z{zone}"),
                region: "jateng".to_owned(),
                build: "0.1.0".to_owned(),
                capabilities: vec!["fleet1".to_owned()],
            },
            max_frame_bytes: self.size.frame_bytes,
            max_connections: 128,
            state_dir: Some("fleet".into()),
            membership: sillward_membership::MembershipSettings::default(),
        };
        self.net.with(member.host, |machine| machine.dying = false);
        let (slot, net) = (member.fleet.clone(), self.net.clone());
        let program = async move {
            let (fleet, listening) = PeerTransport::start(terms, Clock::start())
                .await
                .map_err(|e| e.to_string())?;
            *slot.borrow_mut() = Some(fleet.clone());
            fleet.run(listening, std::future::pending()).await;
            Ok(())
        };
        let now: Rc<dyn Fn() -> Duration> = Rc::new(move || net.now());
        let program = Scoped::new(self.net.world(member.host, UNIX), program, now);
        *member.process.borrow_mut() = Some(spawn_local(async move { drop(program.await) }));
    }

    async fn kill(&self, number: usize) {
        let member = &self.members[number];
        self.net.with(member.host, |machine| machine.dying = true);
        member.fleet.borrow_mut().take();
        if let Some(process) = member.process.borrow_mut().take() {
            process.abort();
        }
        task::yield_now().await;
    }

    fn fleet(&self, number: usize) -> Option<Rc<PeerTransport>> {
        self.members[number].fleet.borrow().clone()
    }

    fn life(&self, number: usize) -> Option<Incarnation> {
        self.fleet(number).map(|fleet| fleet.incarnation())
    }

    /// The share of the living but `of` that hold it to be what `is` says.
    fn share(&self, of: usize, is: impl Fn(Option<(MemberState, Incarnation)>) -> bool) -> f64 {
        let Some(of_name) = name(of) else { return 0.0 };
        let (mut yes, mut all) = (0, 0);
        for (number, member) in self
            .members
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != of)
        {
            let Some(fleet) = &*member.fleet.borrow() else {
                continue;
            };
            let said = fleet
                .with_membership(|peers| peers.member(&of_name).map(|m| (m.state, m.incarnation)));
            all += 1;
            yes += usize::from(is(said));
            debug_assert!(number < self.members.len());
        }
        f64::from(yes as u32) / f64::from(all.max(1) as u32)
    }

    async fn until(&self, is: impl Fn() -> bool) -> Option<Duration> {
        let begun = self.net.now();
        while !is() {
            if self.net.now() - begun > LONGEST {
                return None;
            }
            sleep(LOOK).await;
        }
        Some(self.net.now() - begun)
    }

    /// All that live know all that live, in the lives that they are in, and hold nobody else to live.
    fn agreed(&self) -> bool {
        let living: Vec<(usize, Rc<PeerTransport>)> = (0..self.members.len())
            .filter_map(|number| Some((number, self.fleet(number)?)))
            .collect();
        let Some((_, first)) = living.first() else {
            return true;
        };
        let print = first.with_membership(|peers| peers.digest());
        living.iter().all(|(_, fleet)| {
            fleet.with_membership(|peers| {
                peers.active_count() + 1 == living.len()
                    && peers.digest() == print
                    && peers.status(UNIX + self.net.now()) == MembershipStatus::Joined
            })
        })
    }

    /// What all have sent: datagrams as the network saw them, and what links carried as those say who live.
    fn posted(&self) -> (u64, u64) {
        let posted = self.members.iter().enumerate().map(|(number, member)| {
            let (frames, bytes) = self.net.posted(member.host);
            let sent = self
                .fleet(number)
                .map(|fleet| fleet.sent())
                .unwrap_or_default();
            (frames + sent.messages, bytes + sent.message_bytes)
        });
        posted.fold((0, 0), |(a, b), (c, d)| (a + c, b + d))
    }

    /// A node and second, since `before`, `since`.
    fn rate(&self, before: (u64, u64), since: Duration) -> (f64, f64) {
        let after = self.posted();
        let over = (self.net.now() - since).as_secs_f64() * self.members.len() as f64;
        (
            after.0.saturating_sub(before.0) as f64 / over,
            after.1.saturating_sub(before.1) as f64 / over,
        )
    }

    /// Members that live and were called gone, since the start, but for those that were meant to be.
    fn alarms(&self) -> u64 {
        let living = (0..self.members.len()).filter_map(|number| self.fleet(number));
        living
            .map(|fleet| {
                fleet.with_membership(|peers| peers.counters().incarnations.saturating_sub(1))
            })
            .sum()
    }
}

/// Measures a fleet.
///
/// # Errors
/// The runtime could not be started.
pub fn measure(size: &Size) -> std::io::Result<Measured> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    let tasks = LocalSet::new();
    let measured = tasks.block_on(&runtime, run(size.clone()));
    runtime.block_on(async { drop(tasks) });
    Ok(measured)
}

async fn run(size: Size) -> Measured {
    let trace = Rc::new(Trace::new(false));
    let net = Net::new(size.seed, trace.clone());
    spawn_local(net.clone().drive());
    let members = (0..size.nodes).map(|number| Member {
        host: net.machine(&format!("n{number}"), (number % 3) as u8, 512),
        fleet: Rc::default(),
        process: RefCell::default(),
    });
    let members = members.collect();
    let mut dice = Dice::of(size.seed, "fleet", 0);
    let world = World {
        net: net.clone(),
        size: size.clone(),
        members,
    };
    let mut measured = Measured::default();
    (0..size.nodes).for_each(|number| world.start(number));
    sleep(LOOK).await;
    measured.joined = world.until(|| world.agreed()).await;

    // What still goes round of the start is over by then.
    sleep(Duration::from_secs(10)).await;
    let (before, since) = (world.posted(), net.now());
    sleep(Duration::from_secs(20)).await;
    measured.calm = world.rate(before, since);

    let (before, since) = (world.posted(), net.now());
    for _ in 0..size.rounds {
        let one = dice.within(0..size.nodes as u64) as usize;
        let Some(life) = world.life(one) else {
            continue;
        };
        world.kill(one).await;
        let ended = |said: Option<(MemberState, Incarnation)>| {
            said.is_none_or(|(state, known)| known == life && !state.is_active())
        };
        measured
            .deaths
            .push(world.until(|| world.share(one, ended) >= 0.99).await);
        sleep(Duration::from_secs(2)).await;
        world.start(one);
        sleep(Duration::from_millis(1)).await;
        let born = |said: Option<(MemberState, Incarnation)>| {
            said.is_some_and(|(state, known)| state.is_active() && Some(known) == world.life(one))
        };
        measured
            .births
            .push(world.until(|| world.share(one, born) >= 0.99).await);
        sleep(Duration::from_secs(2)).await;
    }
    measured.busy = world.rate(before, since);
    measured.alarms = world.alarms();

    // A third is cut off from the rest, and back.
    let over = net.now() + Duration::from_secs(20);
    let hosts: Vec<Host> = world.members.iter().map(|member| member.host).collect();
    for (a, one) in hosts.iter().enumerate() {
        for (b, other) in hosts.iter().enumerate() {
            if (a % 3 == 0) != (b % 3 == 0) {
                net.cut_way(*one, *other, over);
            }
        }
    }
    sleep(Duration::from_secs(20)).await;
    let (before, since) = (world.posted(), net.now());
    measured.healed = world.until(|| world.agreed()).await;
    sleep(Duration::from_secs(10).saturating_sub(net.now() - since)).await;
    measured.healing = world.rate(before, since);
    net.usual_way(Way::default());
    (measured.steps, measured.hash) = (trace.steps(), trace.hash());
    measured
}
