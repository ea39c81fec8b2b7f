//! Decisions on the operators' policy: validity, effective limits, classes and changes.

use std::{net::IpAddr, sync::Arc};

use ipnet::IpNet;

use crate::{
    proto::{
        fields_table::POLICY_POLICY,
        policy::{CallerGroup, Change, ChangeRequest, Class, Exception, Limits, Policy, Rule},
    },
    settings::check::{self, Fault},
};

/// Number of changes that a policy remembers.
pub const HISTORY_LEN: usize = 50;
/// Largest encoded policy, in bytes; the store's values are at most one megabyte.
pub const MAX_POLICY_LEN: usize = 1_000_000;
/// Class of requests that no rule matches.
pub const DEFAULT_CLASS: &str = "normal";

const DEFAULT_SLOTS: u32 = 5;
const DEFAULT_CONNECTIONS: u32 = 2_000;
const DEFAULT_LONG_STREAMS: u32 = 2_000;
const DEFAULT_QUEUE_LENGTH: u32 = 64;
const DEFAULT_QUEUE_TIMEOUT_MS: u64 = 500;
const DEFAULT_RESPONSE_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 3_600_000;
/// How long outcomes are kept unless the policy says otherwise.
pub const DEFAULT_OUTCOME_RETENTION_MS: u64 = 600_000;

/// The host that limits are asked for.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Failure domain of the host.
    pub failure_domain: &'a str,
    /// Name of the host.
    pub host: &'a str,
}

/// Limits with every value given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EffectiveLimits {
    /// Requests that run on the target at once.
    pub slots: u32,
    /// Connections that callers may hold open.
    pub connections: u32,
    /// Long streams that run beside the slots.
    pub long_streams: u32,
    /// Requests of one class that may wait for a slot.
    pub queue_length: u32,
    /// How long a request may wait for a slot.
    pub queue_timeout_ms: u64,
    /// How long a target may take to produce the head of its answer.
    pub response_timeout_ms: u64,
    /// How long a drain waits for streams to finish.
    pub drain_timeout_ms: u64,
    /// How long the outcome of a non-idempotent request is kept.
    pub outcome_retention_ms: u64,
}

/// What the rules say of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Classification {
    /// Name of the class.
    pub class: Arc<str>,
    /// Whether the request counts against long streams instead of slots.
    pub long_stream: bool,
}

/// Why a change is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeRefusal {
    /// The policy that would result has faults.
    Faulty(Vec<Fault>),
    /// The exception to remove does not exist.
    NoSuchException(String),
    /// The request does not say what to change.
    Empty,
}

/// The policy before any operator has set one.
#[must_use]
pub fn initial() -> Policy {
    let class = |name: &str, weight| Class {
        name: name.to_owned(),
        weight,
    };
    Policy {
        defaults: Some(Limits::default()),
        classes: vec![
            class("urgent", 4),
            class(DEFAULT_CLASS, 2),
            class("bulk", 1),
        ],
        ..Policy::default()
    }
}

/// Parses a policy from YAML and returns every fault of it.
///
/// ```
/// use bamboowind::control::policy::parse;
///
/// let faults = parse("exceptions: [{name: slow-disk, limits: {slots: 2}}]").unwrap_err();
/// assert_eq!(faults[0].path, "exceptions.0.reason");
/// ```
///
/// # Errors
///
/// Returns the faults when there are any.
pub fn parse(text: &str) -> Result<Policy, Vec<Fault>> {
    let not_yaml = |error: serde_yaml_ng::Error| {
        vec![Fault::new(
            "(document)",
            error.to_string(),
            "YAML that can be parsed",
        )]
    };
    let document = serde_yaml_ng::from_str(text).map_err(not_yaml)?;
    let faults = check::faults(&document, POLICY_POLICY);
    if !faults.is_empty() {
        return Err(faults);
    }
    let policy = serde_yaml_ng::from_value(document).map_err(not_yaml)?;
    let faults = semantic_faults(&policy);
    if faults.is_empty() {
        Ok(policy)
    } else {
        Err(faults)
    }
}

