//! One deployment of the brief: its store, balancers, agents and targets in this process.

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
        commit::{self, CommitOutcome, Start},
        memory_store::MemoryStore,
        policy,
    },
    demo::{certificate::DemoCertificate, fabric::Fabric, target::DemoTarget},
    observe::log,
    proto::policy::{ChangeRequest, Limits, Policy, Rule},
    settings::{Role, Settings, StoreSettings},
};

const BALANCERS: usize = 3;
const SECRET_HEX: &str = "5151515151515151515151515151515151515151515151515151515151515151";
const POLICY_KEY: &str = "bamboowind/policy";
const READY_POLL_MS: u64 = 20;
const READY_TIMEOUT_MS: u64 = 15_000;

/// One service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServicePlan {
    pub name: &'static str,
    pub number: u16,
    pub hosts: usize,
    pub slots: u32,
    pub callers: usize,
}

/// One deployment at its size of today.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub region: &'static str,
    pub domains: [&'static str; 3],
    pub services: [ServicePlan; 2],
    pub network: u8,
}

/// Both deployments of the brief.
pub fn sites() -> [Site; 2] {
    let service = |name, number, hosts, slots, callers| ServicePlan {
        name,
        number,
        hosts,
        slots,
        callers,
    };
    [
        Site {
            region: "mx-occidente",
            domains: ["mx-occidente-a", "mx-occidente-b", "mx-occidente-c"],
            services: [
                service("catalogo", 1, 7, 5, 28),
                service("sonoteca", 2, 3, 5, 12),
            ],
            network: 21,
        },
        Site {
            region: "bkk",
            domains: ["bkk-a", "bkk-b", "bkk-c"],
            services: [
                service("tracker", 3, 7, 3, 17),
                service("inspect", 4, 3, 3, 7),
            ],
            network: 22,
        },
    ]
}

/// A running deployment.
#[derive(Clone)]
pub struct Deployment {
    pub site: Site,
    pub certificate: DemoCertificate,
    pub services: Arc<[RunningService]>,
    pub balancers: Arc<RwLock<Vec<Option<Balancer>>>>,
    store: MemoryStore,
    log: Logger,
}

/// A running service.
pub struct RunningService {
    pub plan: ServicePlan,
    pub fabric: Fabric,
    pub counts: CallerCounts,
    pub agents: Mutex<Vec<Agent>>,
    targets: Vec<DemoTarget>,
}

impl Deployment {
    /// Starts everything but the callers.
    pub async fn start(site: Site) -> Result<Self, String> {
        let store = MemoryStore::new();
        let certificate = DemoCertificate::generate().ok_or("no certificate can be made")?;
        let log = log::discard_logger();
        put_policy(&store, &site).await?;
        let mut services = Vec::new();
        for (index, plan) in site.services.iter().enumerate() {
            services.push(start_service(&site, index, *plan, &certificate, &log).await?);
        }
        let deployment = Self {
            site,
            certificate,
            services: services.into(),
            balancers: Arc::new(RwLock::new(Vec::new())),
            store,
            log,
        };
        for index in 0..BALANCERS {
            let balancer = deployment.start_balancer(index).await?;
            deployment.balancers.write().await.push(Some(balancer));
        }
        Ok(deployment)
    }

    /// Starts one of the balancers.
    pub async fn start_balancer(&self, index: usize) -> Result<Balancer, String> {
        let text = balancer_yaml(&self.site, index);
        let settings = parse(&text)?;
        let Role::Balancer(balancer) = &settings.role else {
            return Err("the settings are not those of a balancer".to_owned());
        };
        let store = Some((self.store.clone(), store_settings()));
        Balancer::start_with(&settings, balancer, store, self.log.clone())
            .await
            .map_err(|error| error.to_string())
    }

    /// Waits until every balancer knows every target.
    pub async fn ready(&self) -> Result<(), String> {
        let wanted: usize = self.site.services.iter().map(|plan| plan.hosts).sum();
        let all_known = async {
            while self.fewest_known().await < wanted {
                time::sleep(Duration::from_millis(READY_POLL_MS)).await;
            }
        };
        time::timeout(Duration::from_millis(READY_TIMEOUT_MS), all_known)
            .await
            .map_err(|_| "the targets are not announced in time".to_owned())
    }

    async fn fewest_known(&self) -> usize {
        let mut fewest = usize::MAX;
        for balancer in self.balancers.read().await.iter().flatten() {
            let snapshot = balancer.control().ask(TakeSnapshot).await;
            let targets = snapshot
                .map(|snapshot| snapshot.targets)
                .unwrap_or_default();
            let accepting = targets.iter().filter(|target| target.state == "accepting");
            fewest = fewest.min(accepting.count());
        }
        fewest
    }

    /// Leaves only some balancers behind the services' addresses.
    pub fn route_through(&self, balancers: &[usize]) {
        for (index, service) in self.services.iter().enumerate() {
            let outer = balancers
                .iter()
                .map(|&balancer| outer_address(&self.site, balancer, index));
            service.fabric.set_balancers(outer.collect());
        }
    }

    /// Changes the policy as an operator would.
    pub async fn change_policy(&self, limits: Limits, base_version: u64) -> CommitOutcome {
        let request = ChangeRequest {
            change_id: uuid::Uuid::now_v7().to_string(),
            operator: "quickstart".to_owned(),
            base_version,
            set_defaults: Some(limits),
            ..ChangeRequest::default()
        };
        let initial = policy::initial();
        let start = Start {
            initial: &initial,
            changed_at_ms: unix_ms(),
        };
        commit::commit(&self.store, POLICY_KEY, &request, &start).await
    }

