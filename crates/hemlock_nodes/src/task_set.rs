//! A set of tasks that are aborted together with their owner.

use std::cell::RefCell;

use tokio::task::JoinSet;

/// Local tasks that are aborted when the set is dropped.
#[derive(Debug, Default)]
pub struct TaskSet {
    tasks: RefCell<JoinSet<()>>,
}

impl TaskSet {
    /// Spawns a task, and removes those that have ended.
    ///
    /// # Panics
    ///
    /// Panics when called outside a [`LocalSet`](tokio::task::LocalSet).
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }
}
