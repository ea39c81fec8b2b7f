//! The test environment: builds a scene of real processes, demo targets and callers.
#![allow(dead_code)] // Each test file uses a part of it.

use std::{
    io::Write,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use bamboowind::{
    control::memory_store::MemoryStore,
    demo::{
        caller::{Call, Caller, RequestStream},
        certificate::DemoCertificate,
        fabric::Fabric,
        store_server::StoreServer,
        target::DemoTarget,
    },
};
use bytes::Bytes;
use tempfile::TempDir;

pub const TOKEN: &str = "test-token";
pub const SECRET_HEX: &str = "0707070707070707070707070707070707070707070707070707070707070707";
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One service of a scene.
pub struct ServiceScene {
    pub name: &'static str,
    pub number: u16,
    pub fabric: Fabric,
}

/// A process of the binary under test, killed when it is dropped.
pub struct Process {
    pub name: String,
    pub inner: SocketAddr,
    pub admin: SocketAddr,
    pub settings: PathBuf,
    role: &'static str,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_bamboowind"))
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .stderr(log.expect("log file"))
            .spawn();
        self.child = Some(child.expect("start the binary"));
    }

    pub fn pid(&self) -> u32 {
        self.child
            .as_ref()
            .map(Child::id)
            .expect("a running process")
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(signal)
            .arg(self.pid().to_string())
            .status();
        assert!(status.expect("kill").success());
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_none()))
    }

    /// Waits until the process has ended by itself and returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take().expect("a running process");
        let status = tokio::task::spawn_blocking(move || child.wait()).await;
        status.expect("join").expect("wait").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let text = self.log_text();
            let lines: Vec<_> = text.lines().rev().take(20).collect();
            eprintln!("last log lines of {}:", self.name);
            lines.iter().rev().for_each(|line| eprintln!("  {line}"));
        }
    }
}

/// A whole system with its surroundings.
pub struct Scene {
    pub certificate: DemoCertificate,
    pub store: StoreServer,
    pub services: Vec<ServiceScene>,
    pub balancers: Vec<Process>,
    pub agents: Vec<Process>,
    pub targets: Vec<DemoTarget>,
    outer: Vec<Vec<SocketAddr>>,
    addresses: Addresses,
    pub folder: TempDir,
}

impl Scene {
    /// Starts the store and `balancers` balancers for the two services, without any agent.
    pub async fn start(balancers: usize) -> Self {
        let mut addresses = Addresses::new();
        let store = StoreServer::start(addresses.next(), MemoryStore::new()).await;
        let names = [("catalogo", 1), ("sonoteca", 2)];
        let services = names.map(|(name, number)| ServiceScene {
            name,
            number,
            fabric: Fabric::new(
                format!("192.0.2.{number}:443").parse().expect("address"),
                Vec::new(),
            ),
        });
        let mut scene = Self {
            folder: tempfile::tempdir().expect("folder"),
            certificate: DemoCertificate::generate().expect("certificate"),
            store: store.expect("store"),
            services: services.into_iter().collect(),
            balancers: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            outer: vec![Vec::new(); 2],
            addresses,
        };
        scene.write(
            "certificate.pem",
            &scene.certificate.certificate_pem.clone(),
        );
        scene.write("key.pem", &scene.certificate.private_key_pem.clone());
        scene.write("secret.hex", SECRET_HEX);
        let inner: Vec<_> = (0..balancers).map(|_| scene.addresses.next()).collect();
        for index in 0..balancers {
            scene.add_balancer(index, &inner);
        }
        for balancer in &mut scene.balancers {
            balancer.start();
        }
        for (service, outer) in scene.services.iter().zip(&scene.outer) {
            service.fabric.set_balancers(outer.clone());
        }
        scene
    }

