//! End-to-end tests of `bamboowind platform`: runs the binary as balancers and agents on loopback
//! addresses, with fakes of the platform's store, the targets and the callers.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::{Query, State},
    http::StatusCode,
    routing::{delete, get, post},
};
use base64::{Engine, prelude::BASE64_STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};

mod simulation;

use simulation::{ACK, RST, SYN, datagram, service_address};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a change of the configuration is in force everywhere (docs/CAPACITY.md).
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);
const PACKET_PORT: u16 = 8_172;
const READY_PORT: u16 = 8_167;
const CONTROL_PORT: u16 = 8_166;
const OUTBOUND_PORT: u16 = 8_162;
const TARGET_PORT: u16 = 8_165;
const STORE_PORT: u16 = 8_169;
const SERVICE: &str = "catalogo";

/// Index of the next test. Each test uses a loopback network of its own.
static NEXT_TEST_INDEX: AtomicUsize = AtomicUsize::new(0);

/// State of the fake store.
#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Incremented when the store comes back from an older copy; sent with each response.
    era: u64,
    /// Key, base64 value and revision of each item.
    items: Vec<(String, String, u64)>,
    /// Key and revision of each deletion.
    deletions: Vec<(String, u64)>,
    /// Whether every call fails with status 503.
    is_down: bool,
}

type SharedStore = Arc<Mutex<StoreState>>;

#[derive(Deserialize)]
struct StoreQuery {
    #[serde(default)]
    key: String,
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
}

type StoreResponse = Result<Json<Value>, StatusCode>;

/// Runs an operation on the fake store, or returns status 503 while the store is down.
fn respond(
    store: &SharedStore,
    operation: impl FnOnce(&mut StoreState) -> StoreResponse,
) -> StoreResponse {
    let mut state = store.lock().unwrap();
    if state.is_down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    operation(&mut state)
}

fn item_json((key, value, revision): &(String, String, u64)) -> Value {
    json!({ "key": key, "value": value, "revision": revision, "create_rev": revision, "lease": 1 })
}

async fn get_key(
    State(store): State<SharedStore>,
    Query(query): Query<StoreQuery>,
) -> StoreResponse {
    respond(&store, |state| {
        let found = state.items.iter().find(|(key, _, _)| *key == query.key);
        let mut reply = item_json(found.ok_or(StatusCode::NOT_FOUND)?);
        reply["current_rev"] = json!(state.revision);
        Ok(Json(reply))
    })
}

async fn get_range(
    State(store): State<SharedStore>,
    Query(query): Query<StoreQuery>,
) -> StoreResponse {
    respond(&store, |state| {
        let items = state
            .items
            .iter()
            .filter(|(key, _, _)| key.starts_with(&query.prefix));
        let items: Vec<_> = items.map(item_json).collect();
        Ok(Json(
            json!({ "items": items, "has_more": false, "current_rev": state.revision }),
        ))
    })
}

