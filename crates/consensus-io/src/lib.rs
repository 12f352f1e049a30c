//! What carries the agreement between the fleet's processes and to the disk: [`sillward_consensus`] decides, this does. One
//! loop takes all that comes, in its order; nothing is decided where it comes in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod page;

use prost::Message;
use sillward_consensus::Terms as Times;
use sillward_consensus::kept::{FILE, Kept, MOST};
use sillward_consensus::node::{self, Node};
use sillward_consensus::voter::{self, MOST_PROPOSAL, Voter};
use sillward_consensus::words::{Answer, Ask, Fetch, Long, Proposal, Sealed, Word};
use sillward_fleet_settings::{History, Key, Reading, Rules, Standing, Version};
use sillward_logging::log;
use sillward_membership::{MemberState, Name};
use sillward_peer_transport::PeerTransport;
use sillward_peer_transport::send_queue::OutboundMessage;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::sleep_until;
use sillward_runtime::{Clock, files, random};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use xxhash_rust::xxh3::xxh3_64;

/// Topics on the fleet's links: words in datagrams, voters among themselves, and what is too long for a datagram.
const WORDS: u32 = 2;
const BETWEEN: u32 = 3;
const LONGS: u32 = 4;
/// The value by which voters tell how far their log is.
const TOLD: &str = "agreement";
/// What waits to be taken in: an asking of every member and some. What comes beyond that is as if it had been lost.
const MOST_TODO: usize = 8192;
/// The longest versions that go in a datagram, and over a link at once, in bytes.
const SHORT: usize = 1000;
const AT_ONCE: usize = 32 * 1024;
/// Between two tries to hand a proposal in, and how long it is tried.
const HAND_IN: Duration = Duration::from_millis(500);
const TRIED: Duration = Duration::from_secs(10);
/// Proposals of this node's operators that are under way.
const MOST_PENDING: usize = 64;

/// What is agreed on, and among whom.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The log's name.
    pub log: String,
    /// Its voters, in order.
    pub voters: Vec<Name>,
    /// Where a voter keeps its part.
    pub folder: Option<PathBuf>,
    /// Times.
    pub times: Times,
}

impl Terms {
    /// The log's number: nodes that name another log, or other voters, do not understand each other.
    pub fn number(&self) -> u64 {
        let mut text = self.log.clone();
        self.voters.iter().for_each(|name| {
            text.push('\n');
            text.push_str(name.as_str());
        });
        xxh3_64(text.as_bytes())
    }

    /// The place of a voter, from 1 on.
    pub fn place(&self, name: &Name) -> Option<usize> {
        Some(1 + self.voters.iter().position(|voter| voter == name)?)
    }
}

/// Founds a voter's folder: once, by an operator. Whoever has no file in its folder does not vote, so that one that was lost
/// never votes for a second time.
///
/// # Errors
/// There is a file, or the folder can't be used.
pub fn found(terms: &Terms, name: &Name) -> Result<String, String> {
    let place = terms
        .place(name)
        .ok_or_else(|| format!("{} is no voter of this log", name.as_str()))?;
    let folder = terms
        .folder
        .as_deref()
        .ok_or("agreement.folder: is missing, and a voter needs one")?;
    let path = folder.join(FILE);
    let wrong = |e: std::io::Error| format!("cannot use {}: {e}", path.display());
    files::create_folder(folder).map_err(wrong)?;
    if files::read(&path, 1).map_err(wrong)?.is_some() {
        return Err(format!(
            "{} is there already: nothing was changed",
            path.display()
        ));
    }
    let stamp = random::entropy().map_err(wrong)?;
    let kept = Kept::founded(terms.number(), place as u64, terms.voters.len(), stamp);
    files::write_atomic(&path, &kept.bytes()).map_err(wrong)?;
    Ok(format!(
        "voter {} of log {:?} is founded in {}",
        name.as_str(),
        terms.log,
        folder.display()
    ))
}

enum Todo {
    Ask(Name, Ask),
    Answer(usize, Answer),
    Fetch(Name, SocketAddr, Fetch),
    Between(usize, Sealed),
    Versions(Vec<Version>),
    Propose(Proposal),
    HeardOf(u64),
}

/// A proposal of this node's operators, until it is in the log or never will be.
struct Pending {
    proposal: Proposal,
    since: Duration,
    next: Duration,
}

