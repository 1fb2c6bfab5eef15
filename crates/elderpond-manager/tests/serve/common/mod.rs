//! Stand-ins for the manager's peers, written from the protocol, and the built program among them.
//! Addresses are the system's choice; waiting is always for a condition, with a limit.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::convert::Infallible;
use std::ffi::OsStr;
use std::future::pending;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, sleep, timeout};

/// No condition takes longer, on however busy a machine.
const LIMIT: Duration = Duration::from_secs(20);

/// The configuration that the README points newcomers to.
pub const EXAMPLE: &str = include_str!("../../../../../deploy/config.example.json");

type Body = Either<Full<Bytes>, Channel<Bytes, Infallible>>;

/// Tells that something about a peer or the program has changed.
#[derive(Clone)]
pub struct Changes(Arc<watch::Sender<u64>>);

impl Changes {
    fn new() -> Self {
        Self(Arc::new(watch::channel(0).0))
    }

    fn mark(&self) {
        self.0.send_modify(|count| *count += 1);
    }

    /// Waits until `check` has a value.
    async fn when<T>(&self, mut check: impl FnMut() -> Option<T>) -> T {
        let mut seen = self.0.subscribe();
        loop {
            seen.borrow_and_update();
            if let Some(value) = check() {
                return value;
            }
            seen.changed().await.expect("its sender is held here");
        }
    }

    /// The same, but `what` must come within the limit.
    pub async fn until<T>(&self, what: &str, check: impl FnMut() -> Option<T>) -> T {
        let value = timeout(LIMIT, self.when(check)).await;
        value.unwrap_or_else(|_| panic!("not within {LIMIT:?}: {what}"))
    }
}

/// State that a peer's connections and the test share.
struct Shared<T> {
    state: Mutex<T>,
    changes: Changes,
}

impl<T> Shared<T> {
    fn new(state: T, changes: &Changes) -> Arc<Self> {
        let (state, changes) = (Mutex::new(state), changes.clone());
        Arc::new(Self { state, changes })
    }

    fn look(&self) -> MutexGuard<'_, T> {
        self.state.lock().expect("no test panics while it looks")
    }

    fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.look());
        self.changes.mark();
        result
    }
}

/// Serves HTTP/1.1 connections at an address that the system chooses. A service that returns
/// nothing breaks the connection.
async fn serve<F, R>(service: F) -> SocketAddr
where
    F: Fn(SocketAddr, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service.clone();
            tokio::spawn(async move {
                let answer = service_fn(move |request| {
                    let answer = service(address, request);
                    async move { answer.await.ok_or("breaks the connection") }
                });
                let connection = http1::Builder::new();
                let _ = connection
                    .serve_connection(TokioIo::new(stream), answer)
                    .await;
            });
        }
    });
    address
}

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Option<Response<Body>> {
    let mut answer = Response::new(Either::Left(Full::new(body.into())));
    *answer.status_mut() = status;
    Some(answer)
}

/// Whether an order binds a proxy.
pub fn uses(proxy: u16) -> impl Fn(&Value) -> bool {
    move |order| order["op"] == "USE" && order["id"] == proxy
}

/// What the relay does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Plan {
    /// Takes all of it.
    Take,
    /// Halts at the order with this index.
    Halt(usize),
    /// Takes nothing: the run has not begun.
    Throttle,
    /// Takes all and answers with what cannot be read.
    Mumble,
    /// Takes all and breaks the connection.
    Break,
    /// Takes nothing and never answers.
    Ignore,
    /// Takes all and answers when it is let go.
    Hold,
}

impl Plan {
    /// How many of so many orders it takes.
    fn takes(self, orders: usize) -> usize {
        match self {
            Self::Take | Self::Mumble | Self::Break | Self::Hold => orders,
            Self::Halt(at) => at.min(orders),
            Self::Throttle | Self::Ignore => 0,
        }
    }
}

