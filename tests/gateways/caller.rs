//! A caller with one flow.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use tokio::{net::UdpSocket, time::timeout};

use super::segment::{ACK, Endpoint, RST, SYN, Segment};

/// The longest wait for a response on the loopback interface.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a packet is sent before the caller gives up.
const MAX_ATTEMPTS: u32 = 10;

/// The result of an attempt to open a flow or of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The number of the target that responded, 0 for an opened flow.
    Served(u64),
    Reset,
    TimedOut,
}

/// A caller with its own loopback address and the port of the daemons, where it receives packets.
#[derive(Debug)]
pub(crate) struct Caller {
    socket: UdpSocket,
    endpoint: Endpoint,
}

impl Caller {
    pub(crate) async fn new(number: u8, data_port: u16, service: (Ipv4Addr, u16)) -> Caller {
        let ip = Ipv4Addr::new(127, 0, 9, number);
        let socket = UdpSocket::bind((ip, data_port)).await.expect("the address is free");
        let address = (ip, 5_000);
        let endpoint = Endpoint { address, service, token: 0, sequence: 100, acknowledged: 0 };
        Caller { socket, endpoint }
    }

    /// Opens a new flow from the next port.
    pub(crate) async fn open(&mut self, daemon: SocketAddr) -> Outcome {
        self.endpoint.address.1 += 1;
        self.endpoint.token = 0;
        self.endpoint.sequence = 100;
        for attempt in 0..MAX_ATTEMPTS {
            let mut segment = self.endpoint.segment(SYN, Vec::new());
            segment.acknowledged = attempt;
            match self.exchange(daemon, &segment).await {
                Some(answer) if answer.flags & RST != 0 => return Outcome::Reset,
                Some(answer) => {
                    assert_eq!(answer.flags, SYN | ACK);
                    self.endpoint.token = answer.token;
                    self.endpoint.acknowledged = answer.sequence;
                    return Outcome::Served(0);
                }
                None => {}
            }
        }
        Outcome::TimedOut
    }

    /// Sends a request on the open flow through `daemon`.
    pub(crate) async fn request(&mut self, daemon: SocketAddr) -> Outcome {
        let segment = self.endpoint.segment(ACK, b"request".to_vec());
        for _ in 0..MAX_ATTEMPTS {
            match self.exchange(daemon, &segment).await {
                Some(answer) if answer.flags & RST != 0 => return Outcome::Reset,
                Some(answer) => {
                    self.endpoint.token = answer.token;
                    self.endpoint.sequence += segment.data.len() as u32;
                    self.endpoint.acknowledged = answer.sequence + answer.data.len() as u32;
                    let text = String::from_utf8(answer.data).expect("the response is UTF-8");
                    let number = text.split(' ').next().and_then(|number| number.parse().ok());
                    return Outcome::Served(
                        number.expect("the response starts with the target's number"),
                    );
                }
                None => {}
            }
        }
        Outcome::TimedOut
    }

    /// Opens a flow and sends a request on it.
    pub(crate) async fn open_and_request(&mut self, daemon: SocketAddr) -> Outcome {
        match self.open(daemon).await {
            Outcome::Served(_) => self.request(daemon).await,
            other => other,
        }
    }

    /// Sends a packet and returns the next one of this flow, or `None` after [`RESPONSE_TIMEOUT`].
    async fn exchange(&self, daemon: SocketAddr, segment: &Segment) -> Option<Segment> {
        self.socket.send_to(&segment.encode(), daemon).await.expect("the packet is sent");
        let mut buffer = [0; 2048];
        let receive = async {
            loop {
                let received = self.socket.recv_from(&mut buffer).await;
                let (length, _) = received.expect("the socket works");
                let answer = Segment::decode(&buffer[..length]);
                if answer.destination == self.endpoint.address {
                    return answer;
                }
            }
        };
        timeout(RESPONSE_TIMEOUT, receive).await.ok()
    }
}
