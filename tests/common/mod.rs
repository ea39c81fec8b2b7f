//! Test environment: a local cluster of balancer and agent processes with an in-process store,
//! demo targets and callers.
#![allow(dead_code)] // Each test crate uses only some of the helpers.

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
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A service of the test cluster.
pub struct TestService {
    pub name: &'static str,
    /// Service number on the wire, unique within the cluster.
    pub number: u16,
    /// Delivers the packets of callers to the balancers of the service.
    pub fabric: Fabric,
}

/// A process of the binary under test; it is killed on drop.
///
/// If the test panics, the drop also prints the end of the process log.
pub struct Process {
    pub name: String,
    /// Address for the traffic between balancers and agents.
    pub inner_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    pub settings_path: PathBuf,
    /// Subcommand of the binary: `balancer` or `agent`.
    role: &'static str,
    log_path: PathBuf,
    /// `None` until the process is started and after it has been killed or waited for.
    child: Option<Child>,
}

impl Process {
    /// Starts the process and appends its standard error to the log file.
    pub fn start(&mut self) {
        let log_file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_path);
        let child = Command::new(env!("CARGO_BIN_EXE_bamboowind"))
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings_path)
            .stderr(log_file.expect("failed to open the log file"))
            .spawn();
        self.child = Some(child.expect("failed to start the binary"));
    }

    pub fn pid(&self) -> u32 {
        self.child
            .as_ref()
            .map(Child::id)
            .expect("process is not running")
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Sends a signal in the notation of `kill`, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .arg(signal)
            .arg(self.pid().to_string())
            .status();
        assert!(status.expect("failed to run kill").success());
    }

    /// Kills the process with SIGKILL and waits for its exit.
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

    /// Waits for the process to exit without sending it a signal and returns its exit code.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let mut child = self.child.take().expect("process is not running");
        let status = tokio::task::spawn_blocking(move || child.wait()).await;
        status
            .expect("wait task panicked")
            .expect("failed to wait for the process")
            .code()
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

/// A cluster with its store, targets and two services.
pub struct TestCluster {
    pub certificate: DemoCertificate,
    pub store: StoreServer,
    pub services: Vec<TestService>,
    pub balancers: Vec<Process>,
    pub agents: Vec<Process>,
    pub targets: Vec<DemoTarget>,
    /// Addresses that the balancers bind for callers, by service and then by balancer.
    service_addresses: Vec<Vec<SocketAddr>>,
    addresses: AddressAllocator,
    /// Directory of the settings, keys and log files.
    pub temp_dir: TempDir,
}

impl TestCluster {
    /// Starts a cluster with a store, two services and `balancers` balancers, but no agents.
    pub async fn start(balancers: usize) -> Self {
        let mut addresses = AddressAllocator::new();
        let store = StoreServer::start(addresses.allocate(), MemoryStore::new()).await;
        let names = [("catalogo", 1), ("sonoteca", 2)];
        let services = names.map(|(name, number)| TestService {
            name,
            number,
            fabric: Fabric::new(
                format!("192.0.2.{number}:443")
                    .parse()
                    .expect("invalid address"),
                Vec::new(),
            ),
        });
        let mut cluster = Self {
            temp_dir: tempfile::tempdir().expect("failed to create a temporary directory"),
            certificate: DemoCertificate::generate().expect("failed to generate a certificate"),
            store: store.expect("failed to start the store"),
            services: services.into_iter().collect(),
            balancers: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            service_addresses: vec![Vec::new(); 2],
            addresses,
        };
        cluster.write(
            "certificate.pem",
            &cluster.certificate.certificate_pem.clone(),
        );
        cluster.write("key.pem", &cluster.certificate.private_key_pem.clone());
        cluster.write("secret.hex", SECRET_HEX);
        let inner_addresses: Vec<_> = (0..balancers)
            .map(|_| cluster.addresses.allocate())
            .collect();
        for index in 0..balancers {
            cluster.add_balancer(index, &inner_addresses);
        }
        for balancer in &mut cluster.balancers {
            balancer.start();
        }
        for (service, addresses) in cluster.services.iter().zip(&cluster.service_addresses) {
            service.fabric.set_balancers(addresses.clone());
        }
        cluster
    }

