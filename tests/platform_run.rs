//! The real binary as balancers and agents over loopback, against stand-ins for the platform's
//! store, for targets and for callers.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
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

mod world;

use world::{ACK, RST, SYN, datagram, service_address};

const TIMEOUT: Duration = Duration::from_secs(10);
const PACKETS: u16 = 8_172;
const READY: u16 = 8_167;
const CONTROL: u16 = 8_166;
const OUTBOUND: u16 = 8_162;
const APP: u16 = 8_165;
const STORE: u16 = 8_169;
const SERVICE: &str = "catalogo";

/// Each test has its own loopback network.
static NETWORKS: AtomicUsize = AtomicUsize::new(0);

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: Vec<(String, String, u64)>,
    is_down: bool,
}

type SharedStore = Arc<Mutex<StoreState>>;

#[derive(Deserialize)]
struct Asked {
    #[serde(default)]
    key: String,
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
}

type Answer = Result<Json<Value>, StatusCode>;

fn answer(store: &SharedStore, act: impl FnOnce(&mut StoreState) -> Answer) -> Answer {
    let mut state = store.lock().unwrap();
    if state.is_down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    act(&mut state)
}

fn item((key, value, revision): &(String, String, u64)) -> Value {
    json!({ "key": key, "value": value, "revision": revision, "create_rev": revision, "lease": 1 })
}

async fn read(State(store): State<SharedStore>, Query(asked): Query<Asked>) -> Answer {
    answer(&store, |state| {
        let found = state.items.iter().find(|(key, _, _)| *key == asked.key);
        let mut found = item(found.ok_or(StatusCode::NOT_FOUND)?);
        found["current_rev"] = json!(state.revision);
        Ok(Json(found))
    })
}

async fn range(State(store): State<SharedStore>, Query(asked): Query<Asked>) -> Answer {
    answer(&store, |state| {
        let items = state
            .items
            .iter()
            .filter(|(key, _, _)| key.starts_with(&asked.prefix));
        let items: Vec<_> = items.map(item).collect();
        Ok(Json(
            json!({ "items": items, "has_more": false, "current_rev": state.revision }),
        ))
    })
}