/// Returns every fault of a policy.
#[must_use]
pub fn faults(policy: &Policy) -> Vec<Fault> {
    let document = serde_yaml_ng::to_value(policy).unwrap_or_default();
    let mut faults = check::faults(&document, POLICY_POLICY);
    faults.extend(semantic_faults(policy));
    let encoded_len = encode(policy).len();
    if encoded_len > MAX_POLICY_LEN {
        let found = format!("{encoded_len} bytes");
        faults.push(Fault::new("(document)", found, "at most one megabyte"));
    }
    faults
}

/// Encodes a policy as the JSON that the store and the peers carry.
#[must_use]
pub fn encode(policy: &Policy) -> Vec<u8> {
    serde_json::to_vec(policy).unwrap_or_default()
}

/// Decodes a policy from JSON; returns `None` when it has faults.
#[must_use]
pub fn decode(json: &[u8]) -> Option<Policy> {
    let policy: Policy = serde_json::from_slice(json).ok()?;
    faults(&policy).is_empty().then_some(policy)
}

/// Limits of one host: the defaults, overlaid by the exceptions that match, in order.
#[must_use]
pub fn effective_limits(policy: &Policy, scope: Scope<'_>) -> EffectiveLimits {
    let mut limits = policy.defaults.unwrap_or_default();
    for exception in policy
        .exceptions
        .iter()
        .filter(|entry| matches(entry, scope))
    {
        limits = overlay(limits, exception.limits.unwrap_or_default());
    }
    EffectiveLimits {
        slots: limits.slots.unwrap_or(DEFAULT_SLOTS),
        connections: limits.connections.unwrap_or(DEFAULT_CONNECTIONS),
        long_streams: limits.long_streams.unwrap_or(DEFAULT_LONG_STREAMS),
        queue_length: limits.queue_length.unwrap_or(DEFAULT_QUEUE_LENGTH),
        queue_timeout_ms: limits.queue_timeout_ms.unwrap_or(DEFAULT_QUEUE_TIMEOUT_MS),
        response_timeout_ms: limits
            .response_timeout_ms
            .unwrap_or(DEFAULT_RESPONSE_TIMEOUT_MS),
        drain_timeout_ms: limits.drain_timeout_ms.unwrap_or(DEFAULT_DRAIN_TIMEOUT_MS),
        outcome_retention_ms: limits
            .outcome_retention_ms
            .unwrap_or(DEFAULT_OUTCOME_RETENTION_MS),
    }
}

/// Class of a request: the first rule that matches, or else the default class.
#[must_use]
pub fn classify(policy: &Policy, service: &str, method: &str, path: &str) -> Classification {
    let is_match = |rule: &&Rule| {
        rule.service.as_deref().is_none_or(|name| name == service)
            && rule.method.as_deref().is_none_or(|name| name == method)
            && rule
                .path_prefix
                .as_deref()
                .is_none_or(|prefix| path.starts_with(prefix))
    };
    match policy.rules.iter().find(is_match) {
        Some(rule) => Classification {
            class: rule.class.as_str().into(),
            long_stream: rule.long_stream.unwrap_or(false),
        },
        None => Classification {
            class: DEFAULT_CLASS.into(),
            long_stream: false,
        },
    }
}

/// Group that a caller's address belongs to; `None` when no group matches.
#[must_use]
pub fn caller_group(policy: &Policy, caller: IpAddr) -> Option<&str> {
    let is_member = |group: &&CallerGroup| {
        let network: Option<IpNet> = group.network.parse().ok();
        network.is_some_and(|network| network.contains(&caller))
    };
    let group = policy.caller_groups.iter().find(is_member)?;
    Some(&group.name)
}

