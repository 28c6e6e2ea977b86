//! Sends orders to workers, and counts those without an answer.

use std::sync::atomic::Ordering;

use gentianlane::fleet::delivery::connection::Class;
use gentianlane::fleet::order::{Action, Answer, Order};
use gentianlane::unit::{Span, Time, Wall};
use gentianlane_platform as platform;
use slog::warn;

use crate::fleet::control::Input;
use crate::fleet::delivery::client::{Hindrance, Identification, RequestOutcome};
use crate::fleet::forward::lock;
use crate::fleet::shared::Shared;

/// Sends a worker an order and hands its answer to the control thread. Once the
/// leader lease is over the order isn't sent.
pub(in crate::fleet) async fn send_order(
    shared: Shared,
    order: Order,
    until: Option<Time>,
) {
    shared.order_backlog.fetch_sub(1, Ordering::Relaxed);
    let order_id = order.id;
    let is_permitted = || until.is_some_and(|until| shared.clock.now() < until);
    let answer = match is_permitted() {
        true => exchange(&shared, &order, is_permitted).await,
        false => {
            count_loss(&shared, Loss::Unsent(Hindrance::Expired));
            Answer::Unsent
        }
    };
    let input = Input::Answer(order_id, answer);
    shared.inputs.send_async(input).await;
}

/// Sends an order, and decodes the response.
async fn exchange(
    shared: &Shared,
    order: &Order,
    is_permitted: impl Fn() -> bool,
) -> Answer {
    let started = shared.clock.now();
    let is_renewal = matches!(order.action, Action::Renew { .. });
    let class = match &order.action {
        Action::Renew { wait, .. } if *wait > Span::ZERO => Class::Delayed,
        _ => Class::Prompt,
    };
    let outgoing = platform::worker::encode_order(order);
    let addressee = order.addressee();
    let question = order.is_for_one_process().then(|| order.question());
    let identification = Identification {
        addressee: &addressee,
        question: question.map(|question| platform::worker::encode_order(&question)),
        started_at,
    };
    let limit = order.timeout.into();
    let client = &shared.forwarder.client;
    let sent = client.send(
        order.address,
        outgoing,
        Some(identification),
        class,
        limit,
        is_permitted,
    );
    let outcome = sent.await;
    if !is_renewal {
        let took = shared.clock.now().since(started);
        shared.metrics.time("order", took.into());
    }
    let (answer, loss) = match outcome {
        RequestOutcome::Answered(status, body) => {
            return platform::worker::decode_response(is_renewal, status, &body);
        }
        RequestOutcome::Withheld(status, body) => {
            let answer = platform::worker::decode_response(true, status, &body);
            (withheld(order, answer), Loss::Withheld)
        }
        RequestOutcome::Unidentified => (withheld(order, Answer::Lost), Loss::Withheld),
        RequestOutcome::Unsent(hindrance) => (Answer::Unsent, Loss::Unsent(hindrance)),
        RequestOutcome::Unreachable => (Answer::Unreachable, Loss::Unreachable),
        RequestOutcome::Refused => (Answer::ConnectionRefused, Loss::Refused),
        RequestOutcome::Lost => (Answer::Lost, Loss::Broken),
        RequestOutcome::TimedOut => (Answer::Lost, Loss::TimedOut),
    };
    count_loss(shared, loss);
    answer
}

/// What becomes of an order that wasn't sent, by the answer to its question.
fn withheld(order: &Order, answer: Answer) -> Answer {
    order.withheld(answer).unwrap_or(Answer::Unsent)
}

/// When the process started that has sent a response, if this is a status.
fn started_at(status: u16, body: &[u8]) -> Option<Wall> {
    match platform::worker::decode_response(true, status, body) {
        Answer::Status(status) => Some(status.started_at.unwrap_or_default()),
        _ => None,
    }
}

/// Why an order has no answer.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// It wasn't sent, for a reason on this side.
    Unsent(Hindrance),
    /// It wasn't sent, as no connection could be opened.
    Unreachable,
    /// It wasn't sent, as nothing listens at the address.
    Refused,
    /// It wasn't sent, as another process listens at the address, or one that doesn't say
    /// which it is.
    Withheld,
    /// The connection failed.
    Broken,
    /// No response came in time.
    TimedOut,
}

impl Loss {
    /// The name of the counter.
    fn counter(self) -> &'static str {
        match self {
            Self::Unsent(Hindrance::Expired) => "orders_unsent_lease",
            Self::Unsent(Hindrance::NoConnection) => "orders_unsent_connection",
            Self::Unsent(Hindrance::NoDescriptor) => "orders_unsent_descriptor",
            Self::Unsent(Hindrance::Malformed) => "orders_unsent_malformed",
            Self::Unreachable => "orders_unreachable",
            Self::Refused => "orders_connection_refused",
            Self::Withheld => "orders_withheld",
            Self::Broken => "orders_broken",
            Self::TimedOut => "orders_timed_out",
        }
    }
}

/// The orders without an answer since the last line about them.
#[derive(Debug, Default)]
pub(in crate::fleet) struct OrderLosses {
    /// Those that weren't sent, by why.
    expired: u64,
    no_connection: u64,
    no_descriptor: u64,
    malformed: u64,
    unreachable: u64,
    refused: u64,
    withheld: u64,
    /// Those that may have been carried out.
    broken: u64,
    timed_out: u64,
    reported_at: Time,
}

/// The shortest time between two lines on lost orders.
const LOSS_REPORT_INTERVAL: Span = Span::from_millis(1_000);

/// Counts an order without an answer, and writes the counts if the last line is old
/// enough.
fn count_loss(shared: &Shared, loss: Loss) {
    shared.metrics.count(loss.counter(), 1);
    let now = shared.clock.now();
    let mut losses = lock(&shared.order_losses);
    let count = match loss {
        Loss::Unsent(Hindrance::Expired) => &mut losses.expired,
        Loss::Unsent(Hindrance::NoConnection) => &mut losses.no_connection,
        Loss::Unsent(Hindrance::NoDescriptor) => &mut losses.no_descriptor,
        Loss::Unsent(Hindrance::Malformed) => &mut losses.malformed,
        Loss::Unreachable => &mut losses.unreachable,
        Loss::Refused => &mut losses.refused,
        Loss::Withheld => &mut losses.withheld,
        Loss::Broken => &mut losses.broken,
        Loss::TimedOut => &mut losses.timed_out,
    };
    *count += 1;
    if now.since(losses.reported_at) < LOSS_REPORT_INTERVAL {
        return;
    }
    warn!(shared.log, "orders_lost"; "unsent_lease" => losses.expired,
        "unsent_connection" => losses.no_connection,
        "unsent_descriptor" => losses.no_descriptor,
        "unsent_malformed" => losses.malformed, "unreachable" => losses.unreachable,
        "connection_refused" => losses.refused, "withheld" => losses.withheld,
        "broken" => losses.broken, "timed_out" => losses.timed_out,
        "connections" => shared.forwarder.client.open_connections());
    *losses = OrderLosses {
        reported_at: now,
        ..OrderLosses::default()
    };
}
