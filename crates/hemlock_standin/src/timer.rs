//! A timer with a finer resolution than the tokio runtime's, whose millisecond steps would distort
//! measurements.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use tokio::sync::oneshot;

/// Commands to the timer thread.
enum Command {
    Wake(Alarm),
    Stop,
}

/// A sleeping task and the time to wake it.
struct Alarm {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Alarm {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Alarm {}

impl PartialOrd for Alarm {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Alarm {
    /// The earliest alarm is the greatest, because [`BinaryHeap`] is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        other.due.cmp(&self.due)
    }
}

/// Handle of the timer thread. Dropping it stops the thread and wakes every sleeping task.
pub(crate) struct Timer {
    commands: Sender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl Timer {
    /// Starts the timer thread.
    ///
    /// # Errors
    ///
    /// The I/O error if the thread can't be started.
    pub(crate) fn start() -> std::io::Result<Self> {
        let (commands, received) = unbounded();
        let thread = std::thread::Builder::new()
            .name("standin-timer".to_owned())
            .spawn(move || run_timer(&received))?;
        Ok(Self {
            commands,
            thread: Some(thread),
        })
    }

    /// Returns a handle with which tasks can sleep.
    pub(crate) fn handle(&self) -> TimerHandle {
        TimerHandle(self.commands.clone())
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        // The thread receives commands until it is told to stop, so this one is received.
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}

/// Handle with which tasks sleep on a [`Timer`].
#[derive(Clone)]
pub(crate) struct TimerHandle(Sender<Command>);

impl TimerHandle {
    /// Sleeps for `duration`, or returns early if the timer stops.
    pub(crate) async fn sleep(&self, duration: Duration) {
        let (wake, woken) = oneshot::channel();
        let due = Instant::now() + duration;
        if self.0.send(Command::Wake(Alarm { due, wake })).is_ok() {
            // An error means that the timer thread has dropped the alarm and ended.
            let _ = woken.await;
        }
    }
}

fn run_timer(commands: &Receiver<Command>) {
    let mut alarms: BinaryHeap<Alarm> = BinaryHeap::new();
    loop {
        let next = alarms.peek().map(|alarm| alarm.due);
        let command = match next {
            Some(due) => commands.recv_deadline(due),
            None => commands.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match command {
            Ok(Command::Wake(alarm)) => alarms.push(alarm),
            Ok(Command::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => wake_next(&mut alarms),
        }
    }
}

fn wake_next(alarms: &mut BinaryHeap<Alarm>) {
    if let Some(alarm) = alarms.pop() {
        // The sleeping task may have been cancelled.
        let _ = alarm.wake.send(());
    }
}
