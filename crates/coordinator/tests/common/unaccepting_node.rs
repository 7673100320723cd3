//! A data node on which connections can't be established until the test accepts them.

use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A data node whose backlog is full, so that connection attempts stay pending. The operating system repeats an attempt
/// after one second.
pub struct UnacceptingNode {
    listener: Socket,
    backlog: Vec<TcpStream>,
}

impl UnacceptingNode {
    pub fn new() -> UnacceptingNode {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        listener.listen(0).unwrap();
        let mut node = UnacceptingNode {
            listener,
            backlog: Vec::new(),
        };
        while let Ok(stream) =
            TcpStream::connect_timeout(&node.address(), Duration::from_millis(50))
        {
            node.backlog.push(stream);
        }
        node
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap().as_socket().unwrap()
    }

    /// Accepts connections until it finds one that the node didn't open itself to fill its backlog, and returns that one.
    pub fn accept(self) -> TcpStream {
        self.listener
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let own_addresses: Vec<SocketAddr> = self
            .backlog
            .iter()
            .map(|stream| stream.local_addr().unwrap())
            .collect();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !own_addresses.contains(&from.as_socket().unwrap()) {
                return stream.into();
            }
        }
    }
}
