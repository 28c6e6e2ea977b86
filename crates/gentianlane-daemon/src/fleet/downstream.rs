//! Serves downstream entries: those that can't reach the leader themselves and go
//! through this process.

use std::time::Duration;

use gentianlane::fleet::call::{Call, Reply};
use gentianlane::fleet::link::{LeaderHint, Packet};
use slog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::fleet::forward::{Forwarder, busy_reply, lock, open_call};
use crate::fleet::link;

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The time limit for a call of a downstream entry.
const DOWNSTREAM_CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Accepts connections from downstream entries: those that can't reach the
/// leader themselves.
///
/// At most `limit` of them are served at a time.
pub(crate) async fn accept(listener: TcpListener, forwarder: Forwarder, limit: usize) {
    let mut last = 0;
    loop {
        match listener.accept().await {
            Ok((_, address)) if lock(&forwarder.downstream).len() >= limit => {
                warn!(forwarder.log, "link_refused"; "from" => %address, "open" => limit);
            }
            Ok((stream, _)) => {
                last += 1;
                tokio::spawn(serve_downstream(stream, last, forwarder.clone()));
            }
            Err(error) => {
                warn!(forwarder.log, "accept"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a downstream entry: forwards its calls, and tells it whether this
/// process reaches the leader.
async fn serve_downstream(stream: TcpStream, number: u64, forwarder: Forwarder) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (sender, outgoing) = flume::bounded(link::SEND_QUEUE_LIMIT);
    let handle_packet = |packet| match packet {
        Packet::Hello { .. } => {
            // Can't fail: the queue of a new connection is empty.
            let _ = sender.try_send(Packet::LeaderHint(own_hint(&forwarder)));
            lock(&forwarder.downstream).insert(number, sender.clone());
        }
        Packet::Call(number, call) => {
            let (forwarder, sender) = (forwarder.clone(), sender.clone());
            tokio::spawn(async move {
                if let Some(reply) = forward_downstream_call(&forwarder, *call).await {
                    // If the send queue is full the reply is lost, and the
                    // downstream entry sends its call again.
                    let _ = sender.try_send(Packet::Reply(number, reply));
                }
            });
        }
        _ => {}
    };
    // An error needs no handling: the other side reconnects.
    let _ = link::exchange_packets(stream, &outgoing, false, handle_packet).await;
    lock(&forwarder.downstream).swap_remove(&number);
}

/// The leader hint for downstream entries.
fn own_hint(forwarder: &Forwarder) -> LeaderHint {
    let direct = forwarder.is_direct();
    lock(&forwarder.directory).hint(direct)
}

/// Sends the current leader hint to all downstream entries.
pub(super) fn notify_downstream(forwarder: &Forwarder) {
    let hint = own_hint(forwarder);
    for sender in lock(&forwarder.downstream).values() {
        // An entry whose send queue is full finds out by its own pings.
        let _ = sender.try_send(Packet::LeaderHint(hint.clone()));
    }
}

/// Forwards a downstream entry's call; `None` if no reply came in time.
async fn forward_downstream_call(forwarder: &Forwarder, call: Call) -> Option<Reply> {
    forwarder.metrics.count("relayed", 1);
    let Some((number, reply)) = open_call(forwarder, call, DOWNSTREAM_CALL_TIMEOUT)
    else {
        return Some(busy_reply());
    };
    match timeout(DOWNSTREAM_CALL_TIMEOUT, reply).await {
        Ok(reply) => reply.ok(),
        Err(_) => {
            forwarder.drop_call(number);
            None
        }
    }
}
