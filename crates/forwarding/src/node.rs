//! The node itself: the only owner of the [`Balancer`]. One loop takes events in and carries actions out;
//! it decides nothing. Its request table alone gives final answers, and gives each exactly once.

use crate::{
    AcceptedRequest, Attempt, AttemptResult, BackendProtocol, Call, DiscoveryCommand,
    FinalResponse, HealthCheckResult, Message, ResponseStarted, StopReason,
};
use crate::{NodeObserver, SettingsLease};
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::*;
use sillward_logging::{log, log_peer};
use sillward_metrics::{Counters, EndpointGauges, InProgressGuard, RequestOutcome};
use sillward_runtime::Clock;
use sillward_runtime::task::spawn_local;
use sillward_runtime::time::sleep_until;
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

struct Held {
    call: Rc<Call>,
    /// When it came.
    came: Duration,
    /// The way to the client, until the final answer has gone there.
    reply: Option<oneshot::Sender<FinalResponse>>,
    /// In the order of Send; an attempt's number is its place.
    attempts: Vec<Out>,
    /// Its timers, which go with it: a client may say that it waits for as long as it likes.
    timers: Vec<TimerId>,
    /// Counts it as taken and not ended.
    in_progress: Option<InProgressGuard>,
    /// When its last byte came, where it went on before.
    arrived: Option<Duration>,
    /// The attempt whose long answer the client is being given, and when that began.
    streaming: Option<(u32, Duration)>,
}

struct Out {
    server: ServerId,
    sent: Duration,
    /// The way to stop it, until it has ended.
    stop: Option<oneshot::Sender<StopReason>>,
    ended: bool,
}

impl Held {
    /// The one place where a final answer leaves. False if there has been one.
    fn answer(&mut self, counters: &Counters, answer: FinalResponse) -> bool {
        self.call.progress.finished.set(true);
        let Some(reply) = self.reply.take() else {
            return false;
        };
        let end = match answer {
            FinalResponse::Complete(_) => Some(RequestOutcome::Served),
            // Its end is counted: it may break yet.
            FinalResponse::Streamed { .. } => None,
            FinalResponse::Rejected { .. } => Some(RequestOutcome::Rejected),
            FinalResponse::Failed | FinalResponse::TimedOut => Some(RequestOutcome::Failed),
        };
        if let Some(end) = end {
            self.in_progress = None;
            counters.request_ended(self.call.class, end);
        }
        let _ = reply.send(answer); // or the client has just left: then no answer is owed
        true
    }
}

/// When a timer is due, and its number: those due together fire in the order of setting.
type TimerId = (Duration, u64);

enum Due {
    Module(u64),
    Attempt(RequestId, u32),
    Deadline(RequestId),
}

pub struct Node {
    clock: Clock,
    balancer: Balancer,
    backends: Rc<dyn BackendProtocol>,
    messages: mpsc::Sender<Message>,
    discovery: mpsc::Sender<DiscoveryCommand>,
    tick: Duration,
    max_attempts: usize,
    held: BTreeMap<RequestId, Held>,
    timers: BTreeMap<TimerId, Due>,
    timers_set: u64,
    /// Requests that the module has just given up, not looked at yet.
    given_up: Vec<RequestId>,
    gauges: Rc<NodeGauges>,
    counters: Rc<Counters>,
    witness: Option<Rc<dyn NodeObserver>>,
    /// Whether settings may be acted on yet; those of which generation are, and whether the careful ones are instead.
    lapse: Option<Rc<SettingsLease>>,
    generation: u64,
    careful: bool,
}

/// However few the settings allow: one.
fn most_attempts(settings: &Settings) -> usize {
    settings.limits.max_attempts.max(1) as usize
}

/// How full the request table is, for whoever started the node.
#[derive(Default)]
pub struct NodeGauges {
    /// Requests that have no answer yet, or an attempt out.
    pub requests: Cell<usize>,
    /// Timers of theirs and of the module's own.
    pub timers: Cell<usize>,
    /// Attempts that are out.
    pub attempts: Cell<usize>,
}

