//! A proxy before a frontend, for the network between clients and a machine that stands still.
//!
//! It passes bytes on at once. The close of a client's connection is repeated like TCP's own, after
//! 0.2 s and then after twice as long each time, until the machine is awake to take it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::record::Record;

/// First interval after which a close is repeated.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// Whether the machine behind a proxy stands still.
pub(crate) type Frozen = Rc<Cell<bool>>;

/// Starts a proxy. Returns its address.
pub(crate) async fn start(
    target: SocketAddr,
    frozen: Frozen,
    record: Rc<Record>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((target.ip(), 0)).await?;
    let address = listener.local_addr()?;
    tokio::task::spawn_local(async move {
        while let Ok((client, _)) = listener.accept().await {
            let passing = pass(client, target, Rc::clone(&frozen), Rc::clone(&record));
            tokio::task::spawn_local(passing);
        }
    });
    Ok(address)
}

async fn pass(client: TcpStream, target: SocketAddr, frozen: Frozen, record: Rc<Record>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let answers = async {
        // The client may have left.
        let _ = tokio::io::copy(&mut from_server, &mut to_client).await;
    };
    let requests = async {
        let mut chunk = [0; 4096];
        while let Ok(length) = from_client.read(&mut chunk).await {
            if length == 0 || to_server.write_all(&chunk[..length]).await.is_err() {
                break;
            }
        }
        record.note("proxy: the client's connection is closed".to_owned());
        let mut interval = RETRANSMISSION;
        while frozen.get() {
            tokio::time::sleep(interval).await;
            interval *= 2;
        }
        record.note("proxy: the close has reached the machine".to_owned());
    };
    tokio::select! {
        () = answers => {}
        () = requests => {}
    }
}
