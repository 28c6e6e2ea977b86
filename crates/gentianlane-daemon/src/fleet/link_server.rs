//! Serves the connections from other processes of the fleet to a core.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use gentianlane::consensus::Body;
use gentianlane::fleet::call::Reply;
use gentianlane::fleet::dispatch::Relay;
use gentianlane::fleet::link::Packet;
use gentianlane::id;
use gentianlane::wire::Frame;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::control::{Input, ReplyTarget};
use crate::fleet::forward::lock;
use crate::fleet::link;
use crate::fleet::shared::{
    BUSY_RETRY, CELL_NAME, ForwarderLink, OWN_RELAY, RECONNECT_DELAY, Shared,
    submit_input,
};

/// Accepts connections from other processes of the fleet.
pub(super) async fn accept(listener: TcpListener, node: id::Node, shared: Shared) {
    let mut last: Relay = OWN_RELAY;
    // Each open link holds a clone.
    let open = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let others = Arc::strong_count(&open) - 1;
                if others >= shared.budget.links {
                    warn!(shared.log, "link_refused"; "from" => %address,
                        "open" => others);
                    continue;
                }
                last += 1;
                let served = serve_link(stream, last, node, shared.clone());
                let open = open.clone();
                tokio::spawn(async move {
                    served.await;
                    drop(open);
                });
            }
            Err(error) => {
                warn!(shared.log, "accept"; "error" => %error);
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Serves a connection from another process of the fleet until it ends:
/// consensus messages of cores, and calls and advice responses of forwarders.
async fn serve_link(stream: TcpStream, number: Relay, node: id::Node, shared: Shared) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let vm = match stream.peer_addr().map(|address| address.ip()) {
        Ok(IpAddr::V4(vm)) => Some(vm),
        _ => None,
    };
    if let Some(waker) = vm.and_then(|vm| lock(&shared.dial_wakers).get(&vm).cloned()) {
        waker.notify_one();
    }
    let (sender, outgoing) = flume::bounded(link::SEND_QUEUE_LIMIT);
    let mut relays_advice = false;
    let handle_packet = |packet| match packet {
        Packet::Hello {
            relays_advice: true,
            ..
        } => {
            relays_advice = true;
            let sender = sender.clone();
            // Can't fail: the queue of a new connection is empty.
            let _ = sender.try_send(Packet::LeaderHint(shared.hint_with_entries()));
            lock(&shared.links).insert(number, ForwarderLink { vm, sender });
            shared.entries_changed.store(true, Ordering::Relaxed);
            submit_input(&shared, Input::Relay(number, true));
        }
        Packet::Peer(frame) if is_addressed_to(&frame, node) => {
            submit_input(&shared, Input::Message(frame.from, frame.message));
        }
        Packet::Call(call_number, call) => {
            let input = Input::Call(*call, ReplyTarget::Link(number, call_number));
            if shared.inputs.try_send(input).is_err() {
                shared.metrics.count("busy", 1);
                let reply = Reply::Refused {
                    retry_after: BUSY_RETRY,
                    reason: gentianlane::fleet::call::Refusal::Busy,
                };
                let _ = sender.try_send(Packet::Reply(call_number, reply));
            }
        }
        Packet::AdviceResponse(response) => {
            submit_input(&shared, Input::Advice(number, response));
        }
        _ => {}
    };
    let ended = link::exchange_packets(stream, &outgoing, false, handle_packet).await;
    if relays_advice {
        let error = ended
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default();
        info!(shared.log, "link_closed"; "link" => number, "error" => error);
        lock(&shared.links).swap_remove(&number);
        shared.entries_changed.store(true, Ordering::Relaxed);
        shared.inputs.send_async(Input::Relay(number, false)).await;
    }
}

/// Whether a frame is meant for this node. The messages by which nodes find out
/// who is there may also name an earlier node on the same VM.
fn is_addressed_to(frame: &Frame, node: id::Node) -> bool {
    let is_discovery = matches!(
        frame.message.body,
        Body::Announce(_)
            | Body::PreVoteRequest { .. }
            | Body::Redirect { .. }
            | Body::VerifyIdentity { .. }
    );
    let same_vm = frame.to.address() == node.address();
    frame.cell.as_str() == CELL_NAME && (frame.to == node || (is_discovery && same_vm))
}
