//! Consensus messages between nodes over TCP.
//!
//! Each frame is preceded by its length in bytes, a little-endian `u32`. A
//! connection carries frames in one direction only.

use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};
use gentianlane::consensus::Message;
use gentianlane::id;
use gentianlane::wire::{FRAME_LIMIT, Frame, VERSION};
use miette::{IntoDiagnostic, Result};

use crate::channel::{ControlSender, Input, PEER_QUEUE_LIMIT};
use crate::process::settings::Settings;
use crate::process::telemetry::metrics::Metrics;

/// The longest time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay before the next attempt to connect to a peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// The longest silence of a peer before its connection is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The longest time for one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The send queues to all other nodes.
pub(crate) struct Outbox {
    cell: id::Cell,
    node: id::Node,
    incarnation: id::Incarnation,
    peers: HashMap<id::Node, Sender<Vec<u8>>>,
    metrics: Metrics,
}

impl Outbox {
    /// Starts a sender thread for each other node; the threads end when the
    /// outbox is dropped.
    pub(crate) fn start(
        settings: &Settings,
        incarnation: id::Incarnation,
        metrics: Metrics,
    ) -> Self {
        let mut peers = HashMap::new();
        for peer in settings.other_peers() {
            let (sender, receiver) = flume::bounded(PEER_QUEUE_LIMIT);
            let address = peer.peer;
            thread::spawn(move || send_frames(address, &receiver));
            peers.insert(peer.node, sender);
        }
        let (cell, node) = (settings.cell.clone(), settings.node);
        Self {
            cell,
            node,
            incarnation,
            peers,
            metrics,
        }
    }

    /// Queues a message for a node, or drops it if the node's queue is full.
    pub(crate) fn send(&self, to: id::Node, message: Message) {
        let frame = Frame {
            version: VERSION,
            cell: self.cell.clone(),
            from: self.node,
            incarnation: self.incarnation,
            to,
            message,
        };
        if let (Some(peer), Ok(bytes)) = (self.peers.get(&to), frame.encode()) {
            let length = bytes.len();
            let sent = peer.try_send(bytes).is_ok();
            self.metrics.outgoing_frame(length, sent);
        }
    }
}

fn send_frames(address: SocketAddr, frames: &Receiver<Vec<u8>>) {
    let mut stream = None;
    while let Ok(frame) = frames.recv() {
        if stream.is_none() {
            stream = connect(address).ok();
        }
        let Some(open) = &mut stream else {
            frames.drain();
            thread::sleep(RECONNECT_DELAY);
            continue;
        };
        if write_frame(open, &frame).is_err() {
            stream = None;
        }
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    Ok(stream)
}

fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(4 + frame.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes)
}

/// The listener for frames of other nodes.
pub(crate) struct Listener {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Listener {
    /// Binds the address and starts a thread that accepts connections.
    pub(crate) fn start(
        address: SocketAddr,
        settings: &Settings,
        control: ControlSender,
        metrics: &Metrics,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).into_diagnostic()?;
        let stop = Arc::new(AtomicBool::new(false));
        let (cell, node) = (settings.cell.clone(), settings.node);
        let stopped = Arc::clone(&stop);
        let metrics = metrics.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (cell, control) = (cell.clone(), control.clone());
                let metrics = metrics.clone();
                thread::spawn(move || {
                    read_frames(stream, &cell, node, &control, &metrics);
                });
            }
        });
        Ok(Self { address, stop })
    }

    /// Stops accepting connections. Those that are open stay until their peers
    /// close them or fall silent.
    pub(crate) fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
    }
}

fn read_frames(
    stream: TcpStream,
    cell: &id::Cell,
    node: id::Node,
    control: &ControlSender,
    metrics: &Metrics,
) {
    if stream.set_read_timeout(Some(READ_TIMEOUT)).is_err() {
        return;
    }
    let mut reader = BufReader::new(stream);
    while let Ok(bytes) = read_frame(&mut reader) {
        let Ok(frame) = Frame::decode(&bytes, cell, node) else {
            metrics.rejected_frame();
            return;
        };
        if control
            .send(Input::Message(frame.from, frame.message))
            .is_err()
        {
            return;
        }
    }
}

fn read_frame(reader: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    reader.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_LIMIT {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes)?;
    Ok(bytes)
}