async fn watch_prefix(
    State(store): State<SharedStore>,
    Query(query): Query<StoreQuery>,
) -> StoreResponse {
    let after: u64 = query.after.parse().unwrap_or_default();
    for _ in 0..20 {
        let found = respond(&store, |state| {
            let items = state.items.iter();
            let mut events: Vec<_> = items
                .filter(|(key, _, revision)| key.starts_with(&query.prefix) && *revision > after)
                .map(item_json)
                .collect();
            let deletions = state.deletions.iter();
            let deletions = deletions
                .filter(|(key, revision)| key.starts_with(&query.prefix) && *revision > after);
            events.extend(deletions.map(
                |(key, revision)| json!({ "key": key, "revision": revision, "deleted": true }),
            ));
            Ok(Json(
                json!({ "events": events, "current_rev": state.revision }),
            ))
        })?;
        if found.0["events"]
            .as_array()
            .is_some_and(|events| !events.is_empty())
        {
            return Ok(found);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    respond(&store, |state| {
        Ok(Json(json!({ "events": [], "current_rev": state.revision })))
    })
}

async fn commit_transaction(
    State(store): State<SharedStore>,
    Json(body): Json<Value>,
) -> StoreResponse {
    respond(&store, |state| {
        state.revision += 1;
        let revision = state.revision;
        for write in body["writes"].as_array().into_iter().flatten() {
            let key = write["key"].as_str().unwrap_or_default().to_owned();
            let value = write["value"].as_str().unwrap_or_default().to_owned();
            state.items.retain(|(other, _, _)| *other != key);
            state.items.push((key, value, revision));
        }
        Ok(Json(json!({ "revision": revision })))
    })
}

async fn handle_lease(State(store): State<SharedStore>) -> StoreResponse {
    respond(&store, |_| {
        Ok(Json(json!({ "lease": 1, "ttl_ms": 30_000 })))
    })
}

/// Adds the header with the era of the store to a response.
async fn add_era(
    State(store): State<SharedStore>,
    request: axum::extract::Request,
    next: axum::middleware::Next,
) -> axum::response::Response {
    let mut response = next.run(request).await;
    let era = store.lock().unwrap().era;
    response.headers_mut().insert("store-era", era.into());
    response
}

/// Stores a configuration with the route of the only service.
fn set_routes(store: &SharedStore, version: u64) {
    let address = service_address();
    let prefix = format!("/{}/", address.port());
    let routes = json!([{
        "name": "r", "host": address.ip().to_string(), "prefix": prefix, "service": SERVICE,
        "type": "idempotent", "target_latency_ms": 200, "priority": 1,
    }]);
    write_config(store, version, &routes);
}

fn write_config(store: &SharedStore, version: u64, routes: &Value) {
    let document = json!({ "version": version, "services": [], "limits": {}, "routes": routes });
    let value = BASE64_STANDARD.encode(document.to_string());
    let mut state = store.lock().unwrap();
    state.revision += 1;
    let revision = state.revision;
    state.items.retain(|(key, _, _)| key != "op/config");
    state.items.push(("op/config".to_owned(), value, revision));
}

/// Evacuates the failure domain `domain`, or returns it to service.
fn set_evacuated(store: &SharedStore, domain: &str, is_evacuated: bool) {
    let mut state = store.lock().unwrap();
    state.revision += 1;
    let revision = state.revision;
    let key = format!("op/evacuate/{domain}");
    if is_evacuated {
        state.items.push((key, "e30=".to_owned(), revision));
    } else {
        state.items.retain(|(other, _, _)| *other != key);
        state.deletions.push((key, revision));
    }
}

/// Process of a balancer or an agent. It is killed when the value is dropped.
struct Daemon {
    child: Child,
    /// Path of the log file.
    log_path: std::path::PathBuf,
}

impl Daemon {
    fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(signal)
            .arg(self.child.id().to_string())
            .status();
        assert!(status.unwrap().success());
    }

    /// Whether the process has ended.
    fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    fn log_lines(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log_path).unwrap();
        let lines = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("each log line is JSON"));
        lines.collect()
    }

    fn has_log_line(&self, message: &str) -> bool {
        self.log_lines().iter().any(|line| line["msg"] == message)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Fake store, directory and network in which a test runs its processes.
struct Cluster {
    /// Third octet of the addresses.
    network: u8,
    store: SharedStore,
    /// Directory of the settings and log files.
    directory: tempfile::TempDir,
    /// Address of the target of each SYN that a target has received.
    syns: Arc<Mutex<Vec<Ipv4Addr>>>,
    /// Set to true to stop the threads of the targets.
    stop: Arc<AtomicBool>,
    /// Socket that all callers share; they differ by the port in the packet header.
    caller_socket: UdpSocket,
    _runtime: tokio::runtime::Runtime,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Cluster {
    fn new() -> Self {
        let index = NEXT_TEST_INDEX.fetch_add(1, Ordering::Relaxed);
        let network = 1 + u8::try_from((std::process::id() as usize + index) % 250).unwrap();
        let store = SharedStore::default();
        set_routes(&store, 1);
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let caller_socket = UdpSocket::bind((ip(network, 9), PACKET_PORT)).unwrap();
        caller_socket
            .set_read_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        let router = Router::new()
            .route("/api/kv-key", get(get_key))
            .route("/api/kv-range", get(get_range))
            .route("/api/kv-watch", get(watch_prefix))
            .route("/api/kv-txn", post(commit_transaction))
            .route("/api/kv-lease", post(handle_lease))
            .route("/api/kv-keep/{id}", post(handle_lease))
            .route("/api/kv-lease-end/{id}", delete(handle_lease))
            .layer(axum::middleware::from_fn_with_state(
                Arc::clone(&store),
                add_era,
            ))
            .with_state(Arc::clone(&store));
        let address = SocketAddr::from((ip(network, 200), STORE_PORT));
        let listener = runtime
            .block_on(tokio::net::TcpListener::bind(address))
            .unwrap();
        runtime.spawn(async move { axum::serve(listener, router).await });
        Self {
            network,
            store,
            directory: tempfile::tempdir().unwrap(),
            syns: Arc::default(),
            stop: Arc::default(),
            caller_socket,
            _runtime: runtime,
        }
    }

    fn start(&self, role: &str, host: u8) -> Daemon {
        self.start_in("a", role, host)
    }

    fn start_in(&self, zone: &str, role: &str, host: u8) -> Daemon {
        let address = ip(self.network, host);
        let name = format!("{role}-{host}");
        let seed = ip(self.network, 1);
        let text = format!(
            r#"node_name = "{name}"
ip = "{address}"
zone = "{zone}"
internal_ports = [7720, 7735]
seeds = ["{seed}:{CONTROL_PORT}"]
heartbeat_ms = 200
app = "{address}:{TARGET_PORT}"
[listen_addrs]
datagram_addr = "{address}:{PACKET_PORT}"
ready_addr = "{address}:{READY_PORT}"
outbound = "{address}:{OUTBOUND_PORT}"
control = "{address}:{CONTROL_PORT}"
[platform]
address = "{}:{STORE_PORT}"
"#,
            ip(self.network, 200)
        );
        let path = self.directory.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).unwrap();
        let log_path = self.directory.path().join(format!("{name}.log"));
        let child = Command::new(env!("CARGO_BIN_EXE_bamboowind"))
            .args(["platform", role])
            .env("BAMBOOWIND_CONFIG", path)
            .stdout(std::fs::File::create(&log_path).unwrap())
            .stderr(Stdio::null())
            .spawn();
        Daemon {
            child: child.unwrap(),
            log_path,
        }
    }

    /// Starts the target of the agent on `host`: a thread for packets and one for heartbeats. It listens
    /// with TCP as long as it runs.
    fn start_target(&self, host: u8) {
        let address = ip(self.network, host);
        let listener = TcpListener::bind((address, TARGET_PORT)).unwrap();
        let socket = UdpSocket::bind((address, TARGET_PORT)).unwrap();
        let outbound = SocketAddrV4::new(address, OUTBOUND_PORT);
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .unwrap();
        let stop = Arc::clone(&self.stop);
        let syns = Arc::clone(&self.syns);
        let record_syn = move || syns.lock().unwrap().push(address);
        thread::spawn(move || {
            serve_target(&socket, outbound, &stop, record_syn);
            drop(listener);
        });
        let stop = Arc::clone(&self.stop);
        thread::spawn(move || send_heartbeats(address, host, &stop));
    }

    /// Number of SYNs that the target on `host` has received.
    fn syns_at(&self, host: u8) -> usize {
        let address = ip(self.network, host);
        let syns = self.syns.lock().unwrap();
        syns.iter().filter(|other| **other == address).count()
    }

    fn caller(&self) -> Ipv4Addr {
        ip(self.network, 9)
    }

    fn send(&self, balancer: u8, port: u16, flags: u8, data_len: u16) {
        let from = SocketAddrV4::new(self.caller(), port);
        let acknowledged = u32::from(flags & SYN == 0);
        let bytes = datagram(from, service_address(), flags, 8, acknowledged, data_len);
        let to = (ip(self.network, balancer), PACKET_PORT);
        self.caller_socket.send_to(&bytes, to).unwrap();
    }

    /// Sends packets with the flags and payload length in `sent` until one with `flags` arrives.
    fn send_until_response(&self, balancer: u8, port: u16, sent: (u8, u16), flags: u8) {
        let deadline = Instant::now() + TIMEOUT;
        let mut buffer = [0; 2_048];
        while Instant::now() < deadline {
            self.send(balancer, port, sent.0, sent.1);
            while let Ok(len) = self.caller_socket.recv(&mut buffer) {
                let to_port = u16::from_le_bytes([buffer[20], buffer[21]]);
                if len >= 36 && to_port == port && buffer[10] == flags {
                    return;
                }
            }
        }
        panic!("no response with flags {flags} through balancer {balancer}");
    }

    fn wait_for(what: &str, condition: impl Fn() -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !condition() {
            assert!(Instant::now() < deadline, "timed out waiting for {what}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn is_ready(&self, host: u8) -> bool {
        let address = ip(self.network, host);
        http_status(&format!("http://{address}:{READY_PORT}/api/ready")) == Some(200)
    }
}

fn ip(network: u8, host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 77, network, host)
}

fn http_status(url: &str) -> Option<u16> {
    http_get(url).map(|(status, _)| status)
}

fn http_get(url: &str) -> Option<(u16, String)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .ok()?;
    runtime.block_on(async {
        let response = reqwest::get(url).await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.text().await.ok()?))
    })
}

