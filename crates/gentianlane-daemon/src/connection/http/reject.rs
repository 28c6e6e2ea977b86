//! Rejects connections over the limit with a short response.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};

/// The capacity of the queue of connections to reject; further ones are closed
/// without a response.
const QUEUE_LIMIT: usize = 64;

/// The longest time for each write and read on a rejected connection.
const REJECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The response to a rejected connection.
const RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
Content-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\n\
Content-Length: 147\r\n\r\n\
{\"reply\":\"refused\",\"with\":{\"outcome\":{\"verdict\":\"not_run\",\
\"reason\":\"overloaded\",\"retry_after\":1000},\"detail\":\
\"too many connections are open here\"}}";

/// The queue to a thread that rejects connections, so that the accepting thread
/// never blocks on one.
pub(super) struct Rejecter(Sender<TcpStream>);

impl Rejecter {
    pub(super) fn start() -> Self {
        let (sender, waiting) = flume::bounded(QUEUE_LIMIT);
        thread::spawn(move || reject_all(&waiting));
        Self(sender)
    }

    /// Queues a connection for rejection.
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
