//! The test environment: builds a scene of real processes, demo targets and callers.
#![allow(dead_code)] // Each test file uses a part of it.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    time::{Duration, Instant},
};

use bamboowind::{
    control::memory_store::MemoryStore,
    demo::{
        caller::Caller, certificate::DemoCertificate, fabric::Fabric, store_server::StoreServer,
        target::DemoTarget,
    },
};
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

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn signal(&self, signal: &str) {
        let pid = self
            .child
            .as_ref()
            .map(Child::id)
            .expect("a running process");
        let status = Command::new("kill")
            .arg(signal)
            .arg(pid.to_string())
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
    pub folder: TempDir,
    pub certificate: DemoCertificate,
    pub store: StoreServer,
    pub services: Vec<ServiceScene>,
    pub balancers: Vec<Process>,
    pub agents: Vec<Process>,
    pub targets: Vec<DemoTarget>,
    outer: Vec<Vec<SocketAddr>>,
}

impl Scene {
    /// Starts the store and `balancers` balancers for the two services, without any agent.
    pub async fn start(balancers: usize) -> Self {
        let store = StoreServer::start(free_address(), MemoryStore::new()).await;
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
        };
        scene.write(
            "certificate.pem",
            &scene.certificate.certificate_pem.clone(),
        );
        scene.write("key.pem", &scene.certificate.private_key_pem.clone());
        scene.write("secret.hex", SECRET_HEX);
        let inner: Vec<_> = (0..balancers).map(|_| free_address()).collect();
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
        let outer: Vec<_> = (0..2).map(|_| free_address()).collect();
        let peers: Vec<_> = inner
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let name = format!("balancer-{index}");
        let admin = free_address();
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
        let peers: Vec<_> = self
            .balancers
            .iter()
            .map(|balancer| format!("\"{}\"", balancer.inner))
            .collect();
        let (inner, admin) = (free_address(), free_address());
        let text = format!(
            "name: {name}\nfailure_domain: {domain}\ninner_address: {inner}\npeers: [{peers}]\n\
             keys: {{current_phase: 1, phases: [{{phase: 1, secret_file: secret.hex}}]}}\n\
             admin: {{address: {admin}, token: {TOKEN}}}\n\
             agent:\n  service: {service_name}\n  service_number: {number}\n  \
             target_address: {target_address}\n  \
             tls: {{certificate_file: certificate.pem, private_key_file: key.pem}}\n",
            peers = peers.join(", "),
            service_name = self.services[service].name,
            number = self.services[service].number,
            target_address = target.address(),
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
        self.targets.push(target);
        self.agents.len() - 1
    }

    /// Waits until every balancer knows `targets` accepting targets.
    pub async fn ready(&self, targets: usize) {
        for balancer in &self.balancers {
            let wanted = || async {
                let status = self.status(balancer).await;
                let list = status["targets"].as_array().cloned().unwrap_or_default();
                list.iter()
                    .filter(|target| target["state"] == "accepting")
                    .count()
                    == targets
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
            .map(|target| target.record().runs_of(key))
            .sum()
    }
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

/// An address on which both a TCP and a UDP port are free.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
