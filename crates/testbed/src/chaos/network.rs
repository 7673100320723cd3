//! The emulated network between processes. Datagrams between coordinators and their connections to data nodes pass
//! through proxies that delay, drop, duplicate or reset them as the scenario states.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// Interval at which a partitioned connection checks whether the partition has ended.
const PARTITION_POLL: Duration = Duration::from_millis(5);
/// Size of a connection proxy's copy buffer, in bytes.
const COPY_BYTES: usize = 16 * 1024;
/// The largest datagram that is forwarded in full, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A process that sends or receives traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Participant {
    /// A coordinator, by index.
    Member(usize),
    /// A data node, by index.
    Node(usize),
}

/// Faults that affect datagrams between coordinators.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramFaults {
    /// Share of datagrams that are lost, from 0 to under 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, from 0 to under 1.
    pub duplication: f64,
    /// Shortest and longest delay in milliseconds.
    pub delay_ms: [f64; 2],
}

/// The datagram traffic that a coordinator sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total size of their payloads in bytes.
    pub bytes: u64,
}

/// The faults that are currently active.
#[derive(Default)]
struct NetworkState {
    /// The members of one side of each active partition.
    partitions: Vec<BTreeSet<Participant>>,
    /// Coordinators whose datagrams are dropped.
    muted: BTreeSet<usize>,
    datagram_faults: DatagramFaults,
}

/// The proxies of a run, and the state that they share.
pub struct FaultyNetwork {
    state: RefCell<NetworkState>,
    rng: RefCell<StdRng>,
    /// The sending coordinator by source address. A restarted process gets a new address.
    senders: RefCell<BTreeMap<SocketAddr, usize>>,
    /// The address at which each coordinator receives datagrams.
    targets: RefCell<BTreeMap<usize, SocketAddr>>,
    /// By coordinator, a counter whose increase resets all of its connections.
    reset_epochs: RefCell<BTreeMap<usize, watch::Sender<u64>>>,
    /// Datagram traffic by sending coordinator.
    pub traffic: RefCell<BTreeMap<usize, Traffic>>,
}

impl FaultyNetwork {
    /// Creates a network without faults. All random choices derive from `seed`.
    pub fn new(seed: u64) -> Rc<FaultyNetwork> {
        Rc::new(FaultyNetwork {
            state: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            senders: RefCell::default(),
            targets: RefCell::default(),
            reset_epochs: RefCell::default(),
            traffic: RefCell::default(),
        })
    }

    /// Blocks all traffic between the processes of `side` and all others.
    pub fn partition(&self, side: BTreeSet<Participant>) {
        self.state.borrow_mut().partitions.push(side);
    }

    /// Drops all datagrams from these coordinators.
    pub fn mute(&self, members: &[usize]) {
        self.state.borrow_mut().muted.extend(members);
    }

    /// Ends all partitions and unmutes all coordinators.
    pub fn heal(&self) {
        let mut state = self.state.borrow_mut();
        state.partitions.clear();
        state.muted.clear();
    }

    /// Replaces the faults that affect datagrams.
    pub fn set_datagram_faults(&self, faults: DatagramFaults) {
        self.state.borrow_mut().datagram_faults = faults;
    }

    /// Resets all connections of a coordinator to data nodes.
    pub fn reset_connections(&self, member: usize) {
        if let Some(epoch) = self.reset_epochs.borrow().get(&member) {
            epoch.send_modify(|count| *count += 1);
        }
    }

    /// Sets the address at which a coordinator sends and receives datagrams from now on.
    pub fn set_member_address(&self, member: usize, address: SocketAddr) {
        let mut senders = self.senders.borrow_mut();
        senders.retain(|_, other| *other != member);
        senders.insert(address, member);
        self.targets.borrow_mut().insert(member, address);
    }

    fn is_partitioned(&self, from: Participant, to: Participant) -> bool {
        let state = self.state.borrow();
        let mut sides = state.partitions.iter();
        sides.any(|side| side.contains(&from) != side.contains(&to))
    }

    /// Opens the datagram proxy of a coordinator and returns its address, which the other coordinators use.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be opened.
    pub async fn proxy_datagrams(self: &Rc<Self>, to: usize) -> std::io::Result<SocketAddr> {
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        tokio::task::spawn_local(self.clone().forward_datagrams(socket, to));
        Ok(address)
    }

