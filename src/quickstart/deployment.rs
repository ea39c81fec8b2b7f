//! One demo deployment: store, balancers, agents and targets, all in this process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
    time::Duration,
};

use slog::Logger;
use tokio::{
    sync::{Mutex, RwLock},
    time,
};

use super::figures::{CallerCounts, ServiceFigures, TargetFigures};
use crate::{
    agent::Agent,
    balancer::{Balancer, control::TakeSnapshot},
    clock::unix_ms,
    control::{
        commit::{self, CommitContext, CommitOutcome},
        memory_store::MemoryStore,
        policy,
    },
    demo::{certificate::DemoCertificate, fabric::Fabric, target::DemoTarget},
    observe::log,
    proto::policy::{ChangeRequest, Limits, Policy, Rule},
    settings::{Role, Settings, StoreSettings},
};

const BALANCER_COUNT: usize = 3;
/// Shared secret of all demo instances.
const SECRET_HEX: &str = "5151515151515151515151515151515151515151515151515151515151515151";
const POLICY_KEY: &str = "bamboowind/policy";
const READY_POLL_INTERVAL_MS: u64 = 20;
const READY_TIMEOUT_MS: u64 = 15_000;

/// Configuration of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSpec {
    pub name: &'static str,
    /// Number of the service in the settings, unique among all deployments.
    pub number: u16,
    /// Number of hosts, each with one agent and one target.
    pub hosts: usize,
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Number of demo callers.
    pub callers: usize,
}

/// Configuration of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSpec {
    pub region: &'static str,
    /// Failure domains that the balancers and the hosts of each service are spread over.
    pub failure_domains: [&'static str; 3],
    pub services: [ServiceSpec; 2],
    /// Third octet of the loopback addresses 127.77.x.y of all processes, and last octet of the
    /// address 192.0.2.x of the first service; the second service has the next one.
    pub network: u8,
}

/// Returns the configurations of the demo deployments, which have the sizes of the production
/// deployments.
pub fn deployment_specs() -> [DeploymentSpec; 2] {
    let service = |name, number, hosts, slots, callers| ServiceSpec {
        name,
        number,
        hosts,
        slots,
        callers,
    };
    [
        DeploymentSpec {
            region: "mx-occidente",
            failure_domains: ["mx-occidente-a", "mx-occidente-b", "mx-occidente-c"],
            services: [
                service("catalogo", 1, 7, 5, 28),
                service("sonoteca", 2, 3, 5, 12),
            ],
            network: 21,
        },
        DeploymentSpec {
            region: "bkk",
            failure_domains: ["bkk-a", "bkk-b", "bkk-c"],
            services: [
                service("tracker", 3, 7, 3, 17),
                service("inspect", 4, 3, 3, 7),
            ],
            network: 22,
        },
    ]
}

/// A running deployment. Clones share it.
#[derive(Clone)]
pub struct Deployment {
    pub spec: DeploymentSpec,
    pub certificate: DemoCertificate,
    pub services: Arc<[RunningService]>,
    /// Balancers by index; `None` while a balancer is being replaced.
    pub balancers: Arc<RwLock<Vec<Option<Balancer>>>>,
    store: MemoryStore,
    log: Logger,
}

/// A running service.
pub struct RunningService {
    pub spec: ServiceSpec,
    pub fabric: Fabric,
    pub counts: CallerCounts,
    pub agents: Mutex<Vec<Agent>>,
    targets: Vec<DemoTarget>,
}

impl Deployment {
    /// Starts the store, the agents with their targets, and the balancers.
    pub async fn start(spec: DeploymentSpec) -> Result<Self, String> {
        let store = MemoryStore::new();
        let certificate = DemoCertificate::generate().ok_or("cannot generate a certificate")?;
        let log = log::discard_logger();
        store_initial_policy(&store, &spec).await?;
        let mut services = Vec::new();
        for (service_index, service_spec) in spec.services.iter().enumerate() {
            services.push(
                start_service(&spec, service_index, *service_spec, &certificate, &log).await?,
            );
        }
        let deployment = Self {
            spec,
            certificate,
            services: services.into(),
            balancers: Arc::new(RwLock::new(Vec::new())),
            store,
            log,
        };
        for index in 0..BALANCER_COUNT {
            let balancer = deployment.start_balancer(index).await?;
            deployment.balancers.write().await.push(Some(balancer));
        }
        Ok(deployment)
    }

    /// Starts the balancer with this index.
    pub async fn start_balancer(&self, index: usize) -> Result<Balancer, String> {
        let text = balancer_yaml(&self.spec, index);
        let settings = parse(&text)?;
        let Role::Balancer(balancer) = &settings.role else {
            return Err("the generated settings are not those of a balancer".to_owned());
        };
        let store = Some((self.store.clone(), store_settings()));
        Balancer::start_with_store(&settings, balancer, store, self.log.clone())
            .await
            .map_err(|error| error.to_string())
    }