impl Node {
    pub fn new(
        clock: Clock,
        settings: Settings,
        seed: u64,
        backends: Rc<dyn BackendProtocol>,
        messages: mpsc::Sender<Message>,
        discovery: mpsc::Sender<DiscoveryCommand>,
        counters: Rc<Counters>,
    ) -> Self {
        Node {
            clock,
            backends,
            messages,
            discovery,
            tick: settings.timer_resolution,
            max_attempts: most_attempts(&settings),
            balancer: Balancer::new(settings, seed),
            held: BTreeMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            given_up: Vec::new(),
            gauges: Rc::default(),
            counters,
            witness: None,
            careful: false,
            generation: 0,
            lapse: None,
        }
    }

    /// Its settings, which are the careful ones until it is told others, may be acted on for as long as that says.
    pub fn with_settings_lease(self, lapse: Option<Rc<SettingsLease>>) -> Self {
        Node {
            careful: lapse.is_some(),
            lapse,
            ..self
        }
    }

    /// With somebody who counts what it does.
    pub fn with_observer(self, witness: Option<Rc<dyn NodeObserver>>) -> Self {
        Node { witness, ..self }
    }

    /// How full the request table is, kept up to date for as long as the node runs.
    pub fn gauges(&self) -> Rc<NodeGauges> {
        self.gauges.clone()
    }

    pub async fn run(mut self, mut inbox: mpsc::Receiver<Message>) {
        loop {
            let due = self.timers.first_key_value().map(|((at, _), _)| *at);
            let wait = sleep_until(self.clock.instant(due.unwrap_or_default()));
            tokio::select! {
                biased;
                message = inbox.recv() => match message {
                    Some(message) => {
                        self.keep_in_force();
                        self.take(message);
                    }
                    None => return,
                },
                () = wait, if due.is_some() => {}
            }
            self.keep_in_force();
            self.fire();
            self.gauges.requests.set(self.held.len());
            self.gauges.timers.set(self.timers.len());
        }
    }

    /// Goes over to the careful settings once the others may not be acted on: before anything else is decided.
    fn keep_in_force(&mut self) {
        let Some(lapse) = &self.lapse else { return };
        if !self.careful && !lapse.is_valid(self.generation, self.clock.now()) {
            self.careful = true;
            if let Some(site) = lapse.fallback() {
                self.tune(&site);
            }
        }
    }

    fn tune(&mut self, site: &PlatformSettings) {
        (self.tick, self.max_attempts) = (
            site.settings.timer_resolution,
            most_attempts(&site.settings),
        );
        self.backends.apply_settings(site);
        self.decide(Event::Settings(Box::new(site.settings.clone())));
    }

    fn set(&mut self, at: Duration, due: Due) {
        let of = match due {
            Due::Module(token) => RequestId(token), // or the module's own, which is no request's
            Due::Attempt(id, _) | Due::Deadline(id) => id,
        };
        self.timers_set += 1;
        let timer = (at, self.timers_set);
        if let Some(held) = self.held.get_mut(&of) {
            held.timers.push(timer);
        }
        self.timers.insert(timer, due);
    }