    /// Starts a cluster with three targets per service in two failure domains, and waits until all
    /// targets accept flows.
    pub async fn with_targets(balancers: usize) -> Self {
        let mut cluster = Self::start(balancers).await;
        for service in 0..2 {
            for index in 0..3 {
                cluster
                    .add_target(service, ["norte", "sur"][index % 2])
                    .await;
            }
        }
        cluster.wait_for_targets(6).await;
        cluster
    }

    /// Writes a file to the temporary directory and returns its path.
    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.temp_dir.path().join(name);
        std::fs::write(&path, text).expect("write failed");
        path
    }

    /// Writes the settings of a balancer without starting it; `inner_addresses` lists the inner
    /// addresses of all balancers.
    fn add_balancer(&mut self, index: usize, inner_addresses: &[SocketAddr]) {
        let addresses: Vec<_> = (0..2).map(|_| self.addresses.allocate()).collect();
        let peers: Vec<_> = inner_addresses
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let name = format!("balancer-{index}");
        let admin_address = self.addresses.allocate();
        let text = format!(
            "name: {name}\nfailure_domain: {domain}\ninner_address: {inner_address}\n\
             peers: [{peers}]\n\
             keys: {{current_phase: 1, phases: [{{phase: 1, secret_file: secret.hex}}]}}\n\
             admin: {{address: {admin_address}, token: {TOKEN}}}\n\
             balancer:\n  store: {{url: \"http://{store}\"}}\n  services:\n  \
             - {{name: catalogo, number: 1, address: {first}}}\n  \
             - {{name: sonoteca, number: 2, address: {second}}}\n",
            domain = ["norte", "sur"][index % 2],
            inner_address = inner_addresses[index],
            peers = peers.join(", "),
            store = self.store.address(),
            first = addresses[0],
            second = addresses[1],
        );
        let settings_path = self.write(&format!("{name}.yaml"), &text);
        for (service_addresses, address) in self.service_addresses.iter_mut().zip(addresses) {
            service_addresses.push(address);
        }
        self.balancers.push(Process {
            log_path: self.temp_dir.path().join(format!("{name}.log")),
            name,
            inner_address: inner_addresses[index],
            admin_address,
            settings_path,
            role: "balancer",
            child: None,
        });
    }

    /// Starts a demo target and an agent process for it; returns the index of the agent.
    pub async fn add_target(&mut self, service: usize, domain: &str) -> usize {
        let name = format!("{}-{}", self.services[service].name, self.agents.len());
        let target = DemoTarget::start(&name)
            .await
            .expect("failed to start a target");
        let agent = self.add_agent(service, domain, target.address());
        self.targets.push(target);
        agent
    }

    /// Starts an agent process for a running target; returns the index of the agent.
    pub fn add_agent(&mut self, service: usize, domain: &str, target: SocketAddr) -> usize {
        let name = format!("{}-{}", self.services[service].name, self.agents.len());
        let peers: Vec<_> = self
            .balancers
            .iter()
            .map(|balancer| format!("\"{}\"", balancer.inner_address))
            .collect();
        let (inner_address, admin_address) = (self.addresses.allocate(), self.addresses.allocate());
        let text = format!(
            "name: {name}\nfailure_domain: {domain}\ninner_address: {inner_address}\n\
             peers: [{peers}]\n\
             keys: {{current_phase: 1, phases: [{{phase: 1, secret_file: secret.hex}}]}}\n\
             admin: {{address: {admin_address}, token: {TOKEN}}}\n\
             agent:\n  service: {service_name}\n  service_number: {number}\n  \
             target_address: {target}\n  \
             tls: {{certificate_file: certificate.pem, private_key_file: key.pem}}\n",
            peers = peers.join(", "),
            service_name = self.services[service].name,
            number = self.services[service].number,
        );
        let settings_path = self.write(&format!("{name}.yaml"), &text);
        let mut agent = Process {
            log_path: self.temp_dir.path().join(format!("{name}.log")),
            name,
            inner_address,
            admin_address,
            settings_path,
            role: "agent",
            child: None,
        };
        agent.start();
        self.agents.push(agent);
        self.agents.len() - 1
    }

    /// Waits until every balancer lists exactly `targets` targets in state `accepting`.
    pub async fn wait_for_targets(&self, targets: usize) {
        for balancer in &self.balancers {
            let all_accepting = || async {
                let status = self.status(balancer).await;
                let Some(list) = status["targets"].as_array() else {
                    return false;
                };
                let accepting = list.iter().filter(|target| target["state"] == "accepting");
                accepting.count() == targets
            };
            wait_until("the expected number of targets is accepting", all_accepting).await;
        }
    }

    /// Status of a process, or `Null` if its administration API is unreachable.
    pub async fn status(&self, process: &Process) -> serde_json::Value {
        let request = reqwest::Client::new()
            .get(format!("http://{}/v1/status", process.admin_address))
            .bearer_auth(TOKEN)
            .timeout(Duration::from_secs(2));
        match request.send().await {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => serde_json::Value::Null,
        }
    }

    /// Event counters of a process.
    pub async fn events(&self, process: &Process) -> Events {
        Events(self.status(process).await["events"].clone())
    }

    /// Count of an event, summed over all balancers.
    pub async fn balancer_event_count(&self, event: &str) -> u64 {
        self.sum_event(&self.balancers, event).await
    }

    /// Count of an event, summed over all agents.
    pub async fn agent_event_count(&self, event: &str) -> u64 {
        self.sum_event(&self.agents, event).await
    }

    async fn sum_event(&self, processes: &[Process], event: &str) -> u64 {
        let mut sum = 0;
        for process in processes {
            sum += self.events(process).await.count(event);
        }
        sum
    }

    /// Waits until every process uses this version of the policy.
    pub async fn wait_for_policy(&self, version: u64) {
        for process in self.balancers.iter().chain(&self.agents) {
            let is_current = || async { self.status(process).await["policy_version"] == version };
            wait_until("the policy is current in every process", is_current).await;
        }
    }

    /// Opens a connection to a service as a caller.
    pub async fn connect_caller(&self, service: usize) -> Caller {
        let fabric = &self.services[service].fabric;
        let caller = Caller::connect(fabric, self.certificate.roots()).await;
        caller.expect("failed to connect")
    }

    /// Delivers the packets of all callers only to these balancers from now on.
    pub fn route_through(&self, balancers: &[usize]) {
        for (service, addresses) in self.services.iter().zip(&self.service_addresses) {
            let chosen = balancers.iter().map(|&index| addresses[index]).collect();
            service.fabric.set_balancers(chosen);
        }
    }

    /// Address on which a balancer receives the packets of a service.
    pub fn service_address(&self, service: usize, balancer: usize) -> SocketAddr {
        self.service_addresses[service][balancer]
    }

    /// Runs a command of the binary against the administration API of the first balancer.
    pub fn run_command(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_bamboowind"))
            .args(arguments)
            .env(
                "BAMBOOWIND_ADMIN",
                format!("http://{}", self.balancers[0].admin_address),
            )
            .env("BAMBOOWIND_TOKEN", TOKEN)
            .env("USER", "tester")
            .current_dir(self.temp_dir.path())
            .stdin(Stdio::null())
            .output()
            .expect("failed to run the binary")
    }

    /// Replaces the path of the temporary directory, which differs between runs, by `FOLDER`.
    pub fn normalise(&self, text: &str) -> String {
        let temp_dir = self.temp_dir.path().display().to_string();
        text.replace(&temp_dir, "FOLDER")
    }

    /// Number of times that the request with an idempotency key ran, over all targets.
    pub fn run_count(&self, key: &str) -> usize {
        self.targets
            .iter()
            .map(|target| target.stats().run_count(key))
            .sum()
    }
}