struct RelayState {
    plan: VecDeque<Plan>,
    /// Every call that came, with what was done with it.
    calls: Vec<(Plan, Vec<Value>)>,
    /// The address that each of them came to.
    doors: Vec<SocketAddr>,
    /// Addresses that are served no longer.
    shut: BTreeSet<SocketAddr>,
    standing: BTreeMap<u16, Value>,
    /// Streams of news, with the address that they were opened at.
    news: Vec<(SocketAddr, mpsc::UnboundedSender<Bytes>)>,
    opened: usize,
    alive: bool,
    /// News ends as soon as it is opened.
    curt: bool,
    /// Calls that are held are answered.
    let_go: bool,
}

/// The relay.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    shared: Arc<Shared<RelayState>>,
}

impl Relay {
    async fn start(changes: &Changes) -> Self {
        let state = RelayState {
            plan: VecDeque::new(),
            calls: Vec::new(),
            doors: Vec::new(),
            shut: BTreeSet::new(),
            standing: BTreeMap::new(),
            news: Vec::new(),
            opened: 0,
            alive: true,
            curt: false,
            let_go: false,
        };
        let shared = Shared::new(state, changes);
        let address = Self::door(&shared).await;
        let signs = shared.clone();
        tokio::spawn(async move {
            let mut second = interval(Duration::from_secs(1));
            loop {
                second.tick().await;
                let state = signs.look();
                if state.alive {
                    state.tell(b"{}\n");
                }
            }
        });
        Self { address, shared }
    }

    async fn door(shared: &Arc<Shared<RelayState>>) -> SocketAddr {
        let served = shared.clone();
        serve(move |door, request| relay_answers(served.clone(), door, request)).await
    }

    /// The same relay at another address.
    pub async fn elsewhere(&self) -> Self {
        let address = Self::door(&self.shared).await;
        let shared = self.shared.clone();
        Self { address, shared }
    }

    /// Serves no longer at this address: what is open there breaks.
    pub fn shut(&self) {
        self.shared.change(|state| {
            state.shut.insert(self.address);
            state.news.retain(|(door, _)| *door != self.address);
        });
    }

    /// The address that each call has come to.
    pub fn doors(&self) -> Vec<SocketAddr> {
        self.shared.look().doors.clone()
    }

    /// Whether the news is followed at this address.
    pub fn is_followed(&self) -> bool {
        let state = self.shared.look();
        let open = |(door, reader): &(SocketAddr, mpsc::UnboundedSender<Bytes>)| {
            *door == self.address && !reader.is_closed()
        };
        state.news.iter().any(open)
    }

    /// What is done with the next calls; then all are taken.
    pub fn plan(&self, plan: &[Plan]) {
        self.shared.change(|state| state.plan.extend(plan));
    }

    /// Every call so far, with what was done with it.
    pub fn calls(&self) -> Vec<(Plan, Vec<Value>)> {
        self.shared.look().calls.clone()
    }

    /// All orders that were taken, in order.
    pub fn taken(&self) -> Vec<Value> {
        let taken = |(plan, orders): (Plan, Vec<Value>)| {
            let count = plan.takes(orders.len());
            orders.into_iter().take(count)
        };
        self.calls().into_iter().flat_map(taken).collect()
    }

    /// Waits for an order that was taken.
    pub async fn until_taken(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        let find = || self.taken().into_iter().find(|order| wanted(order));
        self.shared.changes.until(what, find).await
    }

    /// How often the news was opened.
    pub fn opened(&self) -> usize {
        self.shared.look().opened
    }

    /// A proxy attaches.
    pub fn attach(&self, proxy: u16, site: &str) {
        let object = json!({"id": proxy, "site": site, "rps": 20.0, "new": true});
        self.shared.change(|state| {
            state.tell_line(&json!({"type": "attach", "object": object}));
            state.standing.insert(proxy, object);
        });
    }

    /// A proxy attaches, and is bound.
    pub async fn bind(&self, proxy: u16, site: &str) {
        self.attach(proxy, site);
        self.until_taken("the proxy is bound", uses(proxy)).await;
    }

    /// A proxy detaches.
    pub fn detach(&self, proxy: u16) {
        self.shared.change(|state| {
            state.standing.remove(&proxy);
            state.tell_line(&json!({"type": "detach", "object": {"id": proxy}}));
        });
    }