    fn fire(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self
            .timers
            .first_entry()
            .filter(|timer| timer.key().0 <= now)
        {
            match timer.remove() {
                Due::Module(token) => self.decide(Event::Timer { token }),
                Due::Attempt(id, number) => self.stop(id, number, StopReason::TimedOut),
                Due::Deadline(id) => self.overdue(id),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Request(taken) => self.on_request(taken),
            Message::ClientGone(id) => {
                let Some(held) = self.held.get_mut(&id).filter(|held| held.reply.is_some()) else {
                    return;
                };
                (held.reply, held.in_progress) = (None, None);
                held.call.progress.finished.set(true);
                self.decide(Event::ClientGone { id });
                self.forget(id);
            }
            Message::BodyReceived(id, at) => self.on_arrived(id, at),
            Message::ResponseStarted(started) => self.on_started(started),
            Message::AttemptEnded(ended) => self.on_attempt(ended),
            Message::HealthChecked(HealthCheckResult {
                server,
                outcome,
                sent_at: sent,
                report,
            }) => {
                let elapsed = self.clock.now().saturating_sub(sent);
                self.decide(Event::HealthChecked(HealthCheckEnd {
                    server,
                    outcome,
                    elapsed,
                    report,
                }));
            }
            Message::EndpointList(news) => {
                self.backends.update_backends(&news, self.clock.now());
                let entries = news
                    .backends
                    .into_iter()
                    .map(|backend| backend.endpoint)
                    .collect();
                self.decide(Event::EndpointList {
                    update: news.kind,
                    endpoints: entries,
                });
            }
            Message::Settings {
                settings: site,
                generation,
            } => {
                let now = self.clock.now();
                // Of an earlier generation, or too late: the next is on its way.
                if self
                    .lapse
                    .as_ref()
                    .is_none_or(|lapse| lapse.is_valid(generation, now))
                {
                    (self.generation, self.careful) = (generation, false);
                    self.tune(&site);
                }
            }
            Message::View(told) => {
                let counts = self.balancer.endpoint_counts();
                let gauges = EndpointGauges {
                    known: counts.listed,
                    avoided: counts.ejected,
                };
                let _ = told.send(gauges); // or nobody waits for it any more
            }
        }
    }

    fn on_request(&mut self, taken: Box<AcceptedRequest>) {
        let AcceptedRequest {
            request: mut new,
            received_at: at,
            call,
            reply,
        } = *taken;
        let (id, deadline) = (new.id, call.deadline.get());
        new.body_pending = call.streaming_body.is_some();
        if !new.body_pending {
            let waited = self.clock.now().saturating_sub(at);
            new.remaining = new.remaining.saturating_sub(waited);
        }
        let (attempts, timers) = (Vec::new(), Vec::new());
        let in_progress = Some(self.counters.request_started());
        if let Some(witness) = &self.witness {
            witness.request_accepted(self.clock.now(), new.class, new.client_retry);
        }
        let held = Held {
            call: Rc::new(call),
            came: at,
            reply: Some(reply),
            attempts,
            timers,
            in_progress,
            arrived: None,
            streaming: None,
        };
        self.held.insert(id, held);
        // A tick early: the answer is to be with the client before it gives up.
        self.set(deadline.saturating_sub(self.tick), Due::Deadline(id));
        self.decide(Event::Request(new));
        self.forget(id);
    }

    /// The whole of a request is here that went on while it came: its time begins.
    fn on_arrived(&mut self, id: RequestId, at: Duration) {
        let Some(held) = self.held.get_mut(&id).filter(|held| held.reply.is_some()) else {
            return;
        };
        let Some(coming) = &held.call.streaming_body else {
            return;
        };
        let (deadline, spent) = (at + coming.time_budget, coming.is_consumed());
        held.arrived = Some(at);
        held.call.deadline.set(deadline);
        self.set(deadline.saturating_sub(self.tick), Due::Deadline(id));
        self.decide(Event::BodyComplete {
            id,
            body_consumed: spent,
        });
        self.forget(id);
    }

    /// The first bytes of a long answer are the client's; the attempt goes on until the last one is.
    fn on_started(&mut self, started: ResponseStarted) {
        let ResponseStarted {
            id,
            number,
            payload,
            length,
            report,
            rest,
        } = started;
        let now = self.clock.now();
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        // An earlier answer has gone out: this one's connection closes with the rest of it.
        if !held.answer(
            &self.counters,
            FinalResponse::Streamed {
                first: payload,
                length,
                rest,
            },
        ) {
            return;
        }
        held.streaming = Some((number, now));
        let Some(server) = held.attempts.get(number as usize).map(|out| out.server) else {
            return;
        };
        self.decide(Event::ResponseStarted {
            id,
            attempt: number,
            server,
            report,
        });
    }

    fn on_attempt(&mut self, ended: AttemptResult) {
        let Some(held) = self.held.get_mut(&ended.id) else {
            return;
        };
        let Some(out) = held.attempts.get_mut(ended.number as usize) else {
            return;
        };
        (out.ended, out.stop) = (true, None);
        self.gauges.attempts.set(self.gauges.attempts.get() - 1);
        let (server, sent) = (out.server, out.sent);
        // What a server takes for an answer runs from the request's last byte to the answer's first.
        let from = held.arrived.map_or(sent, |arrived| arrived.max(sent));
        let mut until = self.clock.now();
        if let Some((_, began)) = held.streaming.filter(|(number, _)| *number == ended.number) {
            until = began;
            held.in_progress = None;
            // A client that left is told nothing, and counted nowhere.
            match ended.outcome {
                Outcome::Served => self
                    .counters
                    .request_ended(held.call.class, RequestOutcome::Served),
                Outcome::Cancelled => {}
                _ => self
                    .counters
                    .request_ended(held.call.class, RequestOutcome::Failed),
            }
        }
        // The first served answer is the client's; a later one only informs the module.
        if let Some(answer) = ended.response {
            held.answer(&self.counters, FinalResponse::Complete(answer));
        }
        if let Some(witness) = &self.witness {
            let times = crate::AttemptTimes {
                since_request: until.saturating_sub(held.came),
                since_sent: until.saturating_sub(from),
            };
            witness.attempt_ended(until, held.call.class, server, ended.outcome, times);
        }
        let (finished, spent) = (held.reply.is_none(), held.call.is_body_consumed());
        self.decide(Event::AttemptEnded(AttemptEnd {
            id: ended.id,
            attempt: ended.number,
            server,
            outcome: ended.outcome,
            elapsed: until.saturating_sub(from),
            answered: finished,
            body_consumed: spent,
            report: ended.report,
        }));
        self.forget(ended.id);
    }

    /// Whatever the module does, nobody is left without an answer at the deadline.
    fn overdue(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|held| held.reply.is_some()) else {
            return;
        };
        if held.call.deadline.get().saturating_sub(self.tick) > self.clock.now() {
            return; // its body came later than that: another timer tells
        }
        log_peer(format_args!(
            "request {} was unanswered at its deadline: failed",
            id.0
        ));
        held.answer(&self.counters, FinalResponse::TimedOut);
        self.decide(Event::ClientGone { id });
        self.forget(id);
    }