    async fn forward_datagrams(self: Rc<Self>, socket: Rc<UdpSocket>, to: usize) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(from) = self.senders.borrow().get(&source).copied() else {
                continue;
            };
            self.count_datagram(from, length);
            self.forward_datagram(&socket, from, to, &buffer[..length]);
        }
    }

    fn count_datagram(&self, from: usize, length: usize) {
        let mut traffic = self.traffic.borrow_mut();
        let sent = traffic.entry(from).or_default();
        sent.datagrams += 1;
        sent.bytes += length as u64;
    }

    fn forward_datagram(&self, socket: &Rc<UdpSocket>, from: usize, to: usize, bytes: &[u8]) {
        let is_muted = self.state.borrow().muted.contains(&from);
        if is_muted || self.is_partitioned(Participant::Member(from), Participant::Member(to)) {
            return;
        }
        let Some(target) = self.targets.borrow().get(&to).copied() else {
            return;
        };
        let faults = self.state.borrow().datagram_faults;
        let mut rng = self.rng.borrow_mut();
        let copies = 1 + usize::from(rng.random::<f64>() < faults.duplication);
        for _ in 0..copies {
            let is_lost = rng.random::<f64>() < faults.loss;
            let [shortest, longest] = faults.delay_ms;
            let delay_ms = shortest + (longest - shortest).max(0.0) * rng.random::<f64>();
            if is_lost {
                continue;
            }
            if delay_ms <= 0.0 {
                let _ = socket.try_send_to(bytes, target);
                continue;
            }
            let socket = socket.clone();
            let bytes = bytes.to_vec();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(delay_ms / 1e3)).await;
                let _ = socket.try_send_to(&bytes, target);
            });
        }
    }

    /// Opens a connection proxy from one coordinator to one data node and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be opened.
    pub async fn proxy_connections(
        self: &Rc<Self>,
        member: usize,
        node: usize,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let network = self.clone();
        let epoch = self
            .reset_epochs
            .borrow_mut()
            .entry(member)
            .or_insert_with(|| watch::channel(0).0)
            .clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = ConnectionProxy {
                    network: network.clone(),
                    member: Participant::Member(member),
                    node: Participant::Node(node),
                };
                tokio::task::spawn_local(proxy.run(stream, target, epoch.subscribe()));
            }
        });
        Ok(address)
    }

    async fn copy_bytes(
        &self,
        from: &mut (impl AsyncReadExt + Unpin),
        to: &mut (impl AsyncWriteExt + Unpin),
        source: Participant,
        target: Participant,
    ) {
        let mut buffer = vec![0; COPY_BYTES];
        loop {
            let length = match from.read(&mut buffer).await {
                Ok(length) if length > 0 => length,
                _ => return,
            };
            // Bytes in transit are held until the partition ends, like data that a sender retransmits after a real one.
            while self.is_partitioned(source, target) {
                tokio::time::sleep(PARTITION_POLL).await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}

/// The proxy of one connection from a coordinator to a data node.
struct ConnectionProxy {
    network: Rc<FaultyNetwork>,
    member: Participant,
    node: Participant,
}

impl ConnectionProxy {
    async fn run(self, stream: TcpStream, target: SocketAddr, mut reset: watch::Receiver<u64>) {
        let Ok(upstream) = TcpStream::connect(target).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = upstream.set_nodelay(true);
        let (mut from_member, mut to_member) = stream.into_split();
        let (mut from_node, mut to_node) = upstream.into_split();
        let network = &self.network;
        let ended = async {
            tokio::select! {
                () = network.copy_bytes(&mut from_member, &mut to_node, self.member, self.node) => {}
                () = network.copy_bytes(&mut from_node, &mut to_member, self.node, self.member) => {}
            }
        };
        let is_reset = tokio::select! {
            () = ended => false,
            _ = reset.changed() => true,
        };
        if let (true, Ok(stream)) = (is_reset, from_member.reunite(to_member)) {
            // With a linger time of zero, the close sends a TCP reset.
            let _ = stream.set_zero_linger();
        }
    }
}