/// Runs a fake target: opens flows, answers requests and returns packets of unknown flows.
fn serve_target(
    socket: &UdpSocket,
    outbound: SocketAddrV4,
    stop: &AtomicBool,
    record_syn: impl Fn(),
) {
    let mut flows = Vec::new();
    let mut buffer = [0; 2_048];
    while !stop.load(Ordering::Relaxed) {
        let Ok(len) = socket.recv(&mut buffer) else {
            continue;
        };
        let caller = SocketAddrV4::new(
            Ipv4Addr::new(buffer[27], buffer[26], buffer[25], buffer[24]),
            u16::from_le_bytes([buffer[22], buffer[23]]),
        );
        if buffer[10] & SYN != 0 {
            record_syn();
            flows.push(caller);
            let reply = datagram(service_address(), caller, SYN | ACK, 0, 8, 0);
            socket.send_to(&reply, outbound).unwrap();
        } else if !flows.contains(&caller) {
            buffer[10] |= 64;
            buffer[11..16].fill(0);
            socket.send_to(&buffer[..len], outbound).unwrap();
        } else if len > 36 {
            let reply = datagram(service_address(), caller, ACK, 1, 108, 20);
            socket.send_to(&reply, outbound).unwrap();
        }
    }
}

fn send_heartbeats(address: Ipv4Addr, host: u8, stop: &AtomicBool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let client = reqwest::Client::new();
    let mut sequence = 0;
    while !stop.load(Ordering::Relaxed) {
        sequence += 1;
        let body = json!({ "service": SERVICE, "address": format!("{address}:{TARGET_PORT}"),
            "zone": "a", "version": "v1", "capacity": 5, "state": "ready", "warmup_left_ms": 0,
            "seq": sequence, "born": 1_769_000_000_000_u64 });
        let url = format!("http://{address}:{CONTROL_PORT}/api/Instances.Heartbeat/i-{host}");
        // The call fails while the agent is down. The next heartbeat is the retry.
        let _ = runtime.block_on(client.post(url).json(&body).send());
        thread::sleep(Duration::from_millis(200));
    }
}