    /// Waits until every balancer lists every target as accepting.
    pub async fn wait_until_ready(&self) -> Result<(), String> {
        let expected: usize = self
            .spec
            .services
            .iter()
            .map(|service_spec| service_spec.hosts)
            .sum();
        let all_accepting = async {
            while self.min_accepting_targets().await < expected {
                time::sleep(Duration::from_millis(READY_POLL_INTERVAL_MS)).await;
            }
        };
        time::timeout(Duration::from_millis(READY_TIMEOUT_MS), all_accepting)
            .await
            .map_err(|_| "timed out waiting until every balancer knows every target".to_owned())
    }

    async fn min_accepting_targets(&self) -> usize {
        let mut min = usize::MAX;
        for balancer in self.balancers.read().await.iter().flatten() {
            let snapshot = balancer.control().ask(TakeSnapshot).await;
            let targets = snapshot
                .map(|snapshot| snapshot.targets)
                .unwrap_or_default();
            let accepting = targets.iter().filter(|target| target.state == "accepting");
            min = min.min(accepting.count());
        }
        min
    }

    /// Routes the packets of callers through the balancers with these indexes only.
    pub fn route_through(&self, balancers: &[usize]) {
        for (service_index, service) in self.services.iter().enumerate() {
            let addresses = balancers
                .iter()
                .map(|&balancer| listen_address(&self.spec, balancer, service_index));
            service.fabric.set_balancers(addresses.collect());
        }
    }

    /// Changes the default limits of the policy, as an operator would.
    pub async fn change_policy(&self, limits: Limits, base_version: u64) -> CommitOutcome {
        let request = ChangeRequest {
            change_id: uuid::Uuid::now_v7().to_string(),
            operator: "quickstart".to_owned(),
            base_version,
            set_defaults: Some(limits),
            ..ChangeRequest::default()
        };
        let initial = policy::initial();
        let context = CommitContext {
            initial: &initial,
            known: &initial,
            changed_at_ms: unix_ms(),
        };
        commit::commit(&self.store, POLICY_KEY, &request, &context).await
    }

    /// Returns the figures of all services.
    pub fn figures(&self) -> Vec<ServiceFigures> {
        self.services.iter().map(RunningService::figures).collect()
    }
}

impl RunningService {
    fn figures(&self) -> ServiceFigures {
        let targets: Vec<_> = self
            .targets
            .iter()
            .map(|target| TargetFigures {
                busy_us: target
                    .stats()
                    .busy_us
                    .load(std::sync::atomic::Ordering::Relaxed),
                keys: target.stats().idempotency_keys(),
            })
            .collect();
        ServiceFigures::new(self.spec.name, &self.counts, &targets)
    }
}

async fn start_service(
    spec: &DeploymentSpec,
    service_index: usize,
    service_spec: ServiceSpec,
    certificate: &DemoCertificate,
    log: &Logger,
) -> Result<RunningService, String> {
    let mut agents = Vec::new();
    let mut targets = Vec::new();
    for host_index in 0..service_spec.hosts {
        let name = format!("{}-{}", service_spec.name, host_index + 1);
        let target = DemoTarget::start(&name)
            .await
            .map_err(|error| error.to_string())?;
        let text = agent_yaml(
            spec,
            service_index,
            service_spec,
            host_index,
            target.address(),
            certificate,
        );
        let settings = parse(&text)?;
        let Role::Agent(agent) = &settings.role else {
            return Err("the generated settings are not those of an agent".to_owned());
        };
        let agent = Agent::start(&settings, agent, log.clone()).await;
        agents.push(agent.map_err(|error| error.to_string())?);
        targets.push(target);
    }
    let service_address = SocketAddr::from((
        [
            192,
            0,
            2,
            spec.network + u8::try_from(service_index).unwrap_or(0),
        ],
        443,
    ));
    let balancers =
        (0..BALANCER_COUNT).map(|balancer| listen_address(spec, balancer, service_index));
    Ok(RunningService {
        spec: service_spec,
        fabric: Fabric::new(service_address, balancers.collect()),
        counts: CallerCounts::default(),
        agents: Mutex::new(agents),
        targets,
    })
}