/// This node's part in the agreement.
pub struct Council {
    clock: Clock,
    fleet: Rc<PeerTransport>,
    terms: Terms,
    number: u64,
    own: Option<usize>,
    node: RefCell<Node>,
    voter: RefCell<Option<Voter>>,
    /// Why this voter's folder is as good as lost, if it is.
    lost: Option<String>,
    todo: RefCell<VecDeque<Todo>>,
    pending: RefCell<Vec<Pending>>,
    sooner: Notify,
    change: Box<dyn Fn(Duration, bool)>,
    slot: Cell<u32>,
    told: Cell<u64>,
    dice: RefCell<random::Random>,
    keep: mpsc::UnboundedSender<(u64, bool)>,
    /// Words sent: askings, answers, between voters, fetches and versions; what there was no room for.
    pub figures: Cell<[u64; 5]>,
}

/// What the loop needs beside.
pub struct Kepts(mpsc::UnboundedReceiver<(u64, bool)>);

impl Council {
    /// Takes up this node's part. `change` is told until when it may be acted on what is
    /// known, and whether that is something else than before: at once, before anybody outside can hear of it.
    ///
    /// # Errors
    /// The folder can't be read, or the system has no random numbers.
    pub fn start(
        fleet: Rc<PeerTransport>,
        clock: Clock,
        terms: Terms,
        change: impl Fn(Duration, bool) + 'static,
    ) -> Result<(Rc<Self>, Kepts), String> {
        let now = clock.now();
        let name = fleet.with_membership(|peers| peers.local().name.clone());
        let (number, own) = (terms.number(), terms.place(&name));
        let draw =
            || random::entropy().map_err(|e| format!("no random numbers for the agreement: {e}"));
        let (run, session) = (draw()?, draw()?);
        let (mut voter, mut lost) = (None, None);
        if let Some(place) = own {
            let folder = terms
                .folder
                .as_deref()
                .ok_or("agreement.folder: is missing, and a voter needs one")?;
            match read(folder, number, place, terms.voters.len())? {
                Ok(kept) => voter = Some(Voter::new(terms.times, kept, run, now)),
                Err(why) => {
                    log(format_args!("this voter does not vote: {why}"));
                    lost = Some(why);
                }
            }
        }
        let node = Node::new(terms.times, number, terms.voters.len(), session, now);
        let (keep, kepts) = mpsc::unbounded_channel();
        let council = Rc::new(Council {
            clock,
            fleet,
            terms,
            number,
            own,
            node: RefCell::new(node),
            voter: RefCell::new(voter),
            lost,
            todo: RefCell::default(),
            pending: RefCell::default(),
            sooner: Notify::new(),
            change: Box::new(change),
            slot: Cell::new(0),
            told: Cell::new(u64::MAX),
            dice: RefCell::new(random::Random::seeded(session)),
            keep,
            figures: Cell::default(),
        });
        council.hear();
        Ok((council, Kepts(kepts)))
    }

    fn hear(self: &Rc<Self>) {
        let own = Rc::downgrade(self);
        self.fleet.on_datagram(WORDS, move |name, address, bytes| {
            let (Some(own), Ok(word)) = (own.upgrade(), Word::decode(bytes)) else {
                return;
            };
            let place = own.terms.place(name);
            if let Some(ask) = word.ask.filter(|ask| ask.log == own.number) {
                own.later(Todo::Ask(name.clone(), ask));
            }
            if let (Some(place), Some(answer)) = (place, word.answer) {
                own.later(Todo::Answer(place - 1, answer));
            }
            if let Some(fetch) = word.fetch.filter(|fetch| fetch.log == own.number) {
                own.later(Todo::Fetch(name.clone(), address, fetch));
            }
            if !word.versions.is_empty() {
                own.long(&word.versions);
            }
        });
        let own = Rc::downgrade(self);
        self.fleet.on_message(BETWEEN, move |name, _, bytes| {
            let Some(own) = own.upgrade() else { return };
            let place = own.terms.place(name);
            if let (Some(place), Some(sealed)) = (place, Sealed::read(bytes)) {
                own.later(Todo::Between(place, sealed));
            }
        });
        let own = Rc::downgrade(self);
        self.fleet.on_message(LONGS, move |_, _, bytes| {
            if let Some(own) = own.upgrade() {
                own.long(bytes);
            }
        });
    }

