//! The link of a machine: a TCP proxy to the store that passes answers on at the rate of the link.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The data of one packet, and the bytes of its headers (IPv4 and TCP with timestamps).
const SEGMENT_BYTES: usize = 1448;
const SEGMENT_HEADER_BYTES: usize = 52;

/// When the link has sent all bytes that it was given.
type Busy = Arc<Mutex<Instant>>;

/// Starts a link of `mbps` from `listen` to `store`.
pub fn start(listen: SocketAddr, store: SocketAddr, mbps: f64) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let busy: Busy = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let busy = busy.clone();
            thread::spawn(move || connect(near, store, busy, mbps));
        }
    });
    Ok(address)
}

fn connect(near: TcpStream, store: SocketAddr, busy: Busy, mbps: f64) {
    let Ok(far) = TcpStream::connect(store) else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (Ok(mut requests), Ok(mut upstream)) = (near.try_clone(), far.try_clone()) else { return };
    thread::spawn(move || {
        let _ = std::io::copy(&mut requests, &mut upstream);
        let _ = upstream.shutdown(Shutdown::Both);
    });
    let (mut near, mut far) = (near, far);
    let mut buffer = [0; SEGMENT_BYTES];
    while let Ok(count @ 1..) = far.read(&mut buffer) {
        let bits = 8.0 * (count + SEGMENT_HEADER_BYTES) as f64;
        let sent_at = {
            let mut busy = busy.lock().unwrap();
            *busy = (*busy).max(Instant::now()) + Duration::from_secs_f64(bits / (mbps * 1e6));
            *busy
        };
        thread::sleep(sent_at.saturating_duration_since(Instant::now()));
        if near.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = near.shutdown(Shutdown::Both);
    let _ = far.shutdown(Shutdown::Both);
}