async fn store_initial_policy(store: &MemoryStore, spec: &DeploymentSpec) -> Result<(), String> {
    let rule = |service: &str, path: &str, class: &str, long_stream| Rule {
        service: Some(service.to_owned()),
        path_prefix: Some(path.to_owned()),
        method: None,
        class: class.to_owned(),
        long_stream: Some(long_stream),
    };
    let names = spec.services.map(|service_spec| service_spec.name);
    let rules = names.iter().flat_map(|name| {
        [
            rule(name, "/scan", "urgent", true),
            rule(name, "/recording", "urgent", true),
            rule(name, "/report", "urgent", false),
        ]
    });
    let defaults = Limits {
        slots: Some(spec.services[0].slots),
        ..Limits::default()
    };
    let replace = Policy {
        defaults: Some(defaults),
        rules: rules.collect(),
        ..policy::initial()
    };
    let request = ChangeRequest {
        change_id: uuid::Uuid::now_v7().to_string(),
        operator: "quickstart".to_owned(),
        replace: Some(replace),
        ..ChangeRequest::default()
    };
    let initial = policy::initial();
    let context = CommitContext {
        initial: &initial,
        known: &initial,
        changed_at_ms: unix_ms(),
    };
    match commit::commit(store, POLICY_KEY, &request, &context).await {
        CommitOutcome::Accepted(_) => Ok(()),
        other => Err(format!("cannot store the initial policy: {other:?}")),
    }
}

fn store_settings() -> StoreSettings {
    StoreSettings {
        url: "memory".into(),
        policy_key: POLICY_KEY.into(),
        request_timeout_ms: 2_000,
        watch_timeout_ms: 30_000,
        watchers: 1,
        lease_ttl_ms: 15_000,
    }
}

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text, Path::new(".")).map_err(|error| error.to_string())
}

/// Returns a loopback address of the deployment. The last octet is 1 plus the index for balancers,
/// and 100 or 200 plus the index of the host for agents of the first or the second service.
fn address(spec: &DeploymentSpec, last_octet: u8, port: u16) -> SocketAddr {
    SocketAddr::new(
        Ipv4Addr::new(127, 77, spec.network, last_octet).into(),
        port,
    )
}

fn inner_address(spec: &DeploymentSpec, balancer_index: usize) -> SocketAddr {
    address(spec, 1 + u8::try_from(balancer_index).unwrap_or(0), 7_000)
}

/// Returns the address on which a balancer receives the packets of callers to a service.
fn listen_address(
    spec: &DeploymentSpec,
    balancer_index: usize,
    service_index: usize,
) -> SocketAddr {
    let port = 4_430 + u16::try_from(service_index).unwrap_or(0);
    address(spec, 1 + u8::try_from(balancer_index).unwrap_or(0), port)
}

fn common_yaml(
    spec: &DeploymentSpec,
    name: &str,
    failure_domain: &str,
    inner: SocketAddr,
) -> String {
    let peers: Vec<_> = (0..BALANCER_COUNT)
        .map(|balancer| format!("\"{}\"", inner_address(spec, balancer)))
        .collect();
    format!(
        "name: {name}\nregion: {}\nfailure_domain: {failure_domain}\ninner_address: {inner}\n\
         peers: [{}]\nkeys: {{current_phase: 1, phases: [{{phase: 1, secret_hex: \"{SECRET_HEX}\"}}]}}\n",
        spec.region,
        peers.join(", "),
    )
}

fn balancer_yaml(spec: &DeploymentSpec, balancer_index: usize) -> String {
    let name = format!("{}-balancer-{}", spec.region, balancer_index + 1);
    let mut text = common_yaml(
        spec,
        &name,
        spec.failure_domains[balancer_index % spec.failure_domains.len()],
        inner_address(spec, balancer_index),
    );
    text.push_str("balancer:\n  services:\n");
    for (service_index, service_spec) in spec.services.iter().enumerate() {
        let address = listen_address(spec, balancer_index, service_index);
        let line = format!(
            "  - {{name: {}, number: {}, address: {address}}}\n",
            service_spec.name, service_spec.number
        );
        text.push_str(&line);
    }
    text
}

fn agent_yaml(
    spec: &DeploymentSpec,
    service_index: usize,
    service_spec: ServiceSpec,
    host_index: usize,
    target: SocketAddr,
    certificate: &DemoCertificate,
) -> String {
    let last_octet = 100 * (u8::try_from(service_index).unwrap_or(0) + 1)
        + u8::try_from(host_index).unwrap_or(0);
    let name = format!("{}-{}", service_spec.name, host_index + 1);
    let failure_domain = spec.failure_domains[host_index % spec.failure_domains.len()];
    let indent = |pem: &str| pem.trim().replace('\n', "\n      ");
    format!(
        "{}agent:\n  service: {}\n  service_number: {}\n  target_address: {target}\n  tls:\n    \
         certificate_pem: |\n      {}\n    private_key_pem: |\n      {}\n",
        common_yaml(
            spec,
            &name,
            failure_domain,
            address(spec, last_octet, 7_000)
        ),
        service_spec.name,
        service_spec.number,
        indent(&certificate.certificate_pem),
        indent(&certificate.private_key_pem),
    )
}