/// Applies a change to a policy and returns the next version.
///
/// # Errors
///
/// Returns why the change is refused.
pub fn apply(
    policy: &Policy,
    request: &ChangeRequest,
    changed_at_ms: u64,
) -> Result<Policy, ChangeRefusal> {
    let (mut next, summary) = changed(policy, request)?;
    next.version = policy.version + 1;
    next.change_id.clone_from(&request.change_id);
    next.history.clone_from(&policy.history);
    next.history.push(Change {
        version: next.version,
        change_id: request.change_id.clone(),
        operator: request.operator.clone(),
        changed_at_ms,
        summary,
    });
    let surplus = next.history.len().saturating_sub(HISTORY_LEN);
    next.history.drain(..surplus);
    let faults = faults(&next);
    if faults.is_empty() {
        Ok(next)
    } else {
        Err(ChangeRefusal::Faulty(faults))
    }
}

fn changed(policy: &Policy, request: &ChangeRequest) -> Result<(Policy, String), ChangeRefusal> {
    let mut next = policy.clone();
    if let Some(limits) = request.set_defaults {
        next.defaults = Some(overlay(policy.defaults.unwrap_or_default(), limits));
        return Ok((next, format!("set defaults {}", limits_summary(limits))));
    }
    if let Some(exception) = &request.put_exception {
        next.exceptions.retain(|entry| entry.name != exception.name);
        next.exceptions.push(exception.clone());
        return Ok((
            next,
            format!("exception {}: {}", exception.name, exception.reason),
        ));
    }
    if let Some(name) = &request.remove_exception {
        next.exceptions.retain(|entry| entry.name != *name);
        if next.exceptions.len() == policy.exceptions.len() {
            return Err(ChangeRefusal::NoSuchException(name.clone()));
        }
        return Ok((next, format!("removed exception {name}")));
    }
    match &request.replace {
        Some(replacement) => Ok((replacement.clone(), "replaced the policy".to_owned())),
        None => Err(ChangeRefusal::Empty),
    }
}

fn limits_summary(limits: Limits) -> String {
    serde_json::to_string(&limits).unwrap_or_default()
}

fn matches(exception: &Exception, scope: Scope<'_>) -> bool {
    let is_match =
        |wanted: &Option<String>, actual: &str| wanted.as_deref().is_none_or(|name| name == actual);
    is_match(&exception.service, scope.service)
        && is_match(&exception.failure_domain, scope.failure_domain)
        && is_match(&exception.host, scope.host)
}

fn overlay(base: Limits, over: Limits) -> Limits {
    Limits {
        slots: over.slots.or(base.slots),
        connections: over.connections.or(base.connections),
        long_streams: over.long_streams.or(base.long_streams),
        queue_length: over.queue_length.or(base.queue_length),
        queue_timeout_ms: over.queue_timeout_ms.or(base.queue_timeout_ms),
        response_timeout_ms: over.response_timeout_ms.or(base.response_timeout_ms),
        drain_timeout_ms: over.drain_timeout_ms.or(base.drain_timeout_ms),
        outcome_retention_ms: over.outcome_retention_ms.or(base.outcome_retention_ms),
    }
}

fn semantic_faults(policy: &Policy) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, exception) in policy.exceptions.iter().enumerate() {
        let path = format!("exceptions.{index}");
        if policy.exceptions[..index]
            .iter()
            .any(|other| other.name == exception.name)
        {
            let found = format!("{:?}", exception.name);
            faults.push(Fault::new(
                format!("{path}.name"),
                found,
                "a name used once",
            ));
        }
        let is_scoped = exception.service.is_some()
            || exception.failure_domain.is_some()
            || exception.host.is_some();
        if !is_scoped {
            faults.push(Fault::new(
                path,
                "no scope",
                "a service, failure_domain or host",
            ));
        }
    }
    for (index, class) in policy.classes.iter().enumerate() {
        if policy.classes[..index]
            .iter()
            .any(|other| other.name == class.name)
        {
            let found = format!("{:?}", class.name);
            faults.push(Fault::new(
                format!("classes.{index}.name"),
                found,
                "a name used once",
            ));
        }
    }
    for (index, rule) in policy.rules.iter().enumerate() {
        if !policy.classes.iter().any(|class| class.name == rule.class) {
            let found = format!("{:?}", rule.class);
            faults.push(Fault::new(
                format!("rules.{index}.class"),
                found,
                "the name of a class",
            ));
        }
    }
    faults
}