    fn long(&self, bytes: &[u8]) {
        match Sealed::<Long>::read(bytes)
            .filter(|sealed| sealed.log == self.number)
            .map(|sealed| sealed.word)
        {
            Some(Long::Versions(versions)) => self.later(Todo::Versions(versions)),
            Some(Long::Propose(proposal)) => self.later(Todo::Propose(proposal)),
            None => {}
        }
    }

    fn later(&self, todo: Todo) {
        let mut all = self.todo.borrow_mut();
        if all.len() < MOST_TODO {
            all.push_back(todo);
            self.sooner.notify_one();
        } else {
            self.count(4);
        }
    }

    fn count(&self, which: usize) {
        let mut figures = self.figures.get();
        figures[which] += 1;
        self.figures.set(figures);
    }

    /// Runs until it is told to stop.
    pub async fn run(self: Rc<Self>, kepts: Kepts, stop: impl Future<Output = ()>) {
        let (mut stop, Kepts(mut kepts)) = (pin!(stop), kepts);
        loop {
            let due = self.clock.instant(self.next());
            tokio::select! {
                biased;
                () = &mut stop => return,
                Some((number, done)) = kepts.recv() => self.vote(voter::Event::Kept(number, done)),
                () = self.sooner.notified() => {}
                () = sleep_until(due) => {}
            }
            loop {
                let Some(todo) = self.todo.borrow_mut().pop_front() else {
                    break;
                };
                self.take(todo);
            }
            self.vote(voter::Event::Turn);
            self.know(node::Event::Turn);
            self.hand_in();
        }
    }

    fn next(&self) -> Duration {
        let now = self.clock.now();
        let mut at = self.node.borrow().next(now);
        if let Some(voter) = &*self.voter.borrow() {
            at = at.min(voter.next(now));
        }
        let pending = self
            .pending
            .borrow()
            .iter()
            .map(|pending| pending.next)
            .min();
        at.min(pending.unwrap_or(at))
    }

    fn take(self: &Rc<Self>, todo: Todo) {
        match todo {
            Todo::Ask(name, ask) => self.vote(voter::Event::Ask(name, ask)),
            Todo::Answer(place, answer) => self.know(node::Event::Answer(place, answer)),
            Todo::Between(place, sealed) => self.vote(voter::Event::Between(place, sealed)),
            Todo::Versions(versions) => self.know(node::Event::Versions(versions)),
            Todo::Propose(proposal) => self.vote(voter::Event::Propose(proposal)),
            Todo::HeardOf(newest) => self.know(node::Event::HeardOf(newest)),
            Todo::Fetch(name, address, fetch) => {
                let versions = self.node.borrow().history().after(fetch.after, AT_ONCE);
                if versions.is_empty() {
                    return;
                }
                self.count(3);
                let bytes = Sealed {
                    log: self.number,
                    word: Long::Versions(versions),
                }
                .bytes();
                if bytes.len() <= SHORT {
                    self.word(
                        address,
                        &Word {
                            versions: bytes,
                            ..Word::default()
                        },
                    );
                } else {
                    self.post(&name, address, LONGS, bytes);
                }
            }
        }
    }

    fn word(&self, to: SocketAddr, word: &Word) {
        self.fleet.send_datagram(to, WORDS, word.encode_to_vec());
    }

    fn post(&self, to: &Name, address: SocketAddr, topic: u32, bytes: Vec<u8>) {
        // Each has a slot of its own: none takes another's place.
        let slot = self.slot.get().wrapping_add(1);
        self.slot.set(slot);
        self.fleet
            .send_message(to, address, OutboundMessage { topic, slot, bytes });
    }

    fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.fleet
            .with_membership(|peers| peers.member(name).map(|member| member.address))
    }

    fn vote(self: &Rc<Self>, event: voter::Event) {
        let now = self.clock.now();
        let actions = match &mut *self.voter.borrow_mut() {
            Some(voter) => voter.handle(now, event),
            None => return,
        };
        for action in actions {
            match action {
                voter::Action::Between(to, sealed) => {
                    self.count(2);
                    let Some(name) = self.terms.voters.get(to - 1) else {
                        continue;
                    };
                    if let Some(address) = self.address(name) {
                        self.post(name, address, BETWEEN, sealed.bytes());
                    }
                }
                voter::Action::Answer(to, answer) => {
                    self.count(1);
                    if Some(&to) == self.own.and_then(|own| self.terms.voters.get(own - 1)) {
                        self.later(Todo::Answer(self.own.unwrap_or(1) - 1, answer));
                    } else if let Some(address) = self.address(&to) {
                        self.word(
                            address,
                            &Word {
                                answer: Some(answer),
                                ..Word::default()
                            },
                        );
                    }
                }
                voter::Action::Keep(number, bytes) => {
                    let (keep, folder) = (
                        self.keep.clone(),
                        self.terms.folder.clone().unwrap_or_default(),
                    );
                    spawn_local(async move {
                        let done =
                            files::write_atomic_in_background(&folder.join(FILE), bytes).await;
                        if let Err(e) = &done {
                            log(format_args!(
                                "cannot keep the agreement in {}: {e}",
                                folder.display()
                            ));
                        }
                        let _ = keep.send((number, done.is_ok())); // nobody waits for it once the node ends
                    });
                }
                voter::Action::Confirmed(versions) => {
                    for version in &versions {
                        log(format_args!(
                            "version {} of the settings is confirmed, by {}: {}",
                            version.number, version.author, version.why
                        ));
                    }
                    self.later(Todo::Versions(versions));
                }
                voter::Action::News(what) => log(format_args!("this voter {what}")),
            }
        }
    }

    fn know(self: &Rc<Self>, event: node::Event) {
        let now = self.clock.now();
        let actions = self.node.borrow_mut().handle(now, event);
        let other = actions
            .iter()
            .any(|action| matches!(action, node::Action::Changed));
        (self.change)(
            self.node.borrow().holder().until().unwrap_or_default(),
            other,
        );
        for action in actions {
            match action {
                node::Action::Ask(ask) => self.ask(&ask),
                node::Action::Fetch { after, voter } => self.fetch(after, voter),
                node::Action::Changed => self.tell(),
            }
        }
    }

    fn ask(self: &Rc<Self>, ask: &Ask) {
        let me = self
            .fleet
            .with_membership(|peers| peers.local().name.clone());
        for (at, name) in self.terms.voters.iter().enumerate() {
            if Some(at + 1) == self.own {
                self.later(Todo::Ask(me.clone(), ask.clone()));
            } else if let Some(address) = self.address(name) {
                self.count(0);
                self.word(
                    address,
                    &Word {
                        ask: Some(ask.clone()),
                        ..Word::default()
                    },
                );
            }
        }
        // What voters have told the fleet reaches also whom their own words miss.
        let heard = self.fleet.with_membership(|peers| {
            let voters = self
                .terms
                .voters
                .iter()
                .filter_map(|name| peers.member(name));
            voters
                .filter_map(|member| self.told_by(&member.value(TOLD)?.bytes))
                .max()
        });
        if let Some(newest) = heard {
            self.later(Todo::HeardOf(newest));
        }
    }

    fn told_by(&self, value: &[u8]) -> Option<u64> {
        let (log, newest) = value.split_at_checked(8)?;
        let newest = u64::from_le_bytes(newest.try_into().ok()?);
        (log == self.number.to_le_bytes()).then_some(newest)
    }

    /// Voters tell how far their log is.
    fn tell(&self) {
        let newest = self.node.borrow().history().newest();
        if self.own.is_some() && self.told.replace(newest) != newest {
            let value: Vec<u8> = [self.number.to_le_bytes(), newest.to_le_bytes()].concat();
            let _ = self.fleet.publish(TOLD, &value); // two numbers are within all bounds
        }
    }

    fn fetch(&self, after: u64, voter: bool) {
        let mut dice = self.dice.borrow_mut();
        let to = self.fleet.with_membership(|peers| {
            let living = |name: &&Name| {
                peers
                    .member(name)
                    .is_some_and(|member| member.state == MemberState::Alive)
            };
            let voters: Vec<&Name> = self.terms.voters.iter().filter(living).collect();
            if voter && !voters.is_empty() {
                let at = dice.number() as usize % voters.len();
                return peers.member(voters[at]).map(|member| member.address);
            }
            let all: Vec<SocketAddr> = peers
                .members()
                .filter(|m| m.state == MemberState::Alive)
                .map(|m| m.address)
                .collect();
            (!all.is_empty()).then(|| all[dice.number() as usize % all.len()])
        });
        if let Some(to) = to {
            self.count(3);
            let fetch = Some(Fetch {
                log: self.number,
                after,
            });
            self.word(
                to,
                &Word {
                    fetch,
                    ..Word::default()
                },
            );
        }
    }

    // ---- Changes ------------------------------------------------------------------------------

    /// Proposes a change; what came of it is seen in the versions: one with its id, or a newer one than its base without.
    ///
    /// # Errors
    /// It is too long, there are too many under way, or members can't read it: their names.
    pub fn propose(&self, base: u64, version: Version, despite: bool) -> Result<(), String> {
        let long = version.rules.len() + version.why.len() + version.author.len();
        if long > MOST_PROPOSAL {
            return Err(format!(
                "{long} bytes are more than the {MOST_PROPOSAL} of a change"
            ));
        }
        Rules::read(&version.rules)?;
        let blind: Vec<String> = self.fleet.with_membership(|peers| {
            let living = peers.members().filter(|member| {
                member.state != MemberState::Dead && member.state != MemberState::Left
            });
            // Of whom nothing is known yet, nothing is held against it: it goes by the careful reading if it must.
            let blind = living.filter(|member| {
                let speaks = &member.metadata.capabilities;
                !speaks.is_empty()
                    && !speaks
                        .iter()
                        .any(|word| word == sillward_fleet_settings::SPEAKS)
            });
            blind
                .map(|member| format!("{} (build {})", member.name.as_str(), member.metadata.build))
                .collect()
        });
        if !blind.is_empty() && !despite {
            return Err(format!(
                "can't be read by {}: they would go by the careful reading of everything until they can",
                blind.join(", ")
            ));
        }
        let mut pending = self.pending.borrow_mut();
        if pending
            .iter()
            .any(|pending| pending.proposal.version.id == version.id)
        {
            return Ok(());
        }
        if pending.len() >= MOST_PENDING {
            return Err("too many changes are under way here".to_owned());
        }
        let now = self.clock.now();
        pending.push(Pending {
            proposal: Proposal { base, version },
            since: now,
            next: now,
        });
        self.sooner.notify_one();
        Ok(())
    }

    /// Hands in what is under way, to one voter after the other: one alone may be dead, or behind a cut.
    fn hand_in(&self) {
        let now = self.clock.now();
        let newest = self.node.borrow().history().newest();
        let mut pending = self.pending.borrow_mut();
        pending.retain(|pending| pending.proposal.base >= newest && now < pending.since + TRIED);
        for pending in pending.iter_mut().filter(|pending| now >= pending.next) {
            let tries =
                (pending.next.saturating_sub(pending.since)).as_millis() / HAND_IN.as_millis();
            pending.next = now + HAND_IN;
            let first = self
                .own
                .map_or(pending.proposal.version.id as usize, |own| own - 1);
            let to = (first + tries as usize) % self.terms.voters.len();
            if Some(to + 1) == self.own {
                self.later(Todo::Propose(pending.proposal.clone()));
            } else if let Some(address) = self.address(&self.terms.voters[to]) {
                let word = Long::Propose(pending.proposal.clone());
                let bytes = Sealed {
                    log: self.number,
                    word,
                }
                .bytes();
                self.post(&self.terms.voters[to], address, LONGS, bytes);
            }
        }
    }

    // ---- What is acted on ---------------------------------------------------------------------

    /// How this node stands just now.
    pub fn standing(&self) -> Standing {
        self.node.borrow().standing(self.clock.now())
    }

    /// What is acted on just now: of all keys that versions name, and of those.
    pub fn readings(&self, more: &[Key]) -> Vec<(Key, Reading)> {
        self.node.borrow().history().readings(self.standing(), more)
    }

    /// As [`Council::readings`], by who may act on nothing.
    pub fn careful(&self, more: &[Key]) -> Vec<(Key, Reading)> {
        let standing = Standing {
            right: false,
            ..self.standing()
        };
        self.node.borrow().history().readings(standing, more)
    }

    /// The versions that this node has.
    pub fn history(&self) -> History {
        self.node.borrow().history().clone()
    }
}

fn read(
    folder: &Path,
    log: u64,
    place: usize,
    voters: usize,
) -> Result<Result<Kept, String>, String> {
    let path = folder.join(FILE);
    let bytes =
        files::read(&path, MOST).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    Ok(match bytes {
        None => Err(format!(
            "{} is not there: it was never founded, or is lost",
            path.display()
        )),
        Some(bytes) => Kept::read(&bytes, log, place as u64, voters)
            .map_err(|e| format!("{}: {e}", path.display())),
    })
}
