//! Executes the control thread's effects on a core's traffic thread: messages
//! to other cores, replies, orders to workers and advice requests.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use flume::{Receiver, Sender};
use gentianlane::consensus;
use gentianlane::fleet::call::Reply;
use gentianlane::fleet::dispatch::Relay;
use gentianlane::fleet::link::Packet;
use gentianlane::fleet::order::{AdviceRequest, AdviceResponse};
use gentianlane::id;
use gentianlane::unit::Time;
use gentianlane::wire::{Frame, VERSION};
use indexmap::IndexMap;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::fleet::control::{Effect, Input, ReplyTarget};
use crate::fleet::delivery::{request_advice, send_order};
use crate::fleet::forward::lock;
use crate::fleet::link;
use crate::fleet::shared::{CELL_NAME, OWN_RELAY, RECONNECT_DELAY, Shared, submit_input};

/// Executes effects, and keeps the connections to other cores.
pub(super) struct Traffic {
    node: id::Node,
    /// The link port, the same on all VMs.
    port: u16,
    /// The send queues of the connections to other cores, by VM.
    peers: IndexMap<Ipv4Addr, Sender<Packet>>,
    incarnation: id::Incarnation,
    shared: Shared,
}

impl Traffic {
    /// A node's traffic, without connections. The time is its incarnation.
    pub(super) fn new(node: id::Node, port: u16, shared: Shared) -> Self {
        Self {
            node,
            port,
            peers: IndexMap::new(),
            incarnation: Clock::wall().as_millis().into(),
            shared,
        }
    }

    /// Starts an effect. All I/O that may wait is left to other tasks.
    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(to, message),
            Effect::Reply(target, reply, until) => self.reply(target, reply, until),
            Effect::Order(order, until) => {
                let shared = self.shared.clone();
                tokio::spawn(async move { send_order(shared, order, until).await });
            }
            Effect::RequestAdvice(OWN_RELAY, request) => {
                let shared = self.shared.clone();
                tokio::spawn(async move {
                    let adviser = *lock(&shared.forwarder.adviser);
                    let response =
                        request_advice(&shared.forwarder.client, adviser, &request).await;
                    let input = Input::Advice(OWN_RELAY, response);
                    shared.inputs.send_async(input).await;
                });
            }
            Effect::RequestAdvice(relay, request) => self.request_advice(relay, request),
            Effect::LeaderHint(hint) => {
                lock(&self.shared.leader_hint).clone_from(&hint);
                self.shared.forwarder.set_leader(hint.reaches_leader);
                if let Some(vm) = self.node.address() {
                    lock(&self.shared.forwarder.directory).update(vm, &hint);
                }
                self.shared.broadcast_hint();
            }
            Effect::Stopped => {}
        }
    }

    /// Sends an advice request through another process's relay. If that fails,
    /// the node at once gets a response without a list of eligible workers.
    fn request_advice(&self, relay: Relay, request: AdviceRequest) {
        let links = lock(&self.shared.links);
        let id = request.id;
        let sent = links.get(&relay).is_some_and(|link| {
            link.sender.try_send(Packet::AdviceRequest(request)).is_ok()
        });
        if !sent {
            let response = AdviceResponse { id, eligible: None };
            submit_input(&self.shared, Input::Advice(relay, response));
        }
    }

    /// Replies to a call; the outcome is indeterminate once the lease is over.
    fn reply(&self, target: ReplyTarget, reply: Reply, until: Option<Time>) {
        let expired = until.is_some_and(|until| self.shared.clock.now() >= until);
        let reply = if expired { Reply::Indeterminate } else { reply };
        match target {
            ReplyTarget::Local(sender) => {
                // Fails if the request has timed out.
                let _ = sender.send(reply);
            }
            ReplyTarget::Link(relay, number) => {
                let links = lock(&self.shared.links);
                let sent = links.get(&relay).map(|link| {
                    link.sender.try_send(Packet::Reply(number, reply)).is_ok()
                });
                if sent == Some(false) {
                    self.shared.metrics.count("dropped_replies", 1);
                }
            }
        }
    }

    fn send(&mut self, to: id::Node, message: consensus::Message) {
        let Some(vm) = to.address() else {
            return;
        };
        let frame = Frame {
            version: VERSION,
            cell: id::Cell::from(CELL_NAME),
            from: self.node,
            incarnation: self.incarnation,
            to,
            message,
        };
        let address = (vm, self.port).into();
        let log = self.shared.log.clone();
        let peer = self.peers.entry(vm).or_insert_with(|| {
            let (sender, receiver) = flume::bounded(link::SEND_QUEUE_LIMIT);
            let waker = Arc::new(Notify::new());
            lock(&self.shared.dial_wakers).insert(vm, waker.clone());
            tokio::spawn(maintain_peer_link(address, receiver, waker, log));
            sender
        });
        // Dropped if the queue is full; the consensus protocol repeats it.
        let _ = peer.try_send(Packet::Peer(Box::new(frame)));
    }
}

/// Keeps a connection to another core.
///
/// A core that has been down is dialled anew as soon as it connects to this one:
/// a dial that began while it was down would still wait for the retransmission
/// of its SYN packet.
async fn maintain_peer_link(
    address: SocketAddr,
    outgoing: Receiver<Packet>,
    waker: Arc<Notify>,
    log: Logger,
) {
    let mut connected = true;
    loop {
        let dial_result = tokio::select! {
            dial_result = link::dial(address, false) => dial_result,
            () = waker.notified() => continue,
        };
        let ended = match dial_result {
            Ok(stream) => {
                info!(log, "peer_connected"; "peer" => %address);
                connected = true;
                link::exchange_packets(stream, &outgoing, true, |_| {}).await
            }
            Err(error) => Err(error),
        };
        match ended {
            Ok(()) => return,
            Err(error) if connected => {
                connected = false;
                warn!(log, "peer_lost"; "peer" => %address, "error" => %error);
            }
            // The loss was logged once; the next line is about the reconnect.
            Err(_) => {}
        }
        // The queued messages are stale; the consensus protocol repeats them.
        outgoing.drain();
        tokio::select! {
            () = tokio::time::sleep(RECONNECT_DELAY) => {}
            () = waker.notified() => {}
        }
    }
}
