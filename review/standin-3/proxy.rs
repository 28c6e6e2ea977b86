//! A proxy that delays the connections between two processes.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Proxy {
    /// The delay of each direction, in microseconds.
    delay: AtomicU64,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let proxy = Arc::new(Self {
            delay: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(listen).unwrap();
        let this = Arc::clone(&proxy);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = Arc::clone(&this);
                thread::spawn(move || this.serve(stream, target));
            }
        });
        proxy
    }

    pub fn set_delay(&self, delay: Duration) {
        self.delay.store(delay.as_micros() as u64, Ordering::SeqCst);
    }

    fn serve(self: &Arc<Self>, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let this = Arc::clone(self);
        thread::spawn(move || this.pump(near_copy, far_copy));
        self.pump(far, near);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
        thread::scope(|scope| {
            let to = &mut to;
            scope.spawn(move || {
                while let Ok((due, bytes)) = receiver.recv() {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    if to.write_all(&bytes).is_err() {
                        break;
                    }
                }
                let _ = to.shutdown(Shutdown::Both);
            });
            let mut buffer = vec![0; 64 << 10];
            while let Ok(length) = from.read(&mut buffer) {
                let delay = Duration::from_micros(self.delay.load(Ordering::SeqCst));
                if length == 0
                    || sender
                        .send((Instant::now() + delay, buffer[..length].to_vec()))
                        .is_err()
                {
                    break;
                }
            }
            let _ = from.shutdown(Shutdown::Both);
            drop(sender);
        });
    }
}
