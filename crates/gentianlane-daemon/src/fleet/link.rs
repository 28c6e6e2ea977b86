//! Connections between a fleet's processes: packets over TCP, with pings that
//! find out a connection that went silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use flume::{Receiver, Sender};
use gentianlane::fleet::link::{PACKET_LIMIT, Packet, VERSION};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout};

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How often the side that connected pings.
const PING_INTERVAL: Duration = Duration::from_millis(150);

/// A connection on which nothing came for this long is given up; several
/// pings, so that a short stall of the processor is no loss.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long one write may take.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How many packets may wait to be sent on one connection.
pub(crate) const SEND_QUEUE_LIMIT: usize = 2_048;

/// Connects, and says which version is spoken.
///
/// `relays_advice` is true for an entry, which puts questions for the leader.
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

/// Carries packets both ways until the connection fails, goes silent, or
/// nobody sends any more.
///
/// `pings` is true on the side that connected.
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
                // One answer stands for all pings that wait for it.
                let _ = pong.try_send(());
            }
            Packet::Pong => {}
            Packet::Hello { version, .. } if version != VERSION => {
                return Err(io::Error::other("another version of the protocol"));
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

fn encode(packet: &Packet) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bytes = postcard::to_extend(packet, bytes).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len() - LENGTH_BYTES).map_err(io::Error::other)?;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// How many bytes a packet's length takes.
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
