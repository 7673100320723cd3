//! Stand-ins that do what the test says at the moment it says: an agent with scripted answers, and a data node that
//! takes no connection until it is let.

use super::read_message;
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What an agent does with a call.
pub enum Reply {
    /// These bytes, and the connection goes on.
    Send(Vec<u8>),
    /// These bytes, then the connection's end.
    Close(Vec<u8>),
    /// These bytes, then a reset.
    Reset(Vec<u8>),
    /// These bytes and nothing more, on a connection that stays open.
    Stall(Vec<u8>),
}

/// A call as it came: when, on which connection, its target.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: Instant,
    pub connection: usize,
    pub target: String,
}

impl Call {
    /// The version from which on changes are asked for; `None`: the whole list is.
    pub fn from(&self) -> Option<u64> {
        self.target
            .split("from=")
            .nth(1)?
            .split('&')
            .next()?
            .parse()
            .ok()
    }
}

/// An agent that answers as a script says. The script may wait, and so hold an answer back.
pub struct Agent {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<Call>>>,
}

impl Agent {
    pub fn new(script: impl Fn(&Call) -> Reply + Send + Sync + 'static) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let (heard, script) = (calls.clone(), Arc::new(script));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (heard, script) = (heard.clone(), script.clone());
                thread::spawn(move || Self::connection(stream, connection, &heard, &*script));
            }
        });
        Agent { address, calls }
    }

    fn connection(
        mut stream: TcpStream,
        connection: usize,
        heard: &Mutex<Vec<Call>>,
        script: &dyn Fn(&Call) -> Reply,
    ) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let line = read_message(&mut reader)?.line;
            let target = line.split(' ').nth(1)?.to_string();
            let call = Call {
                at: Instant::now(),
                connection,
                target,
            };
            heard.lock().unwrap().push(call.clone());
            match script(&call) {
                Reply::Send(bytes) => stream.write_all(&bytes).ok()?,
                Reply::Close(bytes) => return stream.write_all(&bytes).ok(),
                Reply::Reset(bytes) => {
                    stream.write_all(&bytes).ok()?;
                    // What was sent is there before the reset is.
                    thread::sleep(Duration::from_millis(20));
                    return SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok();
                }
                Reply::Stall(bytes) => {
                    stream.write_all(&bytes).ok()?;
                    let mut rest = Vec::new();
                    reader.read_to_end(&mut rest).ok()?;
                    return None;
                }
            }
        }
    }
}

/// The body of a list.
pub fn list(revision: u64, complete: bool, members: &[Value]) -> String {
    json!({"revision": revision, "complete": complete, "members": members}).to_string()
}

/// A whole answer with this body.
pub fn answer(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The same without a length: it lasts until the connection's end.
pub fn endless(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{body}").into_bytes()
}

/// A data node's machine that lets no connection come up until it is told to: its queue of connections is full. The
/// system asks again a second later.
pub struct Shut {
    listener: Socket,
    full: Vec<TcpStream>,
}

impl Shut {
    pub fn new() -> Shut {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        listener.listen(0).unwrap();
        let mut shut = Shut {
            listener,
            full: Vec::new(),
        };
        while let Ok(stream) =
            TcpStream::connect_timeout(&shut.address(), Duration::from_millis(50))
        {
            shut.full.push(stream);
        }
        shut
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap().as_socket().unwrap()
    }

    /// Lets connections come up; the first one that wasn't there before.
    pub fn open(self) -> TcpStream {
        self.listener
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let ours: Vec<SocketAddr> = self
            .full
            .iter()
            .map(|stream| stream.local_addr().unwrap())
            .collect();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !ours.contains(&from.as_socket().unwrap()) {
                return stream.into();
            }
        }
    }
}