    /// Starts the scene with three targets a service, in two failure domains.
    pub async fn with_targets(balancers: usize) -> Self {
        let mut scene = Self::start(balancers).await;
        for service in 0..2 {
            for index in 0..3 {
                scene.add_target(service, ["norte", "sur"][index % 2]).await;
            }
        }
        scene.ready(6).await;
        scene
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).expect("write");
        path
    }

    fn add_balancer(&mut self, index: usize, inner: &[SocketAddr]) {
        let outer: Vec<_> = (0..2).map(|_| self.addresses.next()).collect();
        let peers: Vec<_> = inner
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let name = format!("balancer-{index}");
        let admin = self.addresses.next();
        let text = format!(
            "name: {name}\nfailure_domain: {domain}\ninner_address: {own}\npeers: [{peers}]\n\
             keys: {{current_phase: 1, phases: [{{phase: 1, secret_file: secret.hex}}]}}\n\
             admin: {{address: {admin}, token: {TOKEN}}}\n\
             balancer:\n  store: {{url: \"http://{store}\"}}\n  services:\n  \
             - {{name: catalogo, number: 1, address: {first}}}\n  \
             - {{name: sonoteca, number: 2, address: {second}}}\n",
            domain = ["norte", "sur"][index % 2],
            own = inner[index],
            peers = peers.join(", "),
            store = self.store.address(),
            first = outer[0],
            second = outer[1],
        );
        let settings = self.write(&format!("{name}.yaml"), &text);
        for (all, own) in self.outer.iter_mut().zip(outer) {
            all.push(own);
        }
        self.balancers.push(Process {
            log: self.folder.path().join(format!("{name}.log")),
            name,
            inner: inner[index],
            admin,
            settings,
            role: "balancer",
            child: None,
        });
    }

    /// Starts a demo target with an agent process beside it.
    pub async fn add_target(&mut self, service: usize, domain: &str) -> usize {
        let name = format!("{}-{}", self.services[service].name, self.agents.len());
        let target = DemoTarget::start(&name).await.expect("target");
        let agent = self.add_agent(service, domain, target.address());
        self.targets.push(target);
        agent
    }

    /// Starts an agent process beside a target that stands already.
    pub fn add_agent(&mut self, service: usize, domain: &str, target: SocketAddr) -> usize {
        let name = format!("{}-{}", self.services[service].name, self.agents.len());
        let peers: Vec<_> = self
            .balancers
            .iter()
            .map(|balancer| format!("\"{}\"", balancer.inner))
            .collect();
        let (inner, admin) = (self.addresses.next(), self.addresses.next());
        let text = format!(
            "name: {name}\nfailure_domain: {domain}\ninner_address: {inner}\npeers: [{peers}]\n\
             keys: {{current_phase: 1, phases: [{{phase: 1, secret_file: secret.hex}}]}}\n\
             admin: {{address: {admin}, token: {TOKEN}}}\n\
             agent:\n  service: {service_name}\n  service_number: {number}\n  \
             target_address: {target}\n  \
             tls: {{certificate_file: certificate.pem, private_key_file: key.pem}}\n",
            peers = peers.join(", "),
            service_name = self.services[service].name,
            number = self.services[service].number,
        );
        let settings = self.write(&format!("{name}.yaml"), &text);
        let mut agent = Process {
            log: self.folder.path().join(format!("{name}.log")),
            name,
            inner,
            admin,
            settings,
            role: "agent",
            child: None,
        };
        agent.start();
        self.agents.push(agent);
        self.agents.len() - 1
    }

    /// Waits until every balancer knows `targets` accepting targets.
    pub async fn ready(&self, targets: usize) {
        for balancer in &self.balancers {
            let wanted = || async {
                let status = self.status(balancer).await;
                let Some(list) = status["targets"].as_array() else {
                    return false;
                };
                let accepting = list.iter().filter(|target| target["state"] == "accepting");
                accepting.count() == targets
            };
            wait_until("all targets are announced", wanted).await;
        }
    }

    /// Status of a process; null while it does not answer.
    pub async fn status(&self, process: &Process) -> serde_json::Value {
        let request = reqwest::Client::new()
            .get(format!("http://{}/v1/status", process.admin))
            .bearer_auth(TOKEN)
            .timeout(Duration::from_secs(2));
        match request.send().await {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => serde_json::Value::Null,
        }
    }

    /// Events that a process has counted.
    pub async fn events(&self, process: &Process) -> Events {
        Events(self.status(process).await["events"].clone())
    }

    /// Sum of an event over all balancers.
    pub async fn total(&self, event: &str) -> u64 {
        self.sum(&self.balancers, event).await
    }

    /// Sum of an event over all agents.
    pub async fn agent_total(&self, event: &str) -> u64 {
        self.sum(&self.agents, event).await
    }

    async fn sum(&self, processes: &[Process], event: &str) -> u64 {
        let mut sum = 0;
        for process in processes {
            sum += self.events(process).await.of(event);
        }
        sum
    }

    /// Waits until a version of the policy is in force in every process.
    pub async fn policy_in_force(&self, version: u64) {
        for process in self.balancers.iter().chain(&self.agents) {
            let is_in_force = || async { self.status(process).await["policy_version"] == version };
            wait_until("the policy is in force", is_in_force).await;
        }
    }

    /// Opens a connection to a service.
    pub async fn caller(&self, service: usize) -> Caller {
        let fabric = &self.services[service].fabric;
        let caller = Caller::connect(fabric, self.certificate.roots()).await;
        caller.expect("a connection")
    }

    /// Leaves only these balancers behind the services' addresses.
    pub fn route_through(&self, balancers: &[usize]) {
        for (service, outer) in self.services.iter().zip(&self.outer) {
            let chosen = balancers.iter().map(|&index| outer[index]).collect();
            service.fabric.set_balancers(chosen);
        }
    }

    /// Address at which a balancer takes a service's packets.
    pub fn outer_address(&self, service: usize, balancer: usize) -> SocketAddr {
        self.outer[service][balancer]
    }

    /// Runs the program with a balancer's administration API in its environment.
    pub fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_bamboowind"))
            .args(arguments)
            .env(
                "BAMBOOWIND_ADMIN",
                format!("http://{}", self.balancers[0].admin),
            )
            .env("BAMBOOWIND_TOKEN", TOKEN)
            .env("USER", "tester")
            .current_dir(self.folder.path())
            .stdin(Stdio::null())
            .output()
            .expect("run the binary")
    }

    /// Replaces what differs from run to run by fixed words.
    pub fn normalise(&self, text: &str) -> String {
        let folder = self.folder.path().display().to_string();
        text.replace(&folder, "FOLDER")
    }

    /// Runs of all targets together.
    pub fn runs_of(&self, key: &str) -> usize {
        self.targets
            .iter()
            .map(|target| target.stats().run_count(key))
            .sum()
    }
}

