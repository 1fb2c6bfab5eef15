//! One client's connection, from its first byte to its end.

use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::client_connections::{ClientConnection, Stage};
use crate::client_socket::ClientSocket;
use crate::connection_end::ConnectionEnd;
use crate::http_connection::HttpConnection;
use crate::shared::{Phase, Shared};

/// A client that got its last answer is read from for this long, so that the answer arrives.
const LINGER: Duration = Duration::from_millis(1500);
/// Bytes that are dropped meanwhile, at most.
const LINGER_BYTES: usize = 1 << 20;

/// How the service of a connection came to its end.
enum Served {
    /// Its last answer was written.
    LastAnswer,
    /// What came was no request, or the answer could not be written to its end.
    Broken,
    /// It is quiet, and is ended for this reason.
    Quiet(ConnectionEnd),
}

/// Serves a client until it leaves or its connection is ended.
///
/// A connection is ended in order only while it is quiet, and once the system has nothing more for it: what
/// has come is served. Nothing is read from it any more then: a request that crosses the end stays unread,
/// so that its client knows that it has not run.
pub async fn serve_client(shared: &Rc<Shared>, stream: TcpStream, client: &Rc<ClientConnection>) {
    let _ = stream.set_nodelay(true);
    let mut phases = shared.phases();
    let socket = ClientSocket::new(stream, client.unread.clone());
    let mut connection = HttpConnection::new(shared, client, &socket);
    let mut due = None;
    let served = loop {
        let closing = async {
            let _ = phases.wait_for(|phase| *phase == Phase::Closing).await;
            // what was begun is answered first
            client.begun_none().await;
        };
        let end = tokio::select! {
            biased;
            () = socket.closed_by_peer() => return departed(shared, client),
            served = poll_fn(|cx| loop {
                if let Poll::Ready(served) = connection.poll_serve(cx) {
                    return Poll::Ready(match served {
                        Ok(()) => Served::LastAnswer,
                        Err(_) => Served::Broken,
                    });
                }
                let quiet = ready!(poll_quiet(client, &mut due));
                if socket.fill_now() == 0 {
                    return Poll::Ready(quiet);
                }
            }) => break served,
            () = closing, if due != Some(ConnectionEnd::ProcessEnd) => ConnectionEnd::ProcessEnd,
            end = client.told_to_end() => end,
        };
        if end == ConnectionEnd::Overdue {
            return shared.metrics.client_connection_ended(end);
        }
        due = Some(end);
    };
    // whoever sent more behind the last answer sends it again elsewhere
    client.departure.happens(shared.now());
    drop(connection);
    shared.client_connections.served(client);
    match served {
        Served::Quiet(end) => shared.metrics.client_connection_ended(end),
        Served::Broken => {}
        Served::LastAnswer => {
            let end = ConnectionEnd::LastAnswer;
            shared.metrics.client_connection_ended(end);
            if let Some(stream) = socket.into_stream() {
                shared.metrics.bytes_dropped(linger(stream).await);
            }
        }
    }
}

/// Ready once a connection that is due to end is quiet; with a request on it, it is not idle any more.
fn poll_quiet(client: &ClientConnection, due: &mut Option<ConnectionEnd>) -> Poll<Served> {
    match *due {
        Some(end) if client.is_quiet() => Poll::Ready(Served::Quiet(end)),
        Some(ConnectionEnd::Idle | ConnectionEnd::Room) => {
            *due = None;
            Poll::Pending
        }
        _ => Poll::Pending,
    }
}

/// The client has closed its connection or its side of it, and waits for nothing any more.
fn departed(shared: &Shared, client: &ClientConnection) {
    client.departure.happens(shared.now());
    if client.stage() == Stage::Busy {
        shared.metrics.departed();
    }
}

/// Ends a connection so that its last answer arrives: what the client sent behind it is read and
/// dropped, for a socket that is closed over unread bytes is reset, and the answer with it. How many bytes
/// were dropped.
async fn linger(mut stream: TcpStream) -> usize {
    let _ = stream.shutdown().await;
    let mut dropped = 0;
    let drain = async {
        let mut bytes = [0; 4096];
        while dropped < LINGER_BYTES
            && let Ok(read @ 1..) = stream.read(&mut bytes).await
        {
            dropped += read;
        }
    };
    let _ = tokio::time::timeout(LINGER, drain).await;
    dropped
}
