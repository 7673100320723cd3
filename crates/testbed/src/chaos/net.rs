//! The ways between processes: datagrams among coordinators and connections from these to data nodes pass through here,
//! and are held up, lost, doubled or reset as the scenario says, changed in flight.

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

/// How often a way that is cut is looked at again.
const LOOK: Duration = Duration::from_millis(5);
const CHUNK: usize = 16 * 1024;

/// One end of a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Member(usize),
    Node(usize),
}

/// How all ways are at the moment.
#[derive(Default)]
struct Ways {
    cuts: Vec<BTreeSet<Party>>,
    muted: BTreeSet<usize>,
    loss: f64,
    twice: f64,
    delay_ms: [f64; 2],
}

/// All ways.
pub struct Net {
    ways: RefCell<Ways>,
    rng: RefCell<StdRng>,
    /// Where each member takes datagrams, and who sends from there; a process that starts again has a new address.
    members: RefCell<BTreeMap<SocketAddr, usize>>,
    targets: RefCell<BTreeMap<usize, SocketAddr>>,
    /// Counts up when a member's connections are reset.
    resets: RefCell<BTreeMap<usize, watch::Sender<u64>>>,
    /// Bytes of datagrams that members sent.
    pub sent: RefCell<BTreeMap<usize, (u64, u64)>>,
}

impl Net {
    pub fn new(seed: u64) -> Rc<Net> {
        Rc::new(Net {
            ways: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            members: RefCell::default(),
            targets: RefCell::default(),
            resets: RefCell::default(),
            sent: RefCell::default(),
        })
    }

    pub fn cut(&self, side: BTreeSet<Party>) {
        self.ways.borrow_mut().cuts.push(side);
    }

    pub fn mute(&self, members: &[usize]) {
        self.ways.borrow_mut().muted.extend(members);
    }

    pub fn heal(&self) {
        let mut ways = self.ways.borrow_mut();
        ways.cuts.clear();
        ways.muted.clear();
    }

    pub fn lose(&self, loss: f64, twice: f64, delay_ms: [f64; 2]) {
        let mut ways = self.ways.borrow_mut();
        (ways.loss, ways.twice, ways.delay_ms) = (loss, twice, delay_ms);
    }

    pub fn reset(&self, member: usize) {
        if let Some(resets) = self.resets.borrow().get(&member) {
            resets.send_modify(|count| *count += 1);
        }
    }

    /// A member takes its datagrams here from now on.
    pub fn place(&self, member: usize, address: SocketAddr) {
        self.members
            .borrow_mut()
            .retain(|_, other| *other != member);
        self.members.borrow_mut().insert(address, member);
        self.targets.borrow_mut().insert(member, address);
    }

    fn is_cut(&self, from: Party, to: Party) -> bool {
        self.ways
            .borrow()
            .cuts
            .iter()
            .any(|side| side.contains(&from) != side.contains(&to))
    }

    /// The address at which others reach a member; its datagrams pass from there to where it is.
    pub async fn datagrams(self: &Rc<Self>, to: usize) -> std::io::Result<SocketAddr> {
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let net = self.clone();
        tokio::task::spawn_local(async move {
            let mut buffer = vec![0; 2_048];
            loop {
                let Ok((bytes, source)) = socket.recv_from(&mut buffer).await else {
                    continue;
                };
                let Some(from) = net.members.borrow().get(&source).copied() else {
                    continue;
                };
                let sent = &mut *net.sent.borrow_mut();
                let sent = sent.entry(from).or_default();
                *sent = (sent.0 + 1, sent.1 + bytes as u64);
                net.pass(&socket, from, to, &buffer[..bytes]);
            }
        });
        Ok(address)
    }

    fn pass(self: &Rc<Self>, socket: &Rc<UdpSocket>, from: usize, to: usize, bytes: &[u8]) {
        if self.is_cut(Party::Member(from), Party::Member(to))
            || self.ways.borrow().muted.contains(&from)
        {
            return;
        }
        let Some(target) = self.targets.borrow().get(&to).copied() else {
            return;
        };
        let (loss, twice, [least, most]) = {
            let ways = self.ways.borrow();
            (ways.loss, ways.twice, ways.delay_ms)
        };
        let copies = 1 + usize::from(self.rng.borrow_mut().random::<f64>() < twice);
        for _ in 0..copies {
            let (lost, late) = {
                let mut rng = self.rng.borrow_mut();
                (
                    rng.random::<f64>() < loss,
                    least + (most - least).max(0.0) * rng.random::<f64>(),
                )
            };
            if lost {
                continue;
            }
            if late <= 0.0 {
                let _ = socket.try_send_to(bytes, target);
                continue;
            }
            let (socket, bytes) = (socket.clone(), bytes.to_vec());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(late / 1e3)).await;
                let _ = socket.try_send_to(&bytes, target);
            });
        }
    }

    /// The address at which one member reaches one data node.
    pub async fn connections(
        self: &Rc<Self>,
        member: usize,
        node: usize,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let net = self.clone();
        let resets = net
            .resets
            .borrow_mut()
            .entry(member)
            .or_insert_with(|| watch::channel(0).0)
            .clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (net, mut reset) = (net.clone(), resets.subscribe());
                tokio::task::spawn_local(async move {
                    let Ok(beyond) = TcpStream::connect(target).await else {
                        return;
                    };
                    let _ = (stream.set_nodelay(true), beyond.set_nodelay(true));
                    let (member, node) = (Party::Member(member), Party::Node(node));
                    let (mut from, mut to) = stream.into_split();
                    let (mut back, mut forth) = beyond.into_split();
                    let done = async {
                        tokio::select! {
                            () = net.copy(&mut from, &mut forth, member, node) => {}
                            () = net.copy(&mut back, &mut to, node, member) => {}
                        }
                    };
                    let struck = tokio::select! {
                        () = done => false,
                        _ = reset.changed() => true,
                    };
                    if let (true, Ok(stream)) = (struck, from.reunite(to)) {
                        // The end without a word that a reset is.
                        let _ = stream.set_zero_linger();
                    }
                });
            }
        });
        Ok(address)
    }

    async fn copy(
        &self,
        from: &mut (impl AsyncReadExt + Unpin),
        to: &mut (impl AsyncWriteExt + Unpin),
        here: Party,
        there: Party,
    ) {
        let mut buffer = vec![0; CHUNK];
        loop {
            let bytes = match from.read(&mut buffer).await {
                Ok(bytes) if bytes > 0 => bytes,
                _ => return,
            };
            // What is under way is held, as a network that is cut holds what it was given.
            while self.is_cut(here, there) {
                tokio::time::sleep(LOOK).await;
            }
            if to.write_all(&buffer[..bytes]).await.is_err() {
                return;
            }
        }
    }
}