/// Opens a bidirectional stream to the echo path of a target and waits for the first echo.
pub async fn open_echo_stream(caller: &Caller) -> RequestStream {
    let mut stream = caller
        .open(&Call::post("/scan", Bytes::new()))
        .await
        .expect("failed to open a request stream");
    stream
        .send_data(Bytes::from_static(b"x"))
        .await
        .expect("send failed");
    assert_eq!(
        stream
            .recv_response()
            .await
            .expect("failed to receive the response headers")
            .status(),
        200
    );
    stream
        .recv_data()
        .await
        .expect("failed to receive data")
        .expect("stream ended early");
    stream
}

/// Sends a byte on an open stream and waits for its echo.
pub async fn echo(stream: &mut RequestStream) {
    stream
        .send_data(Bytes::from_static(b"y"))
        .await
        .expect("send failed");
    stream
        .recv_data()
        .await
        .expect("failed to receive data")
        .expect("stream ended early");
}

/// Event counters from the status of a process.
pub struct Events(serde_json::Value);

impl Events {
    /// Count of an event; 0 if the status does not list it.
    pub fn count(&self, event: &str) -> u64 {
        let all = self.0.as_array().cloned().unwrap_or_default();
        let entry = all.iter().find(|entry| entry["event"] == event);
        entry
            .and_then(|entry| entry["count"].as_u64())
            .unwrap_or_default()
    }
}