/// Flags and payload length of a request.
const REQUEST: (u8, u16) = (ACK, 100);
/// Flags and payload length of a packet that opens a flow.
const OPEN: (u8, u16) = (SYN, 0);

#[test]
fn a_flow_is_served_through_any_balancer_and_survives_restarts() {
    let cluster = Cluster::new();
    let balancers = [cluster.start("balancer", 1), cluster.start("balancer", 2)];
    let agents = [11, 12, 13].map(|host| cluster.start("agent", host));
    for host in [11, 12, 13] {
        cluster.start_target(host);
    }
    Cluster::wait_for("readiness", || cluster.is_ready(1) && cluster.is_ready(2));
    cluster.send_until_response(1, 1_001, OPEN, SYN | ACK);
    cluster.send_until_response(1, 1_001, REQUEST, ACK);
    Cluster::wait_for("the log line of the request", || {
        agents
            .iter()
            .any(|agent| agent.has_log_line("request forwarded"))
    });
    let metrics = [11, 12, 13].map(|host| {
        let address = ip(cluster.network, host);
        http_get(&format!("http://{address}:7721/metrics"))
            .unwrap()
            .1
    });
    assert!(metrics.concat().contains("bamboowind_request_duration_ms"));
    // The second balancer has never seen the flow.
    cluster.send_until_response(2, 1_001, REQUEST, ACK);
    // Both balancers restart without any state.
    balancers[0].signal("-KILL");
    drop(balancers);
    let _restarted = [cluster.start("balancer", 1), cluster.start("balancer", 2)];
    Cluster::wait_for("readiness", || cluster.is_ready(1) && cluster.is_ready(2));
    cluster.send_until_response(1, 1_001, REQUEST, ACK);
    // All agents restart while their targets keep running.
    for agent in &agents {
        agent.signal("-KILL");
    }
    drop(agents);
    let _agents = [11, 12, 13].map(|host| cluster.start("agent", host));
    cluster.send_until_response(2, 1_001, REQUEST, ACK);
    cluster.send_until_response(1, 1_002, OPEN, SYN | ACK);
}