/// Opens a stream that carries data both ways, and waits until it does.
pub async fn open_scan(caller: &Caller) -> RequestStream {
    let mut stream = caller
        .open(&Call::post("/scan", Bytes::new()))
        .await
        .expect("a stream");
    stream
        .send_data(Bytes::from_static(b"x"))
        .await
        .expect("sent");
    assert_eq!(stream.recv_response().await.expect("a head").status(), 200);
    stream.recv_data().await.expect("data").expect("more");
    stream
}

/// Sends a piece on an open stream and waits for its echo.
pub async fn echo(stream: &mut RequestStream) {
    stream
        .send_data(Bytes::from_static(b"y"))
        .await
        .expect("sent");
    stream.recv_data().await.expect("data").expect("more");
}

/// Counts of events in a status.
pub struct Events(serde_json::Value);

impl Events {
    pub fn of(&self, event: &str) -> u64 {
        let all = self.0.as_array().cloned().unwrap_or_default();
        let entry = all.iter().find(|entry| entry["event"] == event);
        entry
            .and_then(|entry| entry["count"].as_u64())
            .unwrap_or_default()
    }
}

/// Resident memory of a process, in KiB.
pub fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits: String = line
        .unwrap_or_default()
        .chars()
        .filter(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or_default()
}

/// Runs the program in a folder and returns its exit code and output.
pub fn run_in(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bamboowind"))
        .args(arguments)
        .env_remove("BAMBOOWIND_ADMIN")
        .env_remove("BAMBOOWIND_TOKEN")
        .current_dir(folder)
        .stdin(Stdio::null())
        .output()
        .expect("run the binary")
}

/// Output of a run as one text for snapshots.
pub fn shown(output: &Output) -> String {
    let mut text = Vec::new();
    let code = output.status.code().unwrap_or(-1);
    writeln!(text, "exit code {code}").expect("write");
    writeln!(text, "--- stdout").expect("write");
    text.extend(&output.stdout);
    writeln!(text, "--- stderr").expect("write");
    text.extend(&output.stderr);
    String::from_utf8_lossy(&text).into_owned()
}

/// Waits until a condition holds; fails the test after a long time.
pub async fn wait_until<F, T>(what: &str, condition: F)
where
    F: Fn() -> T,
    T: Future<Output = bool>,
{
    let deadline = Instant::now() + START_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Addresses of one scene, on a loopback IP that no other scene uses.
pub struct Addresses {
    ip: Ipv4Addr,
    port: u16,
}

impl Addresses {
    pub fn new() -> Self {
        static SCENES: AtomicU8 = AtomicU8::new(1);
        let pid = std::process::id();
        let octet = |number: u32| u8::try_from(1 + number % 250).expect("a small number");
        let scene = SCENES.fetch_add(1, Ordering::Relaxed);
        Self {
            ip: Ipv4Addr::new(127, octet(pid / 250), octet(pid), scene),
            port: 20_000,
        }
    }

    pub fn next(&mut self) -> SocketAddr {
        self.port += 1;
        SocketAddr::new(self.ip.into(), self.port)
    }
}