    /// A line of news as it stands.
    pub fn tell(&self, line: &str) {
        self.shared.look().tell(format!("{line}\n").as_bytes());
    }

    /// Breaks off the news, after a proxy has vanished unheard.
    pub fn break_news(&self, vanished: u16) {
        self.shared.change(|state| {
            state.standing.remove(&vanished);
            state.news.clear();
        });
    }

    /// News ends as soon as it is opened, and what is open ends now; or is well again.
    pub fn be_curt(&self, curt: bool) {
        self.shared.change(|state| {
            state.curt = curt;
            state.news.clear();
        });
    }

    /// Holds the next call; or answers what is held.
    pub fn hold(&self, hold: bool) {
        self.shared.change(|state| {
            state.let_go = !hold;
            state.plan.extend(hold.then_some(Plan::Hold));
        });
    }

    /// The news falls silent (no sign of life on what is open), or is well again.
    pub fn mute(&self, mute: bool) {
        self.shared.change(|state| state.alive = !mute);
    }
}

impl RelayState {
    fn tell(&self, bytes: &[u8]) {
        for (_, reader) in &self.news {
            let _ = reader.send(Bytes::copy_from_slice(bytes));
        }
    }

    fn tell_line(&self, line: &Value) {
        self.tell(format!("{line}\n").as_bytes());
    }
}

async fn relay_answers(
    shared: Arc<Shared<RelayState>>,
    door: SocketAddr,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    if shared.look().shut.contains(&door) {
        return None;
    }
    if request.uri().path() == "/events" {
        let (mut sender, body) = Channel::new(64);
        let (reader, mut lines) = mpsc::unbounded_channel::<Bytes>();
        shared.change(|state| {
            state.opened += 1;
            for object in state.standing.values() {
                let line = json!({"type": "attach", "object": object}).to_string() + "\n";
                // In pieces, as a network may deliver it.
                let (head, tail) = line.split_at(line.len() / 2);
                let _ = reader.send(head.to_owned().into());
                let _ = reader.send(tail.to_owned().into());
            }
            if !state.curt {
                state.news.push((door, reader));
            }
        });
        tokio::spawn(async move {
            while let Some(line) = lines.recv().await {
                if sender.send_data(line).await.is_err() {
                    break;
                }
            }
            drop(lines);
            shared.changes.mark();
        });
        return Some(Response::new(Either::Right(body)));
    }
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).expect("a call is JSON");
    let orders = body["changes"]
        .as_array()
        .expect("a call has orders")
        .clone();
    let plan = shared.change(|state| {
        let plan = state.plan.pop_front().unwrap_or(Plan::Take);
        state.calls.push((plan, orders.clone()));
        state.doors.push(door);
        for bound in orders.iter().take(plan.takes(orders.len())) {
            // Who is bound holds a table that was ordered.
            let proxy = bound["id"].as_u64().and_then(|id| u16::try_from(id).ok());
            if let Some(object) = proxy.and_then(|proxy| state.standing.get_mut(&proxy)) {
                object["new"] = json!(false);
            }
        }
        plan
    });
    if plan == Plan::Hold {
        let let_go = || shared.look().let_go.then_some(());
        shared.changes.until("the relay is let go", let_go).await;
    }
    match plan {
        Plan::Take | Plan::Halt(_) | Plan::Hold => {
            let body = json!({"taken": plan.takes(orders.len())});
            answer(StatusCode::OK, body.to_string())
        }
        Plan::Throttle => answer(StatusCode::TOO_MANY_REQUESTS, r#"{"error":"throttled"}"#),
        Plan::Mumble => answer(StatusCode::OK, "{\"tak"),
        Plan::Break => None,
        Plan::Ignore => pending().await,
    }
}

struct DiscoveryState {
    version: u64,
    /// Entries by name, with the version of their last change.
    entries: BTreeMap<String, (u64, Value)>,
    silent: bool,
    calls: usize,
    /// Watches for what is newer than an older version get the whole list.
    oldest: u64,
    /// Watches are answered without a wait.
    hasty: bool,
}

/// Discovery.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<Shared<DiscoveryState>>,
}

