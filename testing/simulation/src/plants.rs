//! Faults planted in the node, each a mistake that a change of the program could make: checkers that don't find them
//! find nothing.

use crate::dice::Dice;
use crate::net::Net;
use crate::script::Script;
use sillward_app::Wrap;
use sillward_balancer::settings::PlatformSettings;
use sillward_balancer::{Outcome, ServerId};
use sillward_forwarding::{
    Attempt, AttemptResult, BackendProtocol, BackendUpdate, HealthCheckResponse, LocalBoxFuture,
    StopReason,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// A reset is taken for "never ran": within some milliseconds of a reload, while keyed work waits for its second
    /// attempt.
    DoubleCorrect,
    /// One news of a drain in a thousand is not taken in.
    MissedDrain,
    /// An answer goes out a second time, once in 60.
    AnswerTwice,
    /// A kept connection is used again although something came behind its answer.
    LateBytes,
    /// An attempt in a thousand never ends.
    Leak,
    /// A task of the node wakes itself for ever.
    Busy,
}

/// After a reload, so long.
const DURING_RELOAD: Duration = Duration::from_millis(8);

/// When a node was told to read its configuration again.
#[derive(Default)]
pub struct Reloads(Cell<Option<Duration>>);

impl Reloads {
    /// It is told, now.
    pub fn told(&self, now: Duration) {
        self.0.set(Some(now));
    }

    fn under_way(&self, now: Duration) -> bool {
        self.0
            .get()
            .is_some_and(|told| now >= told && now < told + DURING_RELOAD)
    }
}

/// What stands between a node and its backends for a plant; nothing for those that are planted elsewhere. `often` makes the
/// rare ones common, which shows in few nights that their checkers see.
pub fn planted(
    (plant, often): (Plant, bool),
    script: &Script,
    node: usize,
    net: &Net,
    reloads: &Rc<Reloads>,
) -> Option<Wrap> {
    if matches!(
        plant,
        Plant::AnswerTwice | Plant::LateBytes | Plant::MissedDrain
    ) {
        return None;
    }
    let dice = RefCell::new(Dice::of(script.seed, "plant", node as u64));
    let (net, reloads) = (net.clone(), reloads.clone());
    Some(Box::new(move |inner| {
        if plant == Plant::Busy {
            let (net, due) = (net.clone(), Duration::from_millis(900));
            sillward_runtime::task::spawn_local(async move {
                sillward_runtime::time::sleep_until(net.at(due)).await;
                loop {
                    sillward_runtime::task::yield_now().await;
                }
            });
        }
        Rc::new(Planted {
            inner,
            plant,
            often,
            dice,
            net,
            reloads,
            waiting: Cell::new(0),
        })
    }))
}

struct Planted {
    inner: Rc<dyn BackendProtocol>,
    plant: Plant,
    often: bool,
    dice: RefCell<Dice>,
    net: Net,
    reloads: Rc<Reloads>,
    /// Keyed calls whose second attempt is out.
    waiting: Cell<usize>,
}

impl BackendProtocol for Planted {
    fn attempt(
        self: Rc<Self>,
        attempt: Attempt,
        stopped: oneshot::Receiver<StopReason>,
    ) -> LocalBoxFuture<AttemptResult> {
        let never = self.plant == Plant::Leak && self.dice.borrow_mut().permille(1);
        let keyed = attempt.call.idempotency_window.is_some();
        let unsafe_ = !attempt.call.safe && !keyed;
        let again = keyed && attempt.number > 0;
        let call = attempt.call.clone();
        let work = self.inner.clone().attempt(attempt, stopped);
        Box::pin(async move {
            if never {
                std::future::pending::<()>().await;
            }
            self.waiting.set(self.waiting.get() + usize::from(again));
            let mut ended = work.await;
            self.waiting.set(self.waiting.get() - usize::from(again));
            let wrong = self.plant == Plant::DoubleCorrect
                && unsafe_
                && ended.outcome == Outcome::Reset
                && (self.often || self.waiting.get() > 0 && self.reloads.under_way(self.net.now()));
            if wrong {
                ended.outcome = Outcome::ConnectFailed;
                call.release_claim();
            }
            ended
        })
    }

    fn health_check(self: Rc<Self>, server: ServerId) -> LocalBoxFuture<HealthCheckResponse> {
        self.inner.clone().health_check(server)
    }

    fn update_backends(&self, update: &BackendUpdate, now: Duration) {
        self.inner.update_backends(update, now);
    }

    fn apply_settings(&self, settings: &PlatformSettings) {
        self.inner.apply_settings(settings);
    }

    fn close_idle(&self, server: ServerId) {
        self.inner.close_idle(server);
    }
}
