//! Connections between a fleet's processes: length-prefixed packets over TCP,
//! with pings to detect a dead connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use flume::{Receiver, Sender};
use gentianlane::fleet::link::{PACKET_LIMIT, Packet, VERSION};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout};

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How often the side that connected sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(150);

/// The time without a packet after which a connection counts as dead. It is
/// several ping intervals, so that a short stall of the CPU loses no connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// The time limit for one write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The capacity of a connection's send queue, in packets.
pub(crate) const SEND_QUEUE_LIMIT: usize = 2_048;

/// Connects to another process, and sends the protocol version.
///
/// `relays_advice` says whether this side calls the leader, and relays its
/// advice requests, over the connection.
///
/// # Errors
///
/// An error of the connection, or [`CONNECT_TIMEOUT`] is over.
pub(crate) async fn dial(
    address: SocketAddr,
    relays_advice: bool,
) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let mut stream = timeout(CONNECT_TIMEOUT, connecting).await??;
    stream.set_nodelay(true)?;
    let hello = Packet::Hello {
        version: VERSION,
        relays_advice,
    };
    stream.write_all(&encode(&hello)?).await?;
    Ok(stream)
}

/// Sends the packets of `outgoing`, and handles received ones, until the
/// connection fails or times out, or `outgoing` has no sender any more.
///
/// `pings` is true on the side that connected.
///
/// # Errors
///
/// An error of the connection, [`SILENCE_TIMEOUT`] or [`WRITE_TIMEOUT`] is over,
/// or the other side sent a malformed packet or another protocol version.
pub(crate) async fn exchange_packets(
    stream: TcpStream,
    outgoing: &Receiver<Packet>,
    pings: bool,
    handle_packet: impl FnMut(Packet),
) -> io::Result<()> {
    let (reader, writer) = stream.into_split();
    let (pong, pongs) = flume::bounded(1);
    tokio::select! {
        ended = read_all(reader, &pong, handle_packet) => ended,
        ended = write_all(writer, outgoing, &pongs, pings) => ended,
    }
}

async fn read_all(
    reader: OwnedReadHalf,
    pong: &Sender<()>,
    mut handle_packet: impl FnMut(Packet),
) -> io::Result<()> {
    let mut reader = BufReader::new(reader);
    loop {
        match timeout(SILENCE_TIMEOUT, read(&mut reader)).await?? {
            Packet::Ping => {
                // If a pong is queued already, it answers this ping as well.
                let _ = pong.try_send(());
            }
            Packet::Pong => {}
            Packet::Hello { version, .. } if version != VERSION => {
                return Err(io::Error::other("the peer has another protocol version"));
            }
            packet => handle_packet(packet),
        }
    }
}

async fn write_all(
    mut writer: OwnedWriteHalf,
    outgoing: &Receiver<Packet>,
    pongs: &Receiver<()>,
    pings: bool,
) -> io::Result<()> {
    let mut next_ping = Instant::now();
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        tokio::select! {
            packet = outgoing.recv_async() => {
                let Ok(packet) = packet else {
                    return Ok(());
                };
                bytes.extend(encode(&packet)?);
                for packet in outgoing.try_iter() {
                    bytes.extend(encode(&packet)?);
                }
            }
            Ok(()) = pongs.recv_async() => bytes.extend(encode(&Packet::Pong)?),
            () = tokio::time::sleep_until(next_ping), if pings => {
                next_ping = Instant::now() + PING_INTERVAL;
                bytes.extend(encode(&Packet::Ping)?);
            }
        }
        timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await??;
    }
}

/// The bytes of a packet: its length as a little-endian `u32`, then its postcard
/// encoding.
fn encode(packet: &Packet) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bytes = postcard::to_extend(packet, bytes).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len() - LENGTH_BYTES).map_err(io::Error::other)?;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// The size of a packet's length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

async fn read(reader: &mut BufReader<OwnedReadHalf>) -> io::Result<Packet> {
    let length = reader.read_u32_le().await? as usize;
    if length > PACKET_LIMIT {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}