impl Discovery {
    pub async fn start(changes: &Changes) -> Self {
        let state = DiscoveryState {
            version: 1,
            entries: BTreeMap::new(),
            silent: false,
            calls: 0,
            oldest: 0,
            hasty: false,
        };
        let shared = Shared::new(state, changes);
        let served = shared.clone();
        let address = serve(move |_, request| discovery_answers(served.clone(), request)).await;
        Self { address, shared }
    }

    /// Lists a worker, or changes what is listed of it.
    pub fn list(&self, name: &str, address: SocketAddr, zone: &str, status: &str, since_ms: f64) {
        let entry = json!({"name": name, "address": address.to_string(), "zone": zone,
            "type": "m2", "group": 3, "status": status, "weight": 1.0, "since_ms": since_ms});
        self.shared.change(|state| {
            state.version += 1;
            state
                .entries
                .insert(name.to_owned(), (state.version, entry));
        });
    }

    /// Stops answering, or goes on.
    pub fn silence(&self, silent: bool) {
        self.shared.change(|state| state.silent = silent);
    }

    /// Forgets a worker without telling: whoever watches next has a gap and gets the whole list.
    pub fn forget(&self, name: &str) {
        self.shared.change(|state| {
            state.entries.remove(name);
            state.version += 1;
            state.oldest = state.version;
        });
    }

    /// Answers watches without a wait.
    pub fn be_hasty(&self) {
        self.shared.change(|state| state.hasty = true);
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        self.shared.look().calls
    }

    /// Waits until so many calls have come.
    pub async fn until_called(&self, calls: usize) {
        let called = || (self.calls() >= calls).then_some(());
        self.shared
            .changes
            .until("discovery is called", called)
            .await;
    }
}

async fn discovery_answers(
    shared: Arc<Shared<DiscoveryState>>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    shared.change(|state| state.calls += 1);
    let query = request.uri().query().unwrap_or("").to_owned();
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name)?.1;
        Some(value.parse::<u64>().expect("a number"))
    };
    let after = number("after");
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let news = || {
        let state = shared.look();
        let newer = after.is_none_or(|after| state.version > after);
        (!state.silent && (state.hasty || newer)).then_some(())
    };
    let _ = timeout(wait, shared.changes.when(news)).await;
    let speaks = || (!shared.look().silent).then_some(());
    shared.changes.when(speaks).await;
    let state = shared.look();
    let whole = after.is_none_or(|after| after < state.oldest);
    let changed =
        |(version, _): &&(u64, Value)| whole || after.is_some_and(|after| *version > after);
    let entries = state.entries.values().filter(changed);
    let entries: Vec<&Value> = entries.map(|(_, entry)| entry).collect();
    let body = json!({"index": state.version, "snapshot": whole, "endpoints": entries});
    answer(StatusCode::OK, body.to_string())
}

struct WorkerState {
    /// What probes are answered with; none for silence.
    status: Option<StatusCode>,
    probes: usize,
}

/// A worker that answers probes.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    shared: Arc<Shared<WorkerState>>,
}

impl Worker {
    async fn start(changes: &Changes) -> Self {
        let state = WorkerState {
            status: Some(StatusCode::OK),
            probes: 0,
        };
        let shared = Shared::new(state, changes);
        let served = shared.clone();
        let address = serve(move |_, request: Request<Incoming>| {
            let served = served.clone();
            async move {
                assert_eq!(request.uri().path(), "/stats");
                let status = served.change(|state| {
                    state.probes += 1;
                    state.status
                });
                match status {
                    Some(status) => answer(status, "TEXT inflight=1, queue=0, util=0.2"),
                    None => pending().await,
                }
            }
        });
        let address = address.await;
        Self { address, shared }
    }

    /// What probes are answered with from now on; none for silence.
    pub fn answer_with(&self, status: Option<u16>) {
        let status = status.map(|status| StatusCode::from_u16(status).expect("a status"));
        self.shared.change(|state| state.status = status);
    }

    /// Probes so far.
    pub fn probes(&self) -> usize {
        self.shared.look().probes
    }
}