#[test]
fn a_balancer_drains_at_sigterm_and_serves_without_the_store() {
    let cluster = Cluster::new();
    let mut first = cluster.start("balancer", 1);
    let second = cluster.start("balancer", 2);
    let agent = cluster.start("agent", 11);
    cluster.start_target(11);
    Cluster::wait_for("readiness", || cluster.is_ready(1) && cluster.is_ready(2));
    cluster.send_until_response(1, 1_001, OPEN, SYN | ACK);
    thread::sleep(Duration::from_secs(1));
    let stopped_at = Instant::now();
    first.signal("-TERM");
    Cluster::wait_for("the failed readiness probe", || !cluster.is_ready(1));
    cluster.send_until_response(1, 1_001, REQUEST, ACK);
    let status = first.child.wait().unwrap();
    assert!(status.success());
    assert!(stopped_at.elapsed() < Duration::from_secs(5));
    assert!(first.has_log_line("stopping") && first.has_log_line("stopped"));
    // A balancer that starts while the store is down gets routes and members from its peers.
    cluster.store.lock().unwrap().is_down = true;
    drop(second);
    let restarted = cluster.start("balancer", 1);
    let other = cluster.start("balancer", 2);
    Cluster::wait_for("the first message from an agent", || {
        restarted.has_log_line("instance changed")
    });
    cluster.send_until_response(1, 1_001, REQUEST, ACK);
    Cluster::wait_for("the log line of the store outage", || {
        other.has_log_line("store unreachable")
    });
    cluster.store.lock().unwrap().is_down = false;
    set_routes(&cluster.store, 9);
    Cluster::wait_for("the new routes", || {
        let lines = other.log_lines();
        lines
            .iter()
            .any(|line| line["msg"] == "routes updated" && line["version"] == 9)
    });
    assert!(agent.has_log_line("target changed"));
}

