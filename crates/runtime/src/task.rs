//! Tasks of the single thread that everything runs on.

use crate::simulation::{self, SimulatedMachine};
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
pub use tokio::task::{AbortHandle, JoinHandle, LocalSet, yield_now};

/// Notifies a simulated world of the start of a task, and of its end when dropped.
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

/// Starts a task.
pub fn spawn_local<F: Future<Output: 'static> + 'static>(work: F) -> JoinHandle<F::Output> {
    match TaskGuard::start() {
        None => tokio::task::spawn_local(work),
        Some(guard) => tokio::task::spawn_local(async move {
            let _guard = guard;
            work.await
        }),
    }
}

/// Tasks whose ends are waited for together. Dropping it aborts those that run.
pub struct JoinSet<T>(tokio::task::JoinSet<T>);

impl<T: 'static> JoinSet<T> {
    /// A set without tasks.
    #[expect(
        clippy::new_without_default,
        reason = "a set without tasks is nothing to default to"
    )]
    pub fn new() -> Self {
        JoinSet(tokio::task::JoinSet::new())
    }

    /// Starts a task.
    pub fn spawn_local(&mut self, work: impl Future<Output = T> + 'static) {
        match TaskGuard::start() {
            None => self.0.spawn_local(work),
            Some(guard) => self.0.spawn_local(async move {
                let _guard = guard;
                work.await
            }),
        };
    }

    /// Whether there is no task.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of tasks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The result of the next task that ends; `None` if there is no task. Cancellation safe.
    pub async fn join_next(&mut self) -> Option<Result<T, tokio::task::JoinError>> {
        self.0.join_next().await
    }
}

/// Runs `main` and the tasks that it starts, until `main` ends.
///
/// # Errors
/// The runtime could not be started.
pub fn block_on<T>(main: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, pin!(main)))
}
