//! A timer finer than the runtime's, whose steps of a millisecond would show in measurements.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use tokio::sync::oneshot;

/// Orders to the timer's thread.
enum Order {
    Wake(Alarm),
    Stop,
}

/// Someone to wake at a moment.
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
    /// The earliest alarm is the greatest, because the heap gives out the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.due.cmp(&self.due)
    }
}

/// The thread that keeps every alarm. Dropping it ends the thread; what waits is woken.
pub(crate) struct Timer {
    orders: Sender<Order>,
    thread: Option<JoinHandle<()>>,
}

impl Timer {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The system's error when it gives no thread.
    pub(crate) fn start() -> std::io::Result<Self> {
        let (orders, received) = unbounded();
        let thread = std::thread::Builder::new()
            .name("standin-timer".to_owned())
            .spawn(move || run(&received))?;
        Ok(Self {
            orders,
            thread: Some(thread),
        })
    }

    /// A handle by which tasks sleep.
    pub(crate) fn handle(&self) -> TimerHandle {
        TimerHandle(self.orders.clone())
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        // The thread takes orders until it is told to stop, so this one arrives.
        let _ = self.orders.send(Order::Stop);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed by its own hook.
            let _ = thread.join();
        }
    }
}

/// Sleeps by a [`Timer`].
#[derive(Clone)]
pub(crate) struct TimerHandle(Sender<Order>);

impl TimerHandle {
    /// Returns after `span`, or at once when the timer has ended.
    pub(crate) async fn sleep(&self, span: Duration) {
        let (wake, woken) = oneshot::channel();
        let due = Instant::now() + span;
        if self.0.send(Order::Wake(Alarm { due, wake })).is_ok() {
            // An alarm that is dropped means that the timer has ended.
            let _ = woken.await;
        }
    }
}

fn run(orders: &Receiver<Order>) {
    let mut alarms: BinaryHeap<Alarm> = BinaryHeap::new();
    loop {
        let next = alarms.peek().map(|alarm| alarm.due);
        let order = match next {
            Some(due) => orders.recv_deadline(due),
            None => orders.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match order {
            Ok(Order::Wake(alarm)) => alarms.push(alarm),
            Ok(Order::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => wake_next(&mut alarms),
        }
    }
}

fn wake_next(alarms: &mut BinaryHeap<Alarm>) {
    if let Some(alarm) = alarms.pop() {
        // Whoever slept may have given up.
        let _ = alarm.wake.send(());
    }
}