// Real processes: the key is read by balancers, and the agents hear of it from them, also after a restart.
#[test]
fn no_syn_reaches_an_evacuated_domain_and_its_open_flows_continue() {
    let cluster = Cluster::new();
    let balancers = [
        cluster.start("balancer", 1),
        cluster.start_in("b", "balancer", 2),
    ];
    let agents = [
        cluster.start("agent", 11),
        cluster.start_in("b", "agent", 12),
    ];
    for host in [11, 12] {
        cluster.start_target(host);
    }
    Cluster::wait_for("readiness", || cluster.is_ready(1) && cluster.is_ready(2));
    let mut port = 1_000;
    let mut open_flow = || {
        port += 1;
        let balancer = 1 + u8::try_from(port % 2).unwrap();
        cluster.send_until_response(balancer, port, OPEN, SYN | ACK);
        cluster.send_until_response(balancer, port, REQUEST, ACK);
        port
    };
    let open_port = loop {
        let before = cluster.syns_at(12);
        let port = open_flow();
        if cluster.syns_at(12) > before {
            break port;
        }
    };
    set_evacuated(&cluster.store, "b", true);
    let evacuated_at = Instant::now();
    let knows = |daemon: &Daemon, domains: &str| {
        let lines = daemon.log_lines();
        let mut sets = lines
            .iter()
            .filter(|l| l["msg"] == "failure domains evacuated");
        sets.next_back()
            .is_some_and(|line| line["domains"] == domains)
    };
    Cluster::wait_for("the evacuation", || {
        balancers
            .iter()
            .chain(&agents)
            .all(|daemon| knows(daemon, "b"))
    });
    assert!(evacuated_at.elapsed() < IN_FORCE_WITHIN);
    let before = cluster.syns_at(12);
    for _ in 0..10 {
        open_flow();
    }
    let [_, agent] = agents;
    agent.signal("-KILL");
    drop(agent);
    drop(balancers);
    let _agent = cluster.start_in("b", "agent", 12);
    let balancers = [
        cluster.start("balancer", 1),
        cluster.start_in("b", "balancer", 2),
    ];
    for _ in 0..10 {
        open_flow();
    }
    cluster.send_until_response(1, open_port, REQUEST, ACK);
    assert_eq!(cluster.syns_at(12), before);
    let address = ip(cluster.network, 12);
    let gauge = r#"bamboowind_evacuated_domain{domain="b""#;
    Cluster::wait_for("the gauge of the started agent", || {
        let metrics = http_get(&format!("http://{address}:7721/metrics"));
        metrics.is_some_and(|(_, text)| text.contains(gauge))
    });
    set_evacuated(&cluster.store, "b", false);
    Cluster::wait_for("the return to service", || {
        balancers.iter().all(|daemon| knows(daemon, ""))
    });
    let deadline = Instant::now() + TIMEOUT;
    while cluster.syns_at(12) == before {
        assert!(Instant::now() < deadline, "the domain gets no new flows");
        open_flow();
    }
}

#[test]
fn a_flow_to_an_unknown_address_is_refused_and_logged() {
    let cluster = Cluster::new();
    let balancer = cluster.start("balancer", 1);
    let agent = cluster.start("agent", 11);
    cluster.start_target(11);
    Cluster::wait_for("readiness", || cluster.is_ready(1));
    let from = SocketAddrV4::new(cluster.caller(), 1_009);
    let unknown = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 99), 1);
    let bytes = datagram(from, unknown, SYN, 8, 0, 0);
    cluster
        .caller_socket
        .send_to(&bytes, (ip(cluster.network, 1), PACKET_PORT))
        .unwrap();
    let mut buffer = [0; 2_048];
    cluster
        .caller_socket
        .set_read_timeout(Some(TIMEOUT))
        .unwrap();
    cluster.caller_socket.recv(&mut buffer).unwrap();
    assert_eq!(buffer[10], RST);
    Cluster::wait_for("the log line of the refusal", || {
        balancer.has_log_line("flow refused")
    });
    let address = ip(cluster.network, 1);
    let (_, text) = http_get(&format!("http://{address}:7721/metrics")).unwrap();
    assert!(text.contains("flow_refused"), "{text}");
    let lines = balancer.log_lines();
    let refused = lines
        .iter()
        .find(|line| line["msg"] == "flow refused")
        .unwrap();
    assert_eq!(refused["reason"], "no_route");
    assert_eq!(refused["flow"], format!("{from}>{unknown}"));
    agent.signal("-HUP");
    let reread_count = || {
        let lines = agent.log_lines().into_iter();
        lines
            .filter(|line| line["msg"] == "settings read again")
            .count()
    };
    Cluster::wait_for("the reread after SIGHUP", || reread_count() == 1);
    // A changed file is also detected without a signal.
    let path = cluster.directory.path().join("agent-11.toml");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(
        &path,
        text.replace("heartbeat_ms = 200", "heartbeat_ms = 300"),
    )
    .unwrap();
    Cluster::wait_for("the reread after the change", || reread_count() == 2);
}

