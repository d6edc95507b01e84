//! The encoder thread: encodes snapshots without blocking the control thread.

use crossbeam::channel::{Receiver, Sender};

use super::input::{EncodeRequest, Input};

/// Encodes snapshots until the control thread ends.
pub(super) fn run(requests: &Receiver<EncodeRequest>, control: &Sender<Input>) {
    while let Ok(request) = requests.recv() {
        let encoded = request.state.encode();
        if control
            .send(Input::Encoded(request.index, encoded))
            .is_err()
        {
            return;
        }
    }
}
