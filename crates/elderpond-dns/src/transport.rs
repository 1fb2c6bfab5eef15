//! Queries over UDP and TCP. Tests put a scripted one in its place.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::pin::Pin;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::{Mutex, mpsc};
use tokio::time::{Instant, timeout};

/// A connection unused for so long is not used again (RFC 7766, 6.2.3).
const IDLE: Duration = Duration::from_secs(10);
/// A connection that takes longer never comes up.
const CONNECT: Duration = Duration::from_secs(2);

/// What is still to come.
pub type Coming<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// How queries reach servers.
pub trait Transport: Send + Sync + 'static {
    /// Sends a query in a datagram and hands on whatever comes back to it, until nobody takes it.
    fn udp<'a>(
        &'a self,
        server: SocketAddr,
        query: &'a [u8],
        replies: mpsc::Sender<Vec<u8>>,
    ) -> Coming<'a, io::Result<()>>;

    /// Sends a query over a connection and returns the message that comes back.
    fn tcp<'a>(&'a self, server: SocketAddr, query: &'a [u8]) -> Coming<'a, io::Result<Vec<u8>>>;
}

/// The network.
#[derive(Default)]
pub struct Network {
    /// Connections that may be used again.
    idle: Mutex<BTreeMap<SocketAddr, (TcpStream, Instant)>>,
}

impl Transport for Network {
    fn udp<'a>(
        &'a self,
        server: SocketAddr,
        query: &'a [u8],
        replies: mpsc::Sender<Vec<u8>>,
    ) -> Coming<'a, io::Result<()>> {
        Box::pin(async move {
            // A socket and so a port of its own for each query, by the system's chance (RFC 5452, 9.2);
            // connected, so that only this server's datagrams arrive.
            let any: SocketAddr = match server {
                SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
                SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
            };
            let socket = UdpSocket::bind(any).await?;
            socket.connect(server).await?;
            socket.send(query).await?;
            let mut buffer = vec![0; 65_535];
            loop {
                let length = socket.recv(&mut buffer).await?;
                if replies.send(buffer[..length].to_vec()).await.is_err() {
                    return Ok(());
                }
            }
        })
    }

    fn tcp<'a>(&'a self, server: SocketAddr, query: &'a [u8]) -> Coming<'a, io::Result<Vec<u8>>> {
        Box::pin(async move {
            let kept = self.idle.lock().await.remove(&server);
            let kept = kept.filter(|(_, since)| since.elapsed() < IDLE);
            if let Some((mut stream, _)) = kept
                && let Ok(reply) = exchange(&mut stream, query).await
            {
                self.idle
                    .lock()
                    .await
                    .insert(server, (stream, Instant::now()));
                return Ok(reply);
            }
            // Closed meanwhile, or none: a new one.
            let stream = timeout(CONNECT, TcpStream::connect(server)).await;
            let mut stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            let reply = exchange(&mut stream, query).await?;
            self.idle
                .lock()
                .await
                .insert(server, (stream, Instant::now()));
            Ok(reply)
        })
    }
}

/// One message with its length before it, each way (RFC 7766, 8).
async fn exchange(stream: &mut TcpStream, query: &[u8]) -> io::Result<Vec<u8>> {
    let length =
        u16::try_from(query.len()).map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let mut framed = length.to_be_bytes().to_vec();
    framed.extend_from_slice(query);
    stream.write_all(&framed).await?;
    let mut reply = vec![0; usize::from(stream.read_u16().await?)];
    stream.read_exact(&mut reply).await?;
    Ok(reply)
}