async fn watch(State(store): State<SharedStore>, Query(asked): Query<Asked>) -> Answer {
    let after: u64 = asked.after.parse().unwrap_or_default();
    for _ in 0..20 {
        let found = answer(&store, |state| {
            let items = state.items.iter();
            let events: Vec<_> = items
                .filter(|(key, _, revision)| key.starts_with(&asked.prefix) && *revision > after)
                .map(item)
                .collect();
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
    answer(&store, |state| {
        Ok(Json(json!({ "events": [], "current_rev": state.revision })))
    })
}

async fn commit(State(store): State<SharedStore>, Json(body): Json<Value>) -> Answer {
    answer(&store, |state| {
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

async fn lease(State(store): State<SharedStore>) -> Answer {
    answer(&store, |_| {
        Ok(Json(json!({ "lease": 1, "ttl_ms": 30_000 })))
    })
}

fn set_routes(store: &SharedStore, version: u64) {
    let address = service_address();
    let prefix = format!("/{}/", address.port());
    let document = json!({ "version": version, "services": [], "limits": {}, "routes": [{
        "name": "r", "host": address.ip().to_string(), "prefix": prefix, "service": SERVICE,
        "type": "idempotent", "target_latency_ms": 200, "priority": 1,
    }] });
    let value = BASE64_STANDARD.encode(document.to_string());
    let mut state = store.lock().unwrap();
    state.revision += 1;
    let revision = state.revision;
    state.items.retain(|(key, _, _)| key != "op/config");
    state.items.push(("op/config".to_owned(), value, revision));
}

struct Daemon {
    child: Child,
    log: std::path::PathBuf,
}

impl Daemon {
    fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(signal)
            .arg(self.child.id().to_string())
            .status();
        assert!(status.unwrap().success());
    }

    fn lines(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap();
        let lines = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("a line of JSON"));
        lines.collect()
    }

    fn has_line(&self, message: &str) -> bool {
        self.lines().iter().any(|line| line["msg"] == message)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Scene {
    network: u8,
    store: SharedStore,
    folder: tempfile::TempDir,
    stop: Arc<AtomicBool>,
    callers: UdpSocket,
    _runtime: tokio::runtime::Runtime,
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Scene {
    fn new() -> Self {
        let index = NETWORKS.fetch_add(1, Ordering::Relaxed);
        let network = 1 + u8::try_from((std::process::id() as usize + index) % 250).unwrap();
        let store = SharedStore::default();
        set_routes(&store, 1);
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let callers = UdpSocket::bind((ip(network, 9), PACKETS)).unwrap();
        callers
            .set_read_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        let router = Router::new()
            .route("/api/kv-key", get(read))
            .route("/api/kv-range", get(range))
            .route("/api/kv-watch", get(watch))
            .route("/api/kv-txn", post(commit))
            .route("/api/kv-lease", post(lease))
            .route("/api/kv-keep/{id}", post(lease))
            .route("/api/kv-lease-end/{id}", delete(lease))
            .with_state(Arc::clone(&store));
        let address = SocketAddr::from((ip(network, 200), STORE));
        let listener = runtime
            .block_on(tokio::net::TcpListener::bind(address))
            .unwrap();
        runtime.spawn(async move { axum::serve(listener, router).await });
        Self {
            network,
            store,
            folder: tempfile::tempdir().unwrap(),
            stop: Arc::default(),
            callers,
            _runtime: runtime,
        }
    }

    fn start(&self, role: &str, host: u8) -> Daemon {
        let address = ip(self.network, host);
        let name = format!("{role}-{host}");
        let seed = ip(self.network, 1);
        let text = format!(
            r#"node_name = "{name}"
ip = "{address}"
zone = "a"
internal_ports = [7720, 7735]
seeds = ["{seed}:{CONTROL}"]
heartbeat_ms = 200
app = "{address}:{APP}"
[listen_addrs]
datagram_addr = "{address}:{PACKETS}"
ready_addr = "{address}:{READY}"
outbound = "{address}:{OUTBOUND}"
control = "{address}:{CONTROL}"
[platform]
address = "{}:{STORE}"
"#,
            ip(self.network, 200)
        );
        let path = self.folder.path().join(format!("{name}.toml"));
        std::fs::write(&path, text).unwrap();
        let log = self.folder.path().join(format!("{name}.log"));
        let child = Command::new(env!("CARGO_BIN_EXE_bamboowind"))
            .args(["platform", role])
            .env("BAMBOOWIND_CONFIG", path)
            .stdout(std::fs::File::create(&log).unwrap())
            .stderr(Stdio::null())
            .spawn();
        Daemon {
            child: child.unwrap(),
            log,
        }
    }

    /// Starts a target beside an agent.
    fn start_target(&self, host: u8) {
        let address = ip(self.network, host);
        let socket = UdpSocket::bind((address, APP)).unwrap();
        let outbound = SocketAddrV4::new(address, OUTBOUND);
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .unwrap();
        let stop = Arc::clone(&self.stop);
        thread::spawn(move || serve_target(&socket, outbound, &stop));
        let stop = Arc::clone(&self.stop);
        thread::spawn(move || send_heartbeats(address, host, &stop));
    }

    fn caller(&self) -> Ipv4Addr {
        ip(self.network, 9)
    }

    fn send(&self, balancer: u8, port: u16, flags: u8, data_len: u16) {
        let from = SocketAddrV4::new(self.caller(), port);
        let acknowledged = u32::from(flags & SYN == 0);
        let bytes = datagram(from, service_address(), flags, 8, acknowledged, data_len);
        let to = (ip(self.network, balancer), PACKETS);
        self.callers.send_to(&bytes, to).unwrap();
    }

    /// Sends until a packet with these flags comes back.
    fn expect(&self, balancer: u8, port: u16, sent: (u8, u16), flags: u8) {
        let deadline = Instant::now() + TIMEOUT;
        let mut buffer = [0; 2_048];
        while Instant::now() < deadline {
            self.send(balancer, port, sent.0, sent.1);
            while let Ok(len) = self.callers.recv(&mut buffer) {
                let to_port = u16::from_le_bytes([buffer[20], buffer[21]]);
                if len >= 36 && to_port == port && buffer[10] == flags {
                    return;
                }
            }
        }
        panic!("no answer with flags {flags} through balancer {balancer}");
    }

    fn wait_for(what: &str, is_true: impl Fn() -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !is_true() {
            assert!(Instant::now() < deadline, "{what} did not happen");
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn is_ready(&self, host: u8) -> bool {
        let address = ip(self.network, host);
        status(&format!("http://{address}:{READY}/api/ready")) == Some(200)
    }
}

fn ip(network: u8, host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 77, network, host)
}

fn status(url: &str) -> Option<u16> {
    get_text(url).map(|(status, _)| status)
}

fn get_text(url: &str) -> Option<(u16, String)> {
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

fn serve_target(socket: &UdpSocket, outbound: SocketAddrV4, stop: &AtomicBool) {
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
        let body = json!({ "service": SERVICE, "address": format!("{address}:{APP}"), "zone": "a",
            "version": "v1", "capacity": 5, "state": "ready", "warmup_left_ms": 0,
            "seq": sequence, "born": 1_769_000_000_000_u64 });
        let url = format!("http://{address}:{CONTROL}/api/Instances.Heartbeat/i-{host}");
        // The agent may be down; the next heartbeat finds it.
        let _ = runtime.block_on(client.post(url).json(&body).send());
        thread::sleep(Duration::from_millis(200));
    }
}

const REQUEST: (u8, u16) = (ACK, 100);
const OPEN: (u8, u16) = (SYN, 0);

#[test]
fn a_flow_is_served_through_any_balancer_and_survives_restarts() {
    let scene = Scene::new();
    let balancers = [scene.start("balancer", 1), scene.start("balancer", 2)];
    let agents = [11, 12, 13].map(|host| scene.start("agent", host));
    for host in [11, 12, 13] {
        scene.start_target(host);
    }
    Scene::wait_for("readiness", || scene.is_ready(1) && scene.is_ready(2));
    scene.expect(1, 1_001, OPEN, SYN | ACK);
    scene.expect(1, 1_001, REQUEST, ACK);
    Scene::wait_for("the request's line", || {
        agents
            .iter()
            .any(|agent| agent.has_line("request forwarded"))
    });
    let metrics = [11, 12, 13].map(|host| {
        let address = ip(scene.network, host);
        get_text(&format!("http://{address}:7721/metrics"))
            .unwrap()
            .1
    });
    assert!(metrics.concat().contains("bamboowind_request_duration_ms"));
    // Another balancer, which has never seen the flow.
    scene.expect(2, 1_001, REQUEST, ACK);
    // The first balancer is killed and starts again with nothing.
    balancers[0].signal("-KILL");
    drop(balancers);
    let _restarted = [scene.start("balancer", 1), scene.start("balancer", 2)];
    Scene::wait_for("readiness", || scene.is_ready(1) && scene.is_ready(2));
    scene.expect(1, 1_001, REQUEST, ACK);
    // All agents are killed while their targets live.
    for agent in &agents {
        agent.signal("-KILL");
    }
    drop(agents);
    let _agents = [11, 12, 13].map(|host| scene.start("agent", host));
    scene.expect(2, 1_001, REQUEST, ACK);
    scene.expect(1, 1_002, OPEN, SYN | ACK);
}

#[test]
fn a_balancer_drains_at_sigterm_and_serves_without_the_store() {
    let scene = Scene::new();
    let mut first = scene.start("balancer", 1);
    let second = scene.start("balancer", 2);
    let agent = scene.start("agent", 11);
    scene.start_target(11);
    Scene::wait_for("readiness", || scene.is_ready(1) && scene.is_ready(2));
    scene.expect(1, 1_001, OPEN, SYN | ACK);
    thread::sleep(Duration::from_secs(1));
    let stopped_at = Instant::now();
    first.signal("-TERM");
    Scene::wait_for("not ready", || !scene.is_ready(1));
    scene.expect(1, 1_001, REQUEST, ACK);
    let status = first.child.wait().unwrap();
    assert!(status.success());
    assert!(stopped_at.elapsed() < Duration::from_secs(5));
    assert!(first.has_line("stopping") && first.has_line("stopped"));
    // A balancer that starts while the store is down learns routes and members from its peers.
    scene.store.lock().unwrap().is_down = true;
    drop(second);
    let seeded = scene.start("balancer", 1);
    let other = scene.start("balancer", 2);
    Scene::wait_for("the agent to be heard", || {
        seeded.has_line("instance changed")
    });
    scene.expect(1, 1_001, REQUEST, ACK);
    Scene::wait_for("the loss to be told", || {
        other.has_line("store unreachable")
    });
    scene.store.lock().unwrap().is_down = false;
    set_routes(&scene.store, 9);
    Scene::wait_for("the new routes", || {
        let lines = other.lines();
        lines
            .iter()
            .any(|line| line["msg"] == "routes updated" && line["version"] == 9)
    });
    assert!(agent.has_line("target changed"));
}

#[test]
fn an_unknown_address_is_refused_and_told() {
    let scene = Scene::new();
    let balancer = scene.start("balancer", 1);
    let agent = scene.start("agent", 11);
    scene.start_target(11);
    Scene::wait_for("readiness", || scene.is_ready(1));
    let from = SocketAddrV4::new(scene.caller(), 1_009);
    let unknown = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 99), 1);
    let bytes = datagram(from, unknown, SYN, 8, 0, 0);
    scene
        .callers
        .send_to(&bytes, (ip(scene.network, 1), PACKETS))
        .unwrap();
    let mut buffer = [0; 2_048];
    scene.callers.set_read_timeout(Some(TIMEOUT)).unwrap();
    scene.callers.recv(&mut buffer).unwrap();
    assert_eq!(buffer[10], RST);
    Scene::wait_for("the line", || balancer.has_line("flow refused"));
    let address = ip(scene.network, 1);
    let (_, text) = get_text(&format!("http://{address}:7721/metrics")).unwrap();
    assert!(text.contains("flow_refused"), "{text}");
    let lines = balancer.lines();
    let refused = lines
        .iter()
        .find(|line| line["msg"] == "flow refused")
        .unwrap();
    assert_eq!(refused["reason"], "no_route");
    assert_eq!(refused["flow"], format!("{from}>{unknown}"));
    agent.signal("-HUP");
    let reads = || {
        let lines = agent.lines().into_iter();
        lines
            .filter(|line| line["msg"] == "settings read again")
            .count()
    };
    Scene::wait_for("the settings", || reads() == 1);
    // The file is replaced without a signal.
    let path = scene.folder.path().join("agent-11.toml");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(
        &path,
        text.replace("heartbeat_ms = 200", "heartbeat_ms = 300"),
    )
    .unwrap();
    Scene::wait_for("the settings", || reads() == 2);
}

#[test]
fn the_command_line_explains_itself() {
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
