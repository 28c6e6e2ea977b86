//! Calls forwarded from one node to another, as JSON-RPC over WebSocket.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gentianlane::api::{Call, Reply};
use gentianlane::id;
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::{ClientT, Error};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::server::{ServerBuilder, ServerConfig};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use miette::{IntoDiagnostic, Result};
use tokio::runtime::Handle;

use crate::channel::ControlSender;
use crate::clock::Clock;
use crate::process::settings::Settings;
use crate::process::telemetry::trace::{Span, Tracer};
use crate::process::telemetry::{self};
use crate::request::local;

/// The JSON-RPC method that forwards a call.
const CALL_METHOD: &str = "cell_call";

/// The longest time to connect to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest wait for a reply. It is longer than any time for which a call may
/// be held.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);

/// The most connections from other nodes.
const CONNECTION_LIMIT: u32 = 128;

/// The longest request or response, in bytes.
const MESSAGE_LIMIT: u32 = 4 << 20;

/// The most unanswered calls on one connection.
const PENDING_CALL_LIMIT: usize = 4_096;

/// Binds the address and serves calls from other nodes.
pub(crate) async fn serve(
    address: SocketAddr,
    control: ControlSender,
    clock: Clock,
    tracer: Tracer,
) -> Result<()> {
    let config = ServerConfig::builder()
        .max_connections(CONNECTION_LIMIT)
        .max_request_body_size(MESSAGE_LIMIT)
        .max_response_body_size(MESSAGE_LIMIT)
        .build();
    let server = ServerBuilder::with_config(config)
        .build(address)
        .await
        .into_diagnostic()?;
    let mut module = RpcModule::new((control, clock, tracer));
    module
        .register_async_method(CALL_METHOD, |params, context, _| async move {
            let mut params = params.sequence();
            let call: Call = params.next()?;
            let parent: Option<String> = params.optional_next()?;
            let (control, clock, tracer) = &*context;
            let parent = parent.and_then(|parent| parent.parse().ok());
            let _span = tracer.start_span("control", telemetry::call_name(&call), parent);
            let reply = local::call_async(control, clock, call).await;
            Ok::<Reply, ErrorObjectOwned>(reply)
        })
        .into_diagnostic()?;
    tokio::spawn(server.start(module).stopped());
    Ok(())
}

/// Why a forwarded call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The node couldn't be reached, and nothing was sent.
    Unreachable,
    /// The call may have been sent, but no reply arrived; it may have run.
    ReplyLost,
}

/// A pool with one connection to each other node, opened on demand.
#[derive(Clone)]
pub(crate) struct Client {
    addresses: Arc<HashMap<id::Node, SocketAddr>>,
    clients: Arc<Mutex<HashMap<id::Node, Arc<WsClient>>>>,
    runtime: Handle,
    tracer: Tracer,
}

impl Client {
    pub(crate) fn new(settings: &Settings, runtime: Handle, tracer: Tracer) -> Self {
        let addresses = settings
            .other_peers()
            .map(|peer| (peer.node, peer.rpc))
            .collect();
        Self {
            addresses: Arc::new(addresses),
            clients: Arc::default(),
            runtime,
            tracer,
        }
    }

    /// Starts a span for a call as a child of this thread's current span.
    pub(crate) fn start_span(&self, name: &'static str, call: &Call) -> Option<Span> {
        self.tracer
            .start_span(name, telemetry::call_name(call), Span::current())
    }

    /// Forwards a call to a node and blocks until it replies.
    pub(crate) fn call(&self, to: id::Node, call: &Call) -> Result<Reply, Fault> {
        let span = self.start_span("forward", call);
        let parent = span.as_ref().map(|span| span.context().to_string());
        self.runtime.block_on(async {
            let client = self.client(to).await?;
            let mut params = ArrayParams::new();
            params.insert(call).map_err(|_| Fault::Unreachable)?;
            params.insert(parent).map_err(|_| Fault::Unreachable)?;
            let reply = client.request(CALL_METHOD, params).await;
            reply.map_err(|error| self.handle_error(to, &client, &error))
        })
    }

    async fn client(&self, to: id::Node) -> Result<Arc<WsClient>, Fault> {
        let known = self.clients().get(&to).cloned();
        if let Some(client) = known.filter(|client| client.is_connected()) {
            return Ok(client);
        }
        let address = self.addresses.get(&to).ok_or(Fault::Unreachable)?;
        let client = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(REQUEST_TIMEOUT)
            .max_concurrent_requests(PENDING_CALL_LIMIT)
            .build(format!("ws://{address}"))
            .await
            .map_err(|_| Fault::Unreachable)?;
        let client = Arc::new(client);
        self.clients().insert(to, Arc::clone(&client));
        Ok(client)
    }

    fn handle_error(&self, to: id::Node, client: &Arc<WsClient>, error: &Error) -> Fault {
        if matches!(error, Error::Call(_)) {
            return Fault::ReplyLost;
        }
        let mut clients = self.clients();
        if clients
            .get(&to)
            .is_some_and(|known| Arc::ptr_eq(known, client))
        {
            clients.remove(&to);
        }
        Fault::ReplyLost
    }

    fn clients(&self) -> std::sync::MutexGuard<'_, HashMap<id::Node, Arc<WsClient>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
