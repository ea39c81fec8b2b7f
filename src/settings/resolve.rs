//! Turns checked raw settings into the values that a process uses.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
};

use super::{
    AdminSettings, AgentSettings, BalancerSettings, Role, ServiceSettings, Settings, StoreSettings,
    TlsIdentity, check::Fault,
};
use crate::{
    proto::settings as raw,
    wire::key_ring::{KeyRing, PhaseKeys, SECRET_LEN, SharedKeyRing},
};

const DEFAULT_REGION: &str = "local";
const DEFAULT_POLICY_KEY: &str = "bamboowind/policy";
const DEFAULT_REQUEST_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_WATCH_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_WATCHERS: u32 = 2;
const DEFAULT_LEASE_TTL_MS: u64 = 15_000;
const MAX_PHASES: usize = 2;

/// Collects faults while values are resolved.
struct Resolver<'a> {
    folder: &'a Path,
    faults: Vec<Fault>,
}

pub(super) fn resolve(raw: &raw::Settings, folder: &Path) -> Result<Settings, Vec<Fault>> {
    let mut resolver = Resolver {
        folder,
        faults: Vec::new(),
    };
    let settings = resolver.settings(raw);
    match settings {
        Some(settings) if resolver.faults.is_empty() => Ok(settings),
        _ => Err(resolver.faults),
    }
}

impl Resolver<'_> {
    fn settings(&mut self, raw: &raw::Settings) -> Option<Settings> {
        self.check_listeners(raw);
        let keys = self.key_ring(raw.keys.as_ref()?);
        let admin = raw.admin.as_ref().map(|admin| self.admin(admin));
        let role = self.role(raw);
        Some(Settings {
            name: raw.name.as_str().into(),
            region: raw.region.as_deref().unwrap_or(DEFAULT_REGION).into(),
            failure_domain: raw.failure_domain.as_str().into(),
            inner_address: address(&raw.inner_address)?,
            peers: raw.peers.iter().filter_map(|text| address(text)).collect(),
            keys: SharedKeyRing::new(keys?),
            admin: match admin {
                Some(admin) => Some(admin?),
                None => None,
            },
            log_level: log_level(raw.log_level.as_deref()),
            role: role?,
        })
    }

    fn fault(&mut self, path: &str, value: impl Into<String>, expected: &str) {
        self.faults.push(Fault::new(path, value, expected));
    }

    fn role(&mut self, raw: &raw::Settings) -> Option<Role> {
        match (&raw.balancer, &raw.agent) {
            (Some(balancer), None) => self.balancer(balancer).map(Role::Balancer),
            (None, Some(agent)) => self.agent(agent, &raw.inner_address).map(Role::Agent),
            (Some(_), Some(_)) => {
                self.fault(
                    "agent",
                    "a mapping beside balancer",
                    "either balancer or agent",
                );
                None
            }
            (None, None) => {
                self.fault("balancer", "nothing", "either balancer or agent");
                None
            }
        }
    }

    fn key_ring(&mut self, raw: &raw::KeyRing) -> Option<KeyRing> {
        if raw.phases.len() > MAX_PHASES {
            let found = format!("{} phases", raw.phases.len());
            self.fault("keys.phases", found, "at most two phases");
            return None;
        }
        let mut phases: Vec<PhaseKeys> = Vec::new();
        for (index, phase) in raw.phases.iter().enumerate() {
            let keys = self.phase_keys(phase, &format!("keys.phases.{index}"))?;
            if phases.iter().any(|other| other.phase() == keys.phase()) {
                let path = format!("keys.phases.{index}.phase");
                self.fault(
                    &path,
                    phase.phase.to_string(),
                    "a number that no other phase has",
                );
                return None;
            }
            phases.push(keys);
        }
        let ring = KeyRing::new(phases, u8::try_from(raw.current_phase).ok()?);
        if ring.is_none() {
            let found = raw.current_phase.to_string();
            self.fault(
                "keys.current_phase",
                found,
                "the number of one of keys.phases",
            );
        }
        ring
    }

    fn phase_keys(&mut self, raw: &raw::KeyPhase, path: &str) -> Option<PhaseKeys> {
        let secret_path = format!("{path}.secret_hex");
        let text = self.text(
            raw.secret_hex.as_deref(),
            raw.secret_file.as_deref(),
            &secret_path,
        )?;
        let Some(secret) = decode_hex(text.trim()) else {
            self.fault(&secret_path, "other content", "64 hexadecimal digits");
            return None;
        };
        Some(PhaseKeys::new(u8::try_from(raw.phase).ok()?, &secret))
    }

    fn admin(&mut self, raw: &raw::Admin) -> Option<AdminSettings> {
        let token = self.text(
            raw.token.as_deref(),
            raw.token_file.as_deref(),
            "admin.token",
        )?;
        Some(AdminSettings {
            address: address(&raw.address)?,
            token: token.trim().into(),
        })
    }

    fn balancer(&mut self, raw: &raw::Balancer) -> Option<BalancerSettings> {
        let mut services: Vec<ServiceSettings> = Vec::new();
        for (index, service) in raw.services.iter().enumerate() {
            let resolved = ServiceSettings {
                name: service.name.as_str().into(),
                number: u16::try_from(service.number).ok()?,
                address: address(&service.address)?,
            };
            self.check_distinct(&services, &resolved, index);
            services.push(resolved);
        }
        services.sort_by_key(|service| service.number);
        Some(BalancerSettings {
            services,
            store: raw.store.as_ref().map(store),
            initial_policy_file: raw.initial_policy_file.as_ref().map(|file| self.path(file)),
        })
    }

    fn check_distinct(
        &mut self,
        others: &[ServiceSettings],
        service: &ServiceSettings,
        index: usize,
    ) {
        let path = format!("balancer.services.{index}");
        if others.iter().any(|other| other.number == service.number) {
            let place = format!("{path}.number");
            self.fault(
                &place,
                service.number.to_string(),
                "a number that no other service has",
            );
        }
        if others.iter().any(|other| other.name == service.name) {
            let place = format!("{path}.name");
            self.fault(
                &place,
                service.name.to_string(),
                "a name that no other service has",
            );
        }
    }

    fn agent(&mut self, raw: &raw::Agent, inner_address: &str) -> Option<AgentSettings> {
        if address(inner_address).is_some_and(|address| address.is_ipv6()) {
            self.fault(
                "inner_address",
                format!("{inner_address:?}"),
                "an IPv4 address for an agent",
            );
        }
        let tls = raw.tls.as_ref()?;
        let certificate = self.text(
            tls.certificate_pem.as_deref(),
            tls.certificate_file.as_deref(),
            "agent.tls.certificate_pem",
        );
        let private_key = self.text(
            tls.private_key_pem.as_deref(),
            tls.private_key_file.as_deref(),
            "agent.tls.private_key_pem",
        );
        let tls = match TlsIdentity::new(&certificate?, &private_key?) {
            Ok(identity) => identity,
            Err(fault) => {
                self.faults.push(fault);
                return None;
            }
        };
        Some(AgentSettings {
            service: raw.service.as_str().into(),
            service_number: u16::try_from(raw.service_number).ok()?,
            target_address: address(&raw.target_address)?,
            tls,
        })
    }

    /// Returns the inline text, or else the content of the file.
    fn text(&mut self, inline: Option<&str>, file: Option<&str>, path: &str) -> Option<String> {
        match (inline, file) {
            (Some(text), None) => Some(text.to_owned()),
            (None, Some(file)) => self.file_text(file, path),
            (Some(_), Some(_)) => {
                self.fault(path, "both the value and a file", "one of the two");
                None
            }
            (None, None) => {
                self.fault(
                    path,
                    "nothing",
                    "the value, or the same key ending in _file",
                );
                None
            }
        }
    }

    fn file_text(&mut self, file: &str, path: &str) -> Option<String> {
        match std::fs::read_to_string(self.path(file)) {
            Ok(text) => Some(text),
            Err(error) => {
                self.fault(
                    path,
                    format!("{file:?} ({error})"),
                    "a file that can be read",
                );
                None
            }
        }
    }

    fn path(&self, file: &str) -> PathBuf {
        self.folder.join(file)
    }

    /// Reports listeners that share an address; port 0 is always free.
    fn check_listeners(&mut self, raw: &raw::Settings) {
        let mut listeners = vec![("inner_address".to_owned(), raw.inner_address.as_str())];
        if let Some(admin) = &raw.admin {
            listeners.push(("admin.address".to_owned(), admin.address.as_str()));
        }
        let services = raw.balancer.iter().flat_map(|balancer| &balancer.services);
        for (index, service) in services.enumerate() {
            let path = format!("balancer.services.{index}.address");
            listeners.push((path, service.address.as_str()));
        }
        for (index, (path, text)) in listeners.iter().enumerate() {
            let shared = listeners[..index].iter().find(|(_, other)| other == text);
            if let Some((other, _)) = shared.filter(|_| !text.ends_with(":0")) {
                let expected = format!("an address other than that of {other}");
                self.faults.push(Fault::new(path, *text, expected));
            }
        }
    }
}

