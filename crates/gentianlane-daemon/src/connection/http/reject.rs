//! Connections for which there is no room: each gets a short response.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};

/// How many connections may wait for their refusal; more are closed at once.
const QUEUE_LIMIT: usize = 64;

/// How long one refusal may take.
const REJECT_TIMEOUT: Duration = Duration::from_millis(100);

/// What a connection is told for which there is no room.
const RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
Content-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\n\
Content-Length: 147\r\n\r\n\
{\"reply\":\"refused\",\"with\":{\"outcome\":{\"verdict\":\"not_run\",\
\"reason\":\"overloaded\",\"retry_after\":1000},\"detail\":\
\"too many connections are open here\"}}";

/// The thread that refuses connections, so that the accepting one never waits.
pub(super) struct Rejecter(Sender<TcpStream>);

impl Rejecter {
    pub(super) fn start() -> Self {
        let (sender, waiting) = flume::bounded(QUEUE_LIMIT);
        thread::spawn(move || reject_all(&waiting));
        Self(sender)
    }

    /// Refuses a connection some time soon.
    pub(super) fn reject(&self, stream: TcpStream) {
        let _ = self.0.try_send(stream);
    }
}

fn reject_all(waiting: &Receiver<TcpStream>) {
    for mut stream in waiting {
        let timed = stream.set_write_timeout(Some(REJECT_TIMEOUT)).is_ok()
            && stream.set_read_timeout(Some(REJECT_TIMEOUT)).is_ok();
        let told = timed && stream.write_all(RESPONSE).is_ok();
        if told && stream.shutdown(Shutdown::Write).is_ok() {
            let _ = stream.read(&mut [0; 1 << 10]);
        }
    }
}