#[test]
fn a_route_version_that_a_restored_store_gives_out_again_is_in_force() {
    let cluster = Cluster::new();
    cluster.store.lock().unwrap().era = 1;
    let balancer = cluster.start("balancer", 1);
    let _agent = cluster.start("agent", 11);
    cluster.start_target(11);
    Cluster::wait_for("readiness", || cluster.is_ready(1));
    write_config(&cluster.store, 2, &json!([]));
    Cluster::wait_for("the version that will be lost", || {
        let lines = balancer.log_lines();
        let mut updates = lines.iter().filter(|line| line["msg"] == "routes updated");
        updates.any(|line| line["version"] == 2)
    });
    cluster.store.lock().unwrap().era = 2;
    set_routes(&cluster.store, 2);
    cluster.send_until_response(1, 1_001, OPEN, SYN | ACK);
}

// An agent calls the store only every 10 s, to renew its lease.
#[test]
fn an_agent_learns_from_balancers_that_the_store_was_restored() {
    let cluster = Cluster::new();
    cluster.store.lock().unwrap().era = 1;
    let _balancer = cluster.start("balancer", 1);
    let agent = cluster.start("agent", 11);
    cluster.start_target(11);
    Cluster::wait_for("readiness", || cluster.is_ready(1));
    Cluster::wait_for("the registration", || {
        agent.has_log_line("registered in the store")
    });
    let restored_at = Instant::now();
    cluster.store.lock().unwrap().era = 2;
    set_routes(&cluster.store, 1);
    let renewals = || {
        let lines = agent.log_lines().into_iter();
        let listings = lines.filter(|line| line["msg"] == "instances read from the store");
        listings.filter(|line| line["era"] == 2).count()
    };
    Cluster::wait_for("the renewal of the lease", || renewals() > 0);
    assert!(restored_at.elapsed() < IN_FORCE_WITHIN);
}

