//! The encoder thread: turns snapshots into bytes beside the control thread.

use crossbeam::channel::{Receiver, Sender};

use super::input::{EncodeOrder, Input};

/// Encodes snapshots until the control thread ends.
pub(super) fn run(orders: &Receiver<EncodeOrder>, control: &Sender<Input>) {
    while let Ok(order) = orders.recv() {
        let encoded = order.state.encode();
        if control.send(Input::Encoded(order.index, encoded)).is_err() {
            return;
        }
    }
}
