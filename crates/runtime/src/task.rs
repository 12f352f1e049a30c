//! Tasks on the single thread of the program.

use crate::simulation::{self, SimulatedMachine};
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
pub use tokio::task::{AbortHandle, JoinHandle, LocalSet, yield_now};

/// Notifies a simulation of the start of a task, and of its end when dropped.
struct TaskGuard(Rc<dyn SimulatedMachine>);

impl TaskGuard {
    fn start() -> Option<Self> {
        let machine = simulation::current()?;
        machine.task_started();
        Some(TaskGuard(machine))
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.task_ended();
    }
}

/// Spawns a task on the current thread.
pub fn spawn_local<F: Future<Output: 'static> + 'static>(future: F) -> JoinHandle<F::Output> {
    match TaskGuard::start() {
        None => tokio::task::spawn_local(future),
        Some(guard) => tokio::task::spawn_local(async move {
            let _guard = guard;
            future.await
        }),
    }
}

/// A set of tasks whose results are awaited together. Dropping it aborts the tasks that are still running.
pub struct JoinSet<T>(tokio::task::JoinSet<T>);

impl<T: 'static> JoinSet<T> {
    /// An empty set.
    #[expect(
        clippy::new_without_default,
        reason = "an empty set is not a meaningful default"
    )]
    pub fn new() -> Self {
        JoinSet(tokio::task::JoinSet::new())
    }

    /// Spawns a task on the current thread.
    pub fn spawn_local(&mut self, future: impl Future<Output = T> + 'static) {
        match TaskGuard::start() {
            None => self.0.spawn_local(future),
            Some(guard) => self.0.spawn_local(async move {
                let _guard = guard;
                future.await
            }),
        };
    }

    /// Whether the set has no tasks.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of tasks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The result of the next task that ends; `None` if the set is empty. Cancellation safe.
    pub async fn join_next(&mut self) -> Option<Result<T, tokio::task::JoinError>> {
        self.0.join_next().await
    }
}

/// Runs `main`, and the tasks that it spawns, until `main` ends.
///
/// # Errors
/// The runtime could not be started.
pub fn block_on<T>(main: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, pin!(main)))
}