/// Resident memory of a process in KiB; 0 if it cannot be read.
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

/// Runs the binary in a directory and returns its exit code and output.
pub fn run_in(directory: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bamboowind"))
        .args(arguments)
        .env_remove("BAMBOOWIND_ADMIN")
        .env_remove("BAMBOOWIND_TOKEN")
        .current_dir(directory)
        .stdin(Stdio::null())
        .output()
        .expect("failed to run the binary")
}

/// Formats the exit code and the output of a command for a snapshot.
pub fn format_output(output: &Output) -> String {
    let mut text = Vec::new();
    let code = output.status.code().unwrap_or(-1);
    writeln!(text, "exit code {code}").expect("write failed");
    writeln!(text, "--- stdout").expect("write failed");
    text.extend(&output.stdout);
    writeln!(text, "--- stderr").expect("write failed");
    text.extend(&output.stderr);
    String::from_utf8_lossy(&text).into_owned()
}

/// Waits until a condition holds; fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until<F, T>(what: &str, condition: F)
where
    F: Fn() -> T,
    T: Future<Output = bool>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Allocates the addresses of one cluster on a loopback IP of its own.
///
/// The IP is derived from the process ID and a counter of clusters, so that tests that run at the
/// same time do not compete for ports.
pub struct AddressAllocator {
    ip: Ipv4Addr,
    /// Port that was allocated last.
    port: u16,
}

impl AddressAllocator {
    pub fn new() -> Self {
        static NEXT_CLUSTER_NUMBER: AtomicU8 = AtomicU8::new(1);
        let pid = std::process::id();
        let octet = |number: u32| u8::try_from(1 + number % 250).expect("octet out of range");
        let cluster_number = NEXT_CLUSTER_NUMBER.fetch_add(1, Ordering::Relaxed);
        Self {
            ip: Ipv4Addr::new(127, octet(pid / 250), octet(pid), cluster_number),
            port: 20_000,
        }
    }

    pub fn allocate(&mut self) -> SocketAddr {
        self.port += 1;
        SocketAddr::new(self.ip.into(), self.port)
    }
}
