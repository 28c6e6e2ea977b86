//! What a core's traffic thread carries out for its control thread: messages to
//! other cores, replies, orders to workers and questions for advice.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use flume::{Receiver, Sender};
use gentianlane::consensus;
use gentianlane::fleet::call::Reply;
use gentianlane::fleet::dispatch::Relay;
use gentianlane::fleet::link::Packet;
use gentianlane::fleet::order::{Action, AdviceRequest, AdviceResponse, Answer, Order};
use gentianlane::id;
use gentianlane::unit::Time;
use gentianlane::wire::{Frame, VERSION};
use gentianlane_platform as platform;
use indexmap::IndexMap;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::fleet::client::{Outcome, ask};
use crate::fleet::control::{Asker, Effect, Input};
use crate::fleet::core::{CELL, OWN, RECONNECT, Shared, hand_in};
use crate::fleet::forward::lock;
use crate::fleet::link;

/// The traffic thread's side of what the control thread wants done.
pub(super) struct Traffic {
    node: id::Node,
    port: u16,
    peers: IndexMap<Ipv4Addr, Sender<Packet>>,
    incarnation: id::Incarnation,
    shared: Shared,
}

impl Traffic {
    /// A process's traffic before anything was sent.
    pub(super) fn new(node: id::Node, port: u16, shared: Shared) -> Self {
        Self {
            node,
            port,
            peers: IndexMap::new(),
            incarnation: Clock::wall().as_millis().into(),
            shared,
        }
    }

    pub(super) fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(to, message),
            Effect::Reply(asker, reply, until) => self.reply(asker, reply, until),
            Effect::Order(order, until) => {
                let shared = self.shared.clone();
                tokio::spawn(async move { give(shared, order, until).await });
            }
            Effect::Ask(OWN, question) => {
                let shared = self.shared.clone();
                tokio::spawn(async move {
                    let adviser = *lock(&shared.forward.adviser);
                    let opinion = ask(&shared.forward.client, adviser, &question).await;
                    let input = Input::Opinion(OWN, opinion);
                    let _ = shared.inputs.send_async(input).await;
                });
            }
            Effect::Ask(helper, question) => self.ask(helper, question),
            Effect::Guide(guide) => {
                lock(&self.shared.guide).clone_from(&guide);
                self.shared.forward.set_leads(guide.reaches_leader);
                if let Some(seat) = self.node.address() {
                    lock(&self.shared.forward.known).update(seat, &guide);
                }
                self.shared.tell_guide();
            }
            Effect::Stopped => {}
        }
    }

    fn ask(&self, helper: Relay, question: AdviceRequest) {
        let links = lock(&self.shared.links);
        let number = question.id;
        let sent = links.get(&helper).is_some_and(|link| {
            link.sender
                .try_send(Packet::AdviceRequest(question))
                .is_ok()
        });
        if !sent {
            let opinion = AdviceResponse {
                id: number,
                eligible: None,
            };
            hand_in(&self.shared, Input::Opinion(helper, opinion));
        }
    }

    fn reply(&self, asker: Asker, reply: Reply, until: Option<Time>) {
        let over = until.is_some_and(|until| self.shared.clock.now() >= until);
        let reply = if over { Reply::Indeterminate } else { reply };
        match asker {
            Asker::Local(sender) => {
                // The request may have been given up by now.
                let _ = sender.send(reply);
            }
            Asker::Link(helper, number) => {
                let links = lock(&self.shared.links);
                let sent = links.get(&helper).map(|link| {
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
            cell: id::Cell::from(CELL),
            from: self.node,
            incarnation: self.incarnation,
            to,
            message,
        };
        let address = (vm, self.port).into();
        let log = self.shared.log.clone();
        let peer = self.peers.entry(vm).or_insert_with(|| {
            let (sender, receiver) = flume::bounded(link::WAITING_LIMIT);
            let wake = Arc::new(Notify::new());
            lock(&self.shared.wakes).insert(vm, wake.clone());
            tokio::spawn(keep_peer(address, receiver, wake, log));
            sender
        });
        // The protocol sends again what is dropped here.
        let _ = peer.try_send(Packet::Peer(Box::new(frame)));
    }
}

/// Keeps a connection to another core.
///
/// A core that has been down is dialled as soon as it dials itself: a dial that
/// began while it was down would still wait for its first packet's repetition.
async fn keep_peer(
    address: SocketAddr,
    outgoing: Receiver<Packet>,
    wake: Arc<Notify>,
    log: Logger,
) {
    let mut connected = true;
    loop {
        let dialled = tokio::select! {
            dialled = link::dial(address, false) => dialled,
            () = wake.notified() => continue,
        };
        let ended = match dialled {
            Ok(stream) => {
                info!(log, "peer_connected"; "peer" => %address);
                connected = true;
                link::carry(stream, &outgoing, true, |_| {}).await
            }
            Err(error) => Err(error),
        };
        match ended {
            Ok(()) => return,
            Err(error) if connected => {
                connected = false;
                warn!(log, "peer_lost"; "peer" => %address, "error" => %error);
            }
            // The loss was told; the next line is that the peer is back.
            Err(_) => {}
        }
        // What has waited meanwhile is old; the protocol sends it again.
        outgoing.drain();
        tokio::select! {
            () = tokio::time::sleep(RECONNECT) => {}
            () = wake.notified() => {}
        }
    }
}

/// Gives a worker an order, unless this node may not lead any more.
async fn give(shared: Shared, order: Order, until: Option<Time>) {
    let number = order.id;
    let began = shared.clock.now();
    let answer = match until {
        Some(until) if began < until => {
            let is_hold = matches!(order.action, Action::Renew { .. });
            let outgoing = platform::worker::request(&order);
            let limit = order.timeout.into();
            let outcome = shared
                .forward
                .client
                .send(order.address, outgoing, limit)
                .await;
            let took = shared.clock.now().since(began);
            if !is_hold {
                shared.metrics.time("order", took.into());
            }
            match outcome {
                Outcome::Answered(status, body) => {
                    platform::worker::answer(is_hold, status, &body)
                }
                Outcome::Refused => Answer::Unreachable,
                Outcome::Lost => Answer::Lost,
            }
        }
        _ => Answer::Lost,
    };
    let _ = shared
        .inputs
        .send_async(Input::Answer(number, answer))
        .await;
}