/// The peers of one manager.
pub struct World {
    pub changes: Changes,
    pub relay: Relay,
    pub discovery: Discovery,
    pub worker: Worker,
}

impl World {
    /// With workers `w1` to `w4`, warm and ready, in zones `a` and `b`.
    pub async fn start() -> Self {
        let changes = Changes::new();
        let world = Self {
            relay: Relay::start(&changes).await,
            discovery: Discovery::start(&changes).await,
            worker: Worker::start(&changes).await,
            changes,
        };
        for (name, zone) in [("w1", "a"), ("w2", "b"), ("w3", "a"), ("w4", "b")] {
            world.list(name, zone, "Ready");
        }
        world
    }

    /// Lists a worker as of long ago.
    pub fn list(&self, name: &str, zone: &str, status: &str) {
        self.discovery
            .list(name, self.worker.address, zone, status, 0.0);
    }

    /// The configuration of a manager in this world: the example, with this world's addresses.
    pub fn config(&self) -> Value {
        let mut config: Value = serde_json::from_str(EXAMPLE).expect("the example is JSON");
        config["listen"] = json!("127.0.0.1:0");
        config["discovery"] = json!(self.discovery.address.to_string());
        config["hub"]["address"] = json!(self.relay.address.to_string());
        config
    }

    /// Starts the program.
    pub async fn manager(&self) -> Manager {
        self.manager_with(&self.config()).await
    }

    /// Starts the program with a configuration of the test's.
    pub async fn manager_with(&self, config: &Value) -> Manager {
        self.manager_under(config, &[]).await
    }

    /// The same, with further arguments.
    pub async fn manager_under(&self, config: &Value, arguments: &[&OsStr]) -> Manager {
        let path = config_file(&config.to_string());
        let mut child = program()
            .arg("serve")
            .arg("--config")
            .arg(&path)
            .args(arguments)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        let log = Shared::new(Vec::new(), &self.changes);
        let (stderr, lines) = (child.stderr.take().expect("piped"), log.clone());
        tokio::spawn(async move {
            let mut stderr = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = stderr.next_line().await {
                lines.change(|log: &mut Vec<String>| log.push(line));
            }
        });
        let address = || {
            let log = log.look();
            let line = log.iter().find(|line| line.contains(" listens on "))?;
            line.rsplit(' ').next()?.parse().ok()
        };
        let address = self.changes.until("the manager listens", address).await;
        Manager {
            child,
            address,
            log,
            path,
        }
    }
}

/// The program, with nothing of this machine's configuration.
pub fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_elderpond-manager"));
    program.env_remove("RELAY_CONFIG");
    program.env_remove("ELDERPOND_OPERATOR");
    program
}

/// Writes a configuration to a file of its own.
pub fn config_file(text: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("config-{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the test's folder can be written to");
    path
}

/// The program under test.
pub struct Manager {
    child: Child,
    pub address: SocketAddr,
    log: Arc<Shared<Vec<String>>>,
    path: PathBuf,
}

impl Manager {
    /// Opens a connection to it.
    pub async fn connect(&self) -> Line {
        let stream = TcpStream::connect(self.address).await;
        Line(stream.expect("the manager takes connections"))
    }

    /// Opens a collector's connection for a zone.
    pub async fn collector(&self, site: &str) -> Line {
        let mut line = self.connect().await;
        let named = json!({"type": "telemetry", "site": site});
        line.send(format!("{named}\n")).await;
        line
    }

    /// Its log so far.
    pub fn log(&self) -> Vec<String> {
        self.log.look().clone()
    }

    /// Sends it a signal.
    pub async fn signal(&self, name: &str) {
        let id = self.child.id().expect("it runs");
        let kill = format!("kill -{name} {id}");
        let status = Command::new("sh").arg("-c").arg(kill).status().await;
        assert!(status.expect("a shell").success());
    }

    /// Replaces its configuration file and tells it so.
    pub async fn reload(&self, text: &str) {
        std::fs::write(&self.path, text).expect("the test's folder can be written to");
        self.signal("HUP").await;
    }

