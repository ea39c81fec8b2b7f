//! Conversion of validated raw settings into [`Settings`].

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
};

use super::{
    AdminSettings, AgentSettings, BalancerSettings, Role, ServiceSettings, Settings, StoreSettings,
    TlsIdentity, check::ValidationError,
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
/// Number of key phases needed for a rotation: the old one and the new one.
const MAX_PHASES: usize = 2;

/// Resolves settings and collects the errors found on the way.
struct Resolver<'a> {
    /// Directory against which relative paths are resolved.
    base_dir: &'a Path,
    errors: Vec<ValidationError>,
}

/// Resolves validated settings, or returns all errors found.
pub(super) fn resolve(
    raw: &raw::Settings,
    base_dir: &Path,
) -> Result<Settings, Vec<ValidationError>> {
    let mut resolver = Resolver {
        base_dir,
        errors: Vec::new(),
    };
    let settings = resolver.settings(raw);
    match settings {
        Some(settings) if resolver.errors.is_empty() => Ok(settings),
        _ => Err(resolver.errors),
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
            inner_address: parse_address(&raw.inner_address)?,
            peers: raw
                .peers
                .iter()
                .filter_map(|text| parse_address(text))
                .collect(),
            keys: SharedKeyRing::new(keys?),
            admin: match admin {
                Some(admin) => Some(admin?),
                None => None,
            },
            log_level: parse_log_level(raw.log_level.as_deref()),
            role: role?,
        })
    }

    /// Records a validation error.
    fn report(&mut self, path: &str, value: impl Into<String>, expected: &str) {
        self.errors
            .push(ValidationError::new(path, value, expected));
    }

    fn role(&mut self, raw: &raw::Settings) -> Option<Role> {
        match (&raw.balancer, &raw.agent) {
            (Some(balancer), None) => self.balancer(balancer).map(Role::Balancer),
            (None, Some(agent)) => self.agent(agent, &raw.inner_address).map(Role::Agent),
            (Some(_), Some(_)) => {
                self.report(
                    "agent",
                    "both balancer and agent",
                    "either balancer or agent",
                );
                None
            }
            (None, None) => {
                self.report("balancer", "nothing", "either balancer or agent");
                None
            }
        }
    }

    fn key_ring(&mut self, raw: &raw::KeyRing) -> Option<KeyRing> {
        if raw.phases.len() > MAX_PHASES {
            let found = format!("{} phases", raw.phases.len());
            self.report("keys.phases", found, "at most two phases");
            return None;
        }
        let mut phases: Vec<PhaseKeys> = Vec::new();
        for (index, phase) in raw.phases.iter().enumerate() {
            let keys = self.phase_keys(phase, &format!("keys.phases.{index}"))?;
            if phases.iter().any(|other| other.phase() == keys.phase()) {
                let path = format!("keys.phases.{index}.phase");
                self.report(&path, phase.phase.to_string(), "a unique phase number");
                return None;
            }
            phases.push(keys);
        }
        let ring = KeyRing::new(phases, u8::try_from(raw.current_phase).ok()?);
        if ring.is_none() {
            let found = raw.current_phase.to_string();
            self.report(
                "keys.current_phase",
                found,
                "the phase number of an entry in keys.phases",
            );
        }
        ring
    }

    fn phase_keys(&mut self, raw: &raw::KeyPhase, path: &str) -> Option<PhaseKeys> {
        let secret_path = format!("{path}.secret_hex");
        let text = self.inline_or_file(
            raw.secret_hex.as_deref(),
            raw.secret_file.as_deref(),
            &secret_path,
        )?;
        let Some(secret) = decode_hex(text.trim()) else {
            self.report(&secret_path, "malformed content", "64 hexadecimal digits");
            return None;
        };
        Some(PhaseKeys::new(u8::try_from(raw.phase).ok()?, &secret))
    }

    fn admin(&mut self, raw: &raw::Admin) -> Option<AdminSettings> {
        let token = self.inline_or_file(
            raw.token.as_deref(),
            raw.token_file.as_deref(),
            "admin.token",
        )?;
        Some(AdminSettings {
            address: parse_address(&raw.address)?,
            token: token.trim().into(),
        })
    }

    fn balancer(&mut self, raw: &raw::Balancer) -> Option<BalancerSettings> {
        let mut services: Vec<ServiceSettings> = Vec::new();
        for (index, service) in raw.services.iter().enumerate() {
            let resolved = ServiceSettings {
                name: service.name.as_str().into(),
                number: u16::try_from(service.number).ok()?,
                address: parse_address(&service.address)?,
            };
            self.check_unique(&services, &resolved, index);
            services.push(resolved);
        }
        services.sort_by_key(|service| service.number);
        Some(BalancerSettings {
            services,
            store: raw.store.as_ref().map(store_settings),
            initial_policy_file: raw
                .initial_policy_file
                .as_ref()
                .map(|file| self.resolve_path(file)),
        })
    }

    /// Reports a service whose number or name is already used.
    fn check_unique(
        &mut self,
        others: &[ServiceSettings],
        service: &ServiceSettings,
        index: usize,
    ) {
        let path = format!("balancer.services.{index}");
        if others.iter().any(|other| other.number == service.number) {
            let field_path = format!("{path}.number");
            self.report(
                &field_path,
                service.number.to_string(),
                "a unique service number",
            );
        }
        if others.iter().any(|other| other.name == service.name) {
            let field_path = format!("{path}.name");
            self.report(
                &field_path,
                service.name.to_string(),
                "a unique service name",
            );
        }
    }

    fn agent(&mut self, raw: &raw::Agent, inner_address: &str) -> Option<AgentSettings> {
        if parse_address(inner_address).is_some_and(|address| address.is_ipv6()) {
            self.report(
                "inner_address",
                format!("{inner_address:?}"),
                "an IPv4 address for an agent",
            );
        }
        let tls = raw.tls.as_ref()?;
        let certificate = self.inline_or_file(
            tls.certificate_pem.as_deref(),
            tls.certificate_file.as_deref(),
            "agent.tls.certificate_pem",
        );
        let private_key = self.inline_or_file(
            tls.private_key_pem.as_deref(),
            tls.private_key_file.as_deref(),
            "agent.tls.private_key_pem",
        );
        let tls = match TlsIdentity::new(&certificate?, &private_key?) {
            Ok(identity) => identity,
            Err(error) => {
                self.errors.push(error);
                return None;
            }
        };
        Some(AgentSettings {
            service: raw.service.as_str().into(),
            service_number: u16::try_from(raw.service_number).ok()?,
            target_address: parse_address(&raw.target_address)?,
            tls,
        })
    }

    /// Returns the inline value, or else the contents of the file.
    fn inline_or_file(
        &mut self,
        inline: Option<&str>,
        file: Option<&str>,
        path: &str,
    ) -> Option<String> {
        match (inline, file) {
            (Some(text), None) => Some(text.to_owned()),
            (None, Some(file)) => self.read_file(file, path),
            (Some(_), Some(_)) => {
                self.report(path, "both the value and a file", "only one of them");
                None
            }
            (None, None) => {
                self.report(
                    path,
                    "nothing",
                    "a value, or the same key with the suffix _file",
                );
                None
            }
        }
    }

    fn read_file(&mut self, file: &str, path: &str) -> Option<String> {
        match std::fs::read_to_string(self.resolve_path(file)) {
            Ok(text) => Some(text),
            Err(error) => {
                self.report(path, format!("{file:?} ({error})"), "a readable file");
                None
            }
        }
    }

    fn resolve_path(&self, file: &str) -> PathBuf {
        self.base_dir.join(file)
    }

    /// Reports listeners with the same address. Port 0 is exempt, because the system then assigns a
    /// free port.
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
                let expected = format!("an address different from {other}");
                self.errors
                    .push(ValidationError::new(path, *text, expected));
            }
        }
    }
}

fn store_settings(raw: &raw::Store) -> StoreSettings {
    StoreSettings {
        url: raw.url.trim_end_matches('/').into(),
        policy_key: Arc::from(raw.policy_key.as_deref().unwrap_or(DEFAULT_POLICY_KEY)),
        request_timeout_ms: raw.request_timeout_ms.unwrap_or(DEFAULT_REQUEST_TIMEOUT_MS),
        watch_timeout_ms: raw.watch_timeout_ms.unwrap_or(DEFAULT_WATCH_TIMEOUT_MS),
        watchers: raw.watchers.unwrap_or(DEFAULT_WATCHERS),
        lease_ttl_ms: raw.lease_ttl_ms.unwrap_or(DEFAULT_LEASE_TTL_MS),
    }
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn parse_log_level(text: Option<&str>) -> slog::Level {
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