fn store(raw: &raw::Store) -> StoreSettings {
    StoreSettings {
        url: raw.url.trim_end_matches('/').into(),
        policy_key: Arc::from(raw.policy_key.as_deref().unwrap_or(DEFAULT_POLICY_KEY)),
        request_timeout_ms: raw.request_timeout_ms.unwrap_or(DEFAULT_REQUEST_TIMEOUT_MS),
        watch_timeout_ms: raw.watch_timeout_ms.unwrap_or(DEFAULT_WATCH_TIMEOUT_MS),
        watchers: raw.watchers.unwrap_or(DEFAULT_WATCHERS),
        lease_ttl_ms: raw.lease_ttl_ms.unwrap_or(DEFAULT_LEASE_TTL_MS),
    }
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn log_level(text: Option<&str>) -> slog::Level {
    match text {
        Some("debug") => slog::Level::Debug,
        Some("warning") => slog::Level::Warning,
        Some("error") => slog::Level::Error,
        _ => slog::Level::Info,
    }
}

fn decode_hex(text: &str) -> Option<[u8; SECRET_LEN]> {
    let mut secret = [0; SECRET_LEN];
    if text.len() != 2 * SECRET_LEN {
        return None;
    }
    for (index, byte) in secret.iter_mut().enumerate() {
        let digits = text.get(2 * index..2 * index + 2)?;
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(secret)
}