    /// Drops a request that has its answer and no attempt out.
    fn forget(&mut self, id: RequestId) {
        let over = |held: &Held| held.reply.is_none() && held.attempts.iter().all(|out| out.ended);
        if !self.held.get(&id).is_some_and(over) {
            return;
        }
        for timer in self
            .held
            .remove(&id)
            .map(|held| held.timers)
            .unwrap_or_default()
        {
            self.timers.remove(&timer);
        }
    }

    /// Lets the module decide, and carries out what it says.
    fn decide(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions {
                if let Some(event) = self.act(action) {
                    events.push_back(event);
                }
            }
        }
        // Whatever event it was that it gave them up on, a timer's or another request's: nothing more comes of them.
        while let Some(id) = self.given_up.pop() {
            self.forget(id);
        }
    }

    /// Carries out an action. An attempt that can't even start ends at once, with the event returned.
    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send {
                id,
                server,
                timeout,
            } => return self.send(id, server, timeout),
            Action::Reject { id, retry_after } => {
                if let (Some(witness), Some(held)) = (&self.witness, self.held.get(&id)) {
                    witness.request_rejected(self.clock.now(), held.call.class);
                }
                let never_ran = self
                    .held
                    .get(&id)
                    .is_none_or(|held| held.call.progress.claimed_attempts.get() == 0);
                self.finish(
                    id,
                    FinalResponse::Rejected {
                        retry_after,
                        never_ran,
                    },
                );
            }
            Action::Fail { id } => self.finish(id, FinalResponse::Failed),
            Action::CancelAttempt { id, attempt } => self.stop(id, attempt, StopReason::Cancelled),
            Action::SetTimer { after, token } => {
                self.set(self.clock.now() + after, Due::Module(token))
            }
            Action::HealthCheck { server } => self.probe(server),
            Action::CloseIdle { server } => self.backends.close_idle(server),
            Action::WatchEndpoints { on } => self.order(DiscoveryCommand::Watch(on)),
            Action::FetchEndpoints => self.order(DiscoveryCommand::Fetch),
            // No message between nodes: the module sends none, and the site allows none.
            Action::SendToPeer { .. } => log("a message to another node was dropped"),
            Action::Log { text } => log(text),
        }
        None
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Duration) -> Option<Event> {
        let now = self.clock.now();
        let held = self.held.get_mut(&id)?;
        let (number, finished) = (held.attempts.len() as u32, held.reply.is_none());
        let deadline = held.call.deadline.get();
        if finished || now >= deadline || held.attempts.len() >= self.max_attempts {
            held.attempts.push(Out {
                server,
                sent: now,
                stop: None,
                ended: true,
            });
            return Some(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: number,
                server,
                outcome: Outcome::NotSent,
                elapsed: Duration::ZERO,
                answered: finished,
                body_consumed: held.call.is_body_consumed(),
                report: None,
            }));
        }
        let until = if timeout.is_zero() {
            deadline
        } else {
            deadline.min(now + timeout)
        };
        let (stop, stopped) = oneshot::channel();
        let (start, started) = oneshot::channel();
        let (call, start) = (held.call.clone(), Cell::new(Some(start)));
        let attempt = Attempt {
            id,
            number,
            server,
            deadline: until,
            call,
            response_started: start,
        };
        held.attempts.push(Out {
            server,
            sent: now,
            stop: Some(stop),
            ended: false,
        });
        self.set(until, Due::Attempt(id, number));
        self.gauges.attempts.set(self.gauges.attempts.get() + 1);
        let (mut work, messages) = (
            self.backends.clone().attempt(attempt, stopped),
            self.messages.clone(),
        );
        spawn_local(async move {
            let early = tokio::select! {
                biased;
                ended = &mut work => Some(ended),
                Ok(started) = started => {
                    let _ = messages.send(Message::ResponseStarted(started)).await;
                    None
                }
            };
            let ended = match early {
                Some(ended) => ended,
                None => work.await,
            };
            let _ = messages.send(Message::AttemptEnded(ended)).await; // fails only when the node has ended
        });
        None
    }

    fn probe(&mut self, server: ServerId) {
        let (sent, messages) = (self.clock.now(), self.messages.clone());
        if let Some(witness) = &self.witness {
            witness.health_check_started(sent, server);
        }
        let work = self.backends.clone().health_check(server);
        spawn_local(async move {
            let crate::HealthCheckReply { outcome, report } = work.await;
            let _ = messages
                .send(Message::HealthChecked(HealthCheckResult {
                    server,
                    outcome,
                    sent_at: sent,
                    report,
                }))
                .await;
        });
    }

    fn finish(&mut self, id: RequestId, answer: FinalResponse) {
        if let Some(held) = self.held.get_mut(&id) {
            held.answer(&self.counters, answer);
            self.given_up.push(id);
        }
    }

    fn stop(&mut self, id: RequestId, number: u32, why: StopReason) {
        // What the client is being given is cut by no timer.
        let held = self
            .held
            .get_mut(&id)
            .filter(|held| held.streaming.is_none_or(|(at, _)| at != number));
        let out = held.and_then(|held| held.attempts.get_mut(number as usize));
        if let Some(stop) = out.and_then(|out| out.stop.take()) {
            let _ = stop.send(why); // it may have ended just now; then that outcome is on its way
        }
    }

    fn order(&mut self, order: DiscoveryCommand) {
        if self.discovery.try_send(order).is_err() {
            log("discovery has too much to do: a call was dropped");
        }
    }
}
