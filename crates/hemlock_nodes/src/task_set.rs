//! Tasks that end with their parent.

use std::cell::RefCell;

use tokio::task::JoinSet;

/// Local tasks that are ended when the set is dropped.
#[derive(Debug, Default)]
pub struct TaskSet {
    tasks: RefCell<JoinSet<()>>,
}

impl TaskSet {
    /// Starts a task, and forgets those that have ended.
    ///
    /// # Panics
    ///
    /// When called outside a local task set.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }
}