    /// Waits for a line of its log that holds `text`.
    pub async fn until_logged(&self, text: &str) {
        let said = || {
            let log = self.log.look();
            log.iter().any(|line| line.contains(text)).then_some(())
        };
        self.log.changes.until(text, said).await;
    }

    /// Its counters as of now.
    pub async fn counters(&self) -> BTreeMap<String, u64> {
        let before = self.counts().len();
        self.signal("USR1").await;
        self.counted_after(before).await
    }

    /// Has it end, which must go promptly and well, and returns what it counted.
    pub async fn counted_at_its_end(mut self) -> BTreeMap<String, u64> {
        let (before, asked) = (self.counts().len(), Instant::now());
        self.signal("TERM").await;
        let status = timeout(LIMIT, self.child.wait()).await;
        let status = status.expect("it ends").expect("it can be waited for");
        assert!(status.success(), "{status}");
        // SIGKILL may follow 0.7 s after it.
        let took = asked.elapsed();
        assert!(took < Duration::from_millis(700), "{took:?}");
        self.counted_after(before).await
    }

    /// Waits until the counters are logged once more than `before`.
    async fn counted_after(&self, before: usize) -> BTreeMap<String, u64> {
        let counts = || self.counts().into_iter().nth(before);
        let changes = &self.log.changes;
        changes.until("the counters are logged", counts).await
    }

    /// The counters, each time that they were logged.
    fn counts(&self) -> Vec<BTreeMap<String, u64>> {
        let log = self.log.look();
        let lines = log.iter().filter_map(|line| line.split_once(" counters: "));
        let pair = |pair: &str| {
            let (name, count) = pair.split_once('=').expect("a name and a count");
            (name.to_owned(), count.parse().expect("a count"))
        };
        let counts = lines.map(|(_, counts)| counts.split(' ').map(pair).collect());
        counts.collect()
    }

    /// Waits until a counter has reached `least`, and returns all of them.
    pub async fn until_counted(&self, name: &str, least: u64) -> BTreeMap<String, u64> {
        let what = format!("{name} reaches {least}");
        self.until_counts(&what, |count| count(name) >= least).await
    }

    /// Waits until the counters, 0 for those left out, are as `check` wants them.
    pub async fn until_counts(
        &self,
        what: &str,
        check: impl Fn(&dyn Fn(&str) -> u64) -> bool,
    ) -> BTreeMap<String, u64> {
        let reached = async {
            loop {
                let counters = self.counters().await;
                if check(&|name| counters.get(name).copied().unwrap_or(0)) {
                    return counters;
                }
                // Each round asks the program anew; the pause only spares the machine.
                sleep(Duration::from_millis(50)).await;
            }
        };
        let reached = timeout(LIMIT, reached).await;
        reached.unwrap_or_else(|_| panic!("not within {LIMIT:?}: {what}: {:?}", self.log()))
    }
}

/// A connection to the manager.
pub struct Line(pub TcpStream);

impl Line {
    /// Sends bytes.
    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        let sent = self.0.write_all(bytes.as_ref()).await;
        sent.expect("the manager reads");
    }

    /// Asks for a sign of life, and waits for it.
    pub async fn heartbeat(&mut self) {
        self.send("{\"type\":\"hb\"}\n").await;
        let mut answer = [0; 17];
        let read = timeout(LIMIT, self.0.read_exact(&mut answer)).await;
        read.expect("an answer").expect("a whole one");
        assert_eq!(&answer, b"{\"type\":\"hb_ok\"}\n");
    }

    /// Waits until the manager has turned it away, by a rejection or a close; returns what it said.
    pub async fn turned_away(&mut self) -> String {
        let mut said = Vec::new();
        let read = timeout(LIMIT, self.0.read_to_end(&mut said)).await;
        // A close with bytes unread shows as a reset.
        let _ = read.expect("an end");
        String::from_utf8(said).expect("text")
    }

    /// Waits until the manager has closed it; nothing may come before that.
    pub async fn closed(&mut self) {
        let read = timeout(LIMIT, self.0.read(&mut [0; 64])).await;
        assert!(matches!(read.expect("an end"), Ok(0) | Err(_)));
    }
}
