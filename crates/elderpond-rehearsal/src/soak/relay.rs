//! A relay on every way between two machines of a fleet, by which ways are cut for a while.
//!
//! Each machine has an inner port of its own, and dials the others at that. So whatever one machine sends
//! to another comes to a socket that stands for this way alone; it goes on from the sender's address to the
//! receiver's own port. The links of proxies may have a rate.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::link_rate::{Link, LinkRate};
use crate::fleet::{Fleet, Role};

/// Bytes that a way takes at a time.
const CHUNK: usize = 16 << 10;
/// Bytes that wait in the relay's own sockets on each way, at most about.
const WAITING: u32 = 64 << 10;
/// Between two pieces of what came at once.
const BETWEEN_PIECES: Duration = Duration::from_millis(2);
/// Bytes of a datagram, at most.
const DATAGRAM: usize = 2048;

/// A way from one machine to another, by their places in the fleet.
type Way = (usize, usize);

/// All ways of a fleet.
pub struct Relay {
    /// Machines below this place are control nodes, those from it on proxies.
    control_nodes: usize,
    /// What the links of proxies carry, if that is limited.
    link_rate: Option<LinkRate>,
    cut: RefCell<HashSet<Way>>,
    joined: Notify,
}

impl Relay {
    /// Stands between all machines of a fleet that is relayed; the links of its proxies carry so much.
    ///
    /// # Errors
    ///
    /// A port is taken.
    pub async fn start(fleet: &Fleet, link_rate: Option<LinkRate>) -> anyhow::Result<Rc<Self>> {
        let relay = Rc::new(Self {
            control_nodes: fleet.of(Role::ControlNode).count(),
            link_rate,
            cut: RefCell::default(),
            joined: Notify::new(),
        });
        let places: Vec<(usize, Ipv4Addr, u16)> = (fleet.machines.iter().enumerate())
            .map(|(at, machine)| (at, machine.ip, fleet.inner_port(at)))
            .collect();
        for (to, _) in fleet.of(Role::ControlNode) {
            for &(from, ip, _) in places.iter().filter(|(from, ..)| *from != to) {
                let (_, to_ip, to_port) = places[to];
                let listens = SocketAddrV4::new(to_ip, fleet.inner_port(from));
                let listener = TcpListener::bind(listens).await;
                let listener = listener.with_context(|| format!("the relay at {listens}"))?;
                let goes_to = SocketAddrV4::new(to_ip, to_port);
                spawn_local(relay.clone().accept((from, to), listener, ip, goes_to));
            }
        }
        relay.relay_datagrams(fleet).await?;
        Ok(relay)
    }

    /// Cuts the way between two machines, in both directions.
    pub fn cut(&self, one: usize, other: usize) {
        let mut cut = self.cut.borrow_mut();
        cut.extend([(one, other), (other, one)]);
    }

    /// Joins two machines again.
    pub fn join(&self, one: usize, other: usize) {
        let mut cut = self.cut.borrow_mut();
        cut.remove(&(one, other));
        cut.remove(&(other, one));
        drop(cut);
        self.joined.notify_waiters();
    }

    fn is_cut(&self, way: Way) -> bool {
        self.cut.borrow().contains(&way)
    }

    async fn until_joined(&self, way: Way) {
        loop {
            let joined = self.joined.notified();
            if !self.is_cut(way) {
                return;
            }
            joined.await;
        }
    }

    /// The link of a proxy that a way leads through.
    fn link(&self, (from, to): Way) -> Option<Link> {
        let is_proxy = |place| place >= self.control_nodes;
        match (is_proxy(from), is_proxy(to)) {
            (_, true) => Some(Link::To(to)),
            (true, false) => Some(Link::From(from)),
            (false, false) => None,
        }
    }

    /// Waits until bytes have crossed the link that a way leads through.
    async fn cross(&self, way: Way, bytes: usize) {
        if let Some(rate) = &self.link_rate
            && let Some(link) = self.link(way)
        {
            rate.cross(link, bytes).await;
        }
    }

    async fn accept(
        self: Rc<Self>,
        way: Way,
        listener: TcpListener,
        from: Ipv4Addr,
        to: SocketAddrV4,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(self.clone().connect(way, stream, from, to));
        }
    }

    /// Carries one connection until either side ends it.
    async fn connect(self: Rc<Self>, way: Way, near: TcpStream, from: Ipv4Addr, to: SocketAddrV4) {
        self.until_joined(way).await;
        let Ok(far) = dial_from(from, to).await else {
            return;
        };
        let _ = near.set_nodelay(true);
        let (near_reads, near_writes) = near.into_split();
        let (far_reads, far_writes) = far.into_split();
        let back = (way.1, way.0);
        // with either direction the connection is over
        tokio::select! {
            () = self.carry(way, near_reads, far_writes) => {}
            () = self.carry(back, far_reads, near_writes) => {}
        }
    }

    async fn carry(&self, way: Way, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut bytes = vec![0; CHUNK];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            self.until_joined(way).await;
            self.cross(way, count).await;
            if write_in_pieces(&mut to, &bytes[..count]).await.is_err() {
                return;
            }
        }
        self.until_joined(way).await;
    }

    /// Datagrams go between control nodes alone; each way's socket also sends for the way back.
    async fn relay_datagrams(self: &Rc<Self>, fleet: &Fleet) -> anyhow::Result<()> {
        let nodes: Vec<(usize, Ipv4Addr)> = (fleet.of(Role::ControlNode))
            .map(|(at, machine)| (at, machine.ip))
            .collect();
        for &(one, one_ip) in &nodes {
            for &(other, other_ip) in nodes.iter().filter(|(other, _)| *other > one) {
                let at_other = SocketAddrV4::new(other_ip, fleet.inner_port(one));
                let at_one = SocketAddrV4::new(one_ip, fleet.inner_port(other));
                let to_other = Rc::new(UdpSocket::bind(at_other).await?);
                let to_one = Rc::new(UdpSocket::bind(at_one).await?);
                let other_itself = SocketAddrV4::new(other_ip, fleet.inner_port(other));
                let one_itself = SocketAddrV4::new(one_ip, fleet.inner_port(one));
                let there = (to_other.clone(), to_one.clone(), other_itself);
                spawn_local(self.clone().pass_on((one, other), there));
                spawn_local(
                    self.clone()
                        .pass_on((other, one), (to_one, to_other, one_itself)),
                );
            }
        }
        Ok(())
    }

    async fn pass_on(
        self: Rc<Self>,
        way: Way,
        (from, through, to): (Rc<UdpSocket>, Rc<UdpSocket>, SocketAddrV4),
    ) {
        let mut datagram = vec![0; DATAGRAM];
        loop {
            // an error tells of an earlier datagram that found nobody
            let Ok(length) = from.recv(&mut datagram).await else {
                tokio::task::yield_now().await;
                continue;
            };
            if !self.is_cut(way) {
                let _ = through.send_to(&datagram[..length], to).await;
            }
        }
    }
}

/// Writes bytes so that the receiver may read the end of a message later than its beginning.
async fn write_in_pieces(to: &mut OwnedWriteHalf, bytes: &[u8]) -> std::io::Result<()> {
    let (first, second) = bytes.split_at(fastrand::usize(..=bytes.len()));
    to.write_all(first).await?;
    if fastrand::bool() {
        sleep(BETWEEN_PIECES).await;
    }
    to.write_all(second).await
}

/// A connection that comes from that address.
async fn dial_from(from: Ipv4Addr, to: SocketAddrV4) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(WAITING)?;
    socket.bind(SocketAddrV4::new(from, 0).into())?;
    let stream = socket.connect(to.into()).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