    /// Figures of all services.
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
                    .record()
                    .busy_us
                    .load(std::sync::atomic::Ordering::Relaxed),
                keys: target.record().all_keys(),
            })
            .collect();
        ServiceFigures::new(self.plan.name, &self.counts, &targets)
    }
}

async fn start_service(
    site: &Site,
    index: usize,
    plan: ServicePlan,
    certificate: &DemoCertificate,
    log: &Logger,
) -> Result<RunningService, String> {
    let mut agents = Vec::new();
    let mut targets = Vec::new();
    for host in 0..plan.hosts {
        let name = format!("{}-{}", plan.name, host + 1);
        let target = DemoTarget::start(&name)
            .await
            .map_err(|error| error.to_string())?;
        let text = agent_yaml(site, index, plan, host, target.address(), certificate);
        let settings = parse(&text)?;
        let Role::Agent(agent) = &settings.role else {
            return Err("the settings are not those of an agent".to_owned());
        };
        let agent = Agent::start(&settings, agent, log.clone()).await;
        agents.push(agent.map_err(|error| error.to_string())?);
        targets.push(target);
    }
    let service = SocketAddr::from((
        [192, 0, 2, site.network + u8::try_from(index).unwrap_or(0)],
        443,
    ));
    let outer = (0..BALANCERS).map(|balancer| outer_address(site, balancer, index));
    Ok(RunningService {
        plan,
        fabric: Fabric::new(service, outer.collect()),
        counts: CallerCounts::default(),
        agents: Mutex::new(agents),
        targets,
    })
}

async fn put_policy(store: &MemoryStore, site: &Site) -> Result<(), String> {
    let rule = |service: &str, path: &str, class: &str, long_stream| Rule {
        service: Some(service.to_owned()),
        path_prefix: Some(path.to_owned()),
        method: None,
        class: class.to_owned(),
        long_stream: Some(long_stream),
    };
    let names = site.services.map(|plan| plan.name);
    let rules = names.iter().flat_map(|name| {
        [
            rule(name, "/scan", "urgent", true),
            rule(name, "/recording", "urgent", true),
            rule(name, "/report", "urgent", false),
        ]
    });
    let defaults = Limits {
        slots: Some(site.services[0].slots),
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
    let start = Start {
        initial: &initial,
        changed_at_ms: unix_ms(),
    };
    match commit::commit(store, POLICY_KEY, &request, &start).await {
        CommitOutcome::Accepted(_) => Ok(()),
        other => Err(format!("the policy was not accepted: {other:?}")),
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

fn address(site: &Site, host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(127, 77, site.network, host).into(), port)
}

fn inner_address(site: &Site, balancer: usize) -> SocketAddr {
    address(site, 1 + u8::try_from(balancer).unwrap_or(0), 7_000)
}

fn outer_address(site: &Site, balancer: usize, service: usize) -> SocketAddr {
    let port = 4_430 + u16::try_from(service).unwrap_or(0);
    address(site, 1 + u8::try_from(balancer).unwrap_or(0), port)
}

fn common_yaml(site: &Site, name: &str, domain: &str, inner: SocketAddr) -> String {
    let peers: Vec<_> = (0..BALANCERS)
        .map(|balancer| format!("\"{}\"", inner_address(site, balancer)))
        .collect();
    format!(
        "name: {name}\nregion: {}\nfailure_domain: {domain}\ninner_address: {inner}\n\
         peers: [{}]\nkeys: {{current_phase: 1, phases: [{{phase: 1, secret_hex: \"{SECRET_HEX}\"}}]}}\n",
        site.region,
        peers.join(", "),
    )
}

fn balancer_yaml(site: &Site, index: usize) -> String {
    let name = format!("{}-balancer-{}", site.region, index + 1);
    let mut text = common_yaml(
        site,
        &name,
        site.domains[index % site.domains.len()],
        inner_address(site, index),
    );
    text.push_str("balancer:\n  services:\n");
    for (service, plan) in site.services.iter().enumerate() {
        let outer = outer_address(site, index, service);
        let line = format!(
            "  - {{name: {}, number: {}, address: {outer}}}\n",
            plan.name, plan.number
        );
        text.push_str(&line);
    }
    text
}

fn agent_yaml(
    site: &Site,
    service: usize,
    plan: ServicePlan,
    host: usize,
    target: SocketAddr,
    certificate: &DemoCertificate,
) -> String {
    let last = 100 * (u8::try_from(service).unwrap_or(0) + 1) + u8::try_from(host).unwrap_or(0);
    let name = format!("{}-{}", plan.name, host + 1);
    let domain = site.domains[host % site.domains.len()];
    let indent = |pem: &str| pem.trim().replace('\n', "\n      ");
    format!(
        "{}agent:\n  service: {}\n  service_number: {}\n  target_address: {target}\n  tls:\n    \
         certificate_pem: |\n      {}\n    private_key_pem: |\n      {}\n",
        common_yaml(site, &name, domain, address(site, last, 7_000)),
        plan.name,
        plan.number,
        indent(&certificate.certificate_pem),
        indent(&certificate.private_key_pem),
    )
}