// Malformed entries among those of the instances, and malformed routes: processes that read them, also
// those that start beside them, go on, know each other and serve new flows.
#[test]
fn malformed_entries_and_routes_end_no_process_and_hide_no_instance() {
    let cluster = Cluster::new();
    let nested = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
    let port_out_of_range = [
        &b"\x0a\x05odd-1\x11\x01\0\0\0\0\0\0\0\x18\x02\x2d\x02\0\0\x7f"[..],
        b"\x30\xff\xff\xff\xff\x0f\x38\x01",
    ]
    .concat();
    let values = [
        BASE64_STANDARD.encode(nested),
        BASE64_STANDARD.encode(port_out_of_range),
        BASE64_STANDARD.encode("\u{0}".repeat(100_000)),
        "%".to_owned(),
        String::new(),
    ];
    let add_entries = |round: usize| {
        let mut state = cluster.store.lock().unwrap();
        for (index, value) in values.iter().enumerate() {
            state.revision += 1;
            let key = format!("bamboowind/instances/odd-{round}-{index}");
            let revision = state.revision;
            state.items.push((key, value.clone(), revision));
        }
    };
    add_entries(1);
    let balancer = cluster.start("balancer", 1);
    let agents = [11, 12].map(|host| cluster.start("agent", host));
    for host in [11, 12] {
        cluster.start_target(host);
    }
    Cluster::wait_for("readiness", || cluster.is_ready(1));
    add_entries(2);
    let address = service_address();
    let (host, prefix) = (address.ip().to_string(), format!("/{}/", address.port()));
    let routes = json!([
        { "host": host, "prefix": "/65536/", "service": SERVICE },
        { "host": host, "prefix": [], "service": SERVICE, "priority": -1 },
        { "host": host, "prefix": prefix, "service": SERVICE, "priority": 1e300 },
        7,
    ]);
    write_config(&cluster.store, 2, &routes);
    Cluster::wait_for("the version with malformed routes", || {
        let lines = balancer.log_lines();
        let mut updates = lines.iter().filter(|line| line["msg"] == "routes updated");
        updates.any(|line| line["version"] == 2 && line["routes"] == 1)
    });
    cluster.send_until_response(1, 1_001, OPEN, SYN | ACK);
    let started = [cluster.start("balancer", 2), cluster.start("agent", 13)];
    cluster.start_target(13);
    Cluster::wait_for("readiness", || cluster.is_ready(2));
    cluster.send_until_response(2, 1_002, OPEN, SYN | ACK);
    for mut daemon in agents.into_iter().chain(started).chain([balancer]) {
        // A process that has just started may serve flows before it has read the list.
        Cluster::wait_for("the log line of a malformed entry", || {
            daemon.has_log_line("malformed instance entry ignored")
        });
        assert!(!daemon.has_exited());
    }
}

/// Whether the agent has logged a check of its target with this use and result.
fn has_checked(agent: &Daemon, used_for: &str, result: &str) -> bool {
    let lines = agent.log_lines();
    let mut checks = lines
        .iter()
        .filter(|line| line["msg"] == "target connection checked");
    checks.any(|line| line["use"] == used_for && line["result"] == result)
}

// An agent whose target has ended leaves nothing that searches for lost flows would wait for. One whose
// target runs leaves its entry.
#[test]
fn an_agent_leaves_its_entry_in_the_store_only_beside_a_running_target() {
    let cluster = Cluster::new();
    let _balancer = cluster.start("balancer", 1);
    let mut agents = [11, 12].map(|host| cluster.start("agent", host));
    for host in [11, 12] {
        cluster.start_target(host);
    }
    Cluster::wait_for("readiness", || cluster.is_ready(1));
    for agent in &agents {
        Cluster::wait_for("the check of the target", || {
            has_checked(agent, "start", "accepted") || has_checked(agent, "listening", "accepted")
        });
    }
    agents[0].signal("-TERM");
    assert!(agents[0].child.wait().unwrap().success());
    assert!(has_checked(&agents[0], "exit", "accepted"));
    assert!(agents[0].has_log_line("registration left to expire"));
    // The targets end.
    cluster.stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    agents[1].signal("-TERM");
    assert!(agents[1].child.wait().unwrap().success());
    assert!(has_checked(&agents[1], "exit", "refused"));
    assert!(!agents[1].has_log_line("registration left to expire"));
}

#[test]
fn help_and_command_line_errors() {
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bamboowind"));
        let output = command
            .args(arguments)
            .env_remove("BAMBOOWIND_CONFIG")
            .output()
            .unwrap();
        let texts = [output.stdout, output.stderr].map(|text| String::from_utf8(text).unwrap());
        format!("{:?} {}", output.status.code(), texts.concat())
    };
    insta::assert_snapshot!(
        [
            run(&["platform", "--help"]),
            run(&["platform", "balancer"]),
            run(&["platform", "check", "--settings", "/nowhere.toml"]),
            run(&["platform", "other"]),
        ]
        .join("\n")
    );
}
