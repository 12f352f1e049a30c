//! Tasks of the one thread that all run on.

use crate::world::{self, World};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
pub use tokio::task::{AbortHandle, JoinHandle, LocalSet, yield_now};

/// Tells a world of a task's end, also of one that is dropped.
struct Counted(Rc<dyn World>);

impl Counted {
    fn start() -> Option<Self> {
        let world = world::current()?;
        world.started();
        Some(Counted(world))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.ended();
    }
}

/// Starts a task.
pub fn spawn_local<F: Future<Output: 'static> + 'static>(work: F) -> JoinHandle<F::Output> {
    match Counted::start() {
        None => tokio::task::spawn_local(work),
        Some(counted) => tokio::task::spawn_local(async move {
            let _counted = counted;
            work.await
        }),
    }
}

/// Tasks whose ends are waited for together; those that are left are dropped with it.
pub struct JoinSet<T>(tokio::task::JoinSet<T>);

impl<T: 'static> JoinSet<T> {
    /// None yet.
    #[expect(
        clippy::new_without_default,
        reason = "a set without tasks is nothing to default to"
    )]
    pub fn new() -> Self {
        JoinSet(tokio::task::JoinSet::new())
    }

    /// Starts one.
    pub fn spawn_local(&mut self, work: impl Future<Output = T> + 'static) {
        match Counted::start() {
            None => self.0.spawn_local(work),
            Some(counted) => self.0.spawn_local(async move {
                let _counted = counted;
                work.await
            }),
        };
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// What the next one that ends came to; `None` if there is none. Dropped while it waits, it loses nothing.
    pub async fn join_next(&mut self) -> Option<Result<T, tokio::task::JoinError>> {
        self.0.join_next().await
    }
}

/// Runs `main` and the tasks it starts to its end.
///
/// # Errors
/// The runtime could not be started.
pub fn block_on<T>(main: impl Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, pin!(main)))
}
