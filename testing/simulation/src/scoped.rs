//! A program in a world of its own: its tasks see that world, and end with it.

use sillward_runtime::simulation::{SimulatedMachine, within};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::task::LocalSet;

/// Turns of a program at one virtual instant: far more than any work of an instant takes. Each turn is up to 61
/// polls of its tasks.
const TURNS: u64 = 20_000;

type Program = Pin<Box<dyn Future<Output = Result<(), String>>>>;

/// A program, to be polled.
pub struct Scoped {
    world: Rc<dyn SimulatedMachine>,
    /// Dropped within the world.
    program: Option<Program>,
    now: Rc<dyn Fn() -> Duration>,
    /// The instant of the last turn, and the turns at it.
    turns: Cell<(Duration, u64)>,
}

impl Scoped {
    /// Runs `program` with tasks of its own in that world.
    pub fn new(
        world: Rc<dyn SimulatedMachine>,
        program: impl Future<Output = Result<(), String>> + 'static,
        now: Rc<dyn Fn() -> Duration>,
    ) -> Self {
        let program = async move { LocalSet::new().run_until(program).await };
        Scoped {
            world,
            program: Some(Box::pin(program)),
            now,
            turns: Cell::new((Duration::ZERO, 0)),
        }
    }
}

impl Future for Scoped {
    type Output = Result<(), String>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let now = (self.now)();
        let (at, turns) = self.turns.get();
        let turns = if at == now { turns + 1 } else { 0 };
        self.turns.set((now, turns));
        if turns > TURNS {
            return Poll::Ready(Err(format!(
                "time stands still: {turns} turns at one instant"
            )));
        }
        let world = self.world.clone();
        let Some(program) = &mut self.program else {
            return Poll::Pending;
        };
        within(&world, || program.as_mut().poll(cx))
    }
}

impl Drop for Scoped {
    fn drop(&mut self) {
        let program = self.program.take();
        within(&self.world, || drop(program));
    }
}
