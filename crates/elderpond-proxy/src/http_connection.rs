//! The HTTP side of a client's connection, which follows the limit on heads of the version in force.

use std::convert::Infallible;
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::body::Incoming;
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::Service;
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;

use crate::body::OutgoingBody;
use crate::client_connections::{ClientConnection, Turn};
use crate::client_socket::ClientSocket;
use crate::client_stream::{ClientStream, is_bare};
use crate::request::serve_request;
use crate::shared::Shared;

/// Bytes that are buffered of a connection, at least: what [`hyper`] needs.
const LEAST_BUFFER: usize = 8 << 10;
/// The same, at most.
const LARGEST_BUFFER: usize = 1 << 20;

/// Serves requests of one connection, one after the other.
///
/// [`hyper`] is told once, when it begins, how long a head may be. So it begins anew between two requests
/// where the version in force says otherwise by then, with what it has read and not used.
pub struct HttpConnection {
    shared: Rc<Shared>,
    client: Rc<ClientConnection>,
    socket: ClientSocket,
    connection: Connection<ClientStream, RequestService>,
}

impl HttpConnection {
    /// Of a connection that was accepted.
    pub fn new(shared: &Rc<Shared>, client: &Rc<ClientConnection>, socket: &ClientSocket) -> Self {
        Self {
            shared: shared.clone(),
            client: client.clone(),
            socket: socket.clone(),
            connection: connect(shared, client, socket),
        }
    }

    /// Serves on; ready once the last answer is written.
    ///
    /// # Errors
    ///
    /// What came was no request, or an answer could not be written to its end.
    pub fn poll_serve(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        loop {
            if let Poll::Ready(served) = self.connection.poll_without_shutdown(cx) {
                return Poll::Ready(served);
            }
            if !self.client.may_take_up_limits() {
                return Poll::Pending;
            }
            self.begin_anew();
        }
    }

    /// Only between two requests, with nothing left to write.
    fn begin_anew(&mut self) {
        let anew = connect(&self.shared, &self.client, &self.socket);
        let before = mem::replace(&mut self.connection, anew).into_parts();
        self.socket.ahead().put_back(&before.read_buf);
        self.client.wants_other_limits(false);
    }
}

fn connect(
    shared: &Rc<Shared>,
    client: &Rc<ClientConnection>,
    socket: &ClientSocket,
) -> Connection<ClientStream, RequestService> {
    let max_header_bytes = client.max_header_bytes(shared);
    let stream = ClientStream::new(socket.clone(), client, shared, max_header_bytes);
    let service = RequestService {
        shared: shared.clone(),
        client: client.clone(),
    };
    Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_header_size(max_header_bytes)
        .max_buf_size(max_header_bytes.clamp(LEAST_BUFFER, LARGEST_BUFFER))
        .serve_connection(stream, service)
}

/// Answers the requests of one connection.
struct RequestService {
    shared: Rc<Shared>,
    client: Rc<ClientConnection>,
}

impl Service<Request<Incoming>> for RequestService {
    type Response = Response<OutgoingBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>>>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let turn = Turn::new(&self.shared, &self.client, is_bare(&request));
        Box::pin(serve_request(self.shared.clone(), request, turn))
    }
}
