//! The interface for workers and operators, by salvo: calls are decoded here and run elsewhere.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use salvo::catcher::Catcher;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FlexFactory;
use salvo::http::StatusCode;
use salvo::http::header::EXPECT;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::command::{Answer, Command, LARGEST};
use crate::error::ErrorKind;
use crate::run::{Input, Inputs};

/// Bytes of a worker's call at most.
const SMALL: usize = 16 << 10;

/// A body that is too long is read on to so many times the bound.
const READ_ON: usize = 8;

/// Which call a route is for.
#[derive(Clone, Copy)]
enum Route {
    Beat,
    Leave,
    Replace,
    Read,
    Status,
    Workers,
    Journal,
}

struct Calls {
    route: Route,
    inputs: Inputs,
}

#[handler]
impl Calls {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let answer = match self.decode(req).await {
            Ok(command) => self.have_run(command).await,
            Err(answer) => answer,
        };
        render(res, answer);
    }
}

impl Calls {
    async fn decode(&self, req: &mut Request) -> Result<Command, Answer> {
        match self.route {
            Route::Beat => {
                let id: String = req.param("id").unwrap_or_default();
                Command::beat(&id, &body(req, SMALL).await?)
            }
            Route::Leave => {
                let id = req.param("id").unwrap_or_default();
                Ok(Command::Leave { id })
            }
            Route::Replace => Command::replace(body(req, LARGEST).await?),
            Route::Read => Ok(Command::Read),
            Route::Status => Ok(Command::Status),
            Route::Workers => Ok(Command::Workers),
            Route::Journal => Ok(Command::Journal),
        }
    }

    async fn have_run(&self, command: Command) -> Answer {
        let (reply, answer) = oneshot::channel();
        let full = self
            .inputs
            .try_send(Input::Call { command, reply })
            .is_err();
        match (full, answer.await) {
            (false, Ok(answer)) => answer,
            (true, _) => Answer::error(ErrorKind::Overloaded, "too many calls wait"),
            (false, Err(_)) => Answer::error(ErrorKind::Stopping, "this hive ends"),
        }
    }
}

/// The body, if it is no longer than `most` bytes. One that is, is read on and thrown away: a connection that
/// ends with unread bytes is reset, and the answer with it. Not so where the caller waits for leave to send
/// it, or sends over [`READ_ON`] times as much.
async fn body(req: &mut Request, most: usize) -> Result<Bytes, Answer> {
    let over = || {
        let what = format!("body: over the {most} bytes that are read");
        Answer::error(ErrorKind::TooLarge, &what)
    };
    let waits = req.headers().contains_key(EXPECT);
    let mut body = req.take_body();
    let (told, last) = (body.size_hint().lower(), READ_ON * most);
    if told > last as u64 || (waits && told > most as u64) {
        return Err(over());
    }
    let (mut read, mut whole) = (0, BytesMut::new());
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| Answer::error(ErrorKind::Malformed, &format!("body: {error}")))?;
        let data = frame.into_data().unwrap_or_default();
        read += data.len();
        if read > last {
            break;
        }
        match read <= most {
            true => whole.extend_from_slice(&data),
            false => whole = BytesMut::new(),
        }
    }
    match read <= most {
        true => Ok(whole.freeze()),
        false => Err(over()),
    }
}

fn render(res: &mut Response, answer: Answer) {
    let status = StatusCode::from_u16(answer.status()).unwrap_or_default();
    res.status_code(status);
    let after = answer.error.and_then(ErrorKind::retry_after);
    let after = after.map(|after| ("retry-after", after));
    let ends = answer.error == Some(ErrorKind::TooLarge);
    let close = ends.then_some(("connection", "close"));
    let headers = after.into_iter().chain(close);
    for (name, value) in headers.chain([("content-type", "application/json")]) {
        if let Ok(value) = value.parse() {
            res.headers_mut().insert(name, value);
        }
    }
    let _ = res.write_body(answer.body);
}

/// Whatever no route is for.
#[handler]
async fn strange(res: &mut Response, ctrl: &mut FlowCtrl) {
    if res.status_code == Some(StatusCode::NOT_FOUND) && res.body.is_none() {
        render(res, Answer::error(ErrorKind::NotFound, "no such call"));
        ctrl.skip_rest();
    }
}

/// The interface, served by a task of its own.
pub(crate) struct Serving {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Serving {
    /// Takes no calls any more; those that came are answered, for as long as that.
    pub(crate) fn stop(&self, grace: Duration) {
        self.handle.stop_graceful(Some(grace));
    }

    /// Waits until the last answer is written.
    pub(crate) async fn ended(self) {
        let _ = self.task.await;
    }
}

/// Serves calls until told to stop.
pub(crate) fn serve(listener: TcpListener, inputs: &Inputs) -> anyhow::Result<Serving> {
    let call = |route| Calls {
        route,
        inputs: inputs.clone(),
    };
    let router = Router::new()
        .push(
            Router::with_path("instances/{id}")
                .push(Router::with_path("heartbeat").post(call(Route::Beat)))
                .push(Router::with_path("leave").post(call(Route::Leave))),
        )
        .push(
            Router::with_path("configuration")
                .push(Router::with_path("replace").post(call(Route::Replace)))
                .push(Router::with_path("read").get(call(Route::Read))),
        )
        .push(
            Router::with_path("hive")
                .push(Router::with_path("status").get(call(Route::Status)))
                .push(Router::with_path("workers").get(call(Route::Workers)))
                .push(Router::with_path("journal").get(call(Route::Journal))),
        );
    let service = Service::new(router).catcher(Catcher::default().hoop(strange));
    let acceptor = TcpAcceptor::try_from(listener)?;
    let fuses = FlexFactory::new()
        .tcp_idle_timeout(Duration::from_secs(20))
        .tcp_frame_timeout(Duration::from_secs(20));
    let mut server = Server::new(acceptor).fuse_factory(fuses);
    server.http1_mut().max_buf_size(16 << 10);
    let handle = server.handle();
    let task = tokio::spawn(async move {
        if let Err(error) = server.try_serve(service).await {
            log::error!("control: {error}");
        }
    });
    Ok(Serving { handle, task })
}
