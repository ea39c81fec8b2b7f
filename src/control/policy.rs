//! Operator policy: validation, encoding, effective limits, request classes and changes.

use std::{net::IpAddr, sync::Arc};

use ipnet::IpNet;

use crate::{
    proto::{
        fields_table::POLICY_POLICY,
        policy::{CallerGroup, Change, ChangeRequest, Class, Exception, Limits, Policy, Rule},
    },
    settings::check::{self, ValidationError},
};

/// Number of recent changes kept in a policy.
pub const MAX_HISTORY_LEN: usize = 50;
/// Maximum length of an encoded policy, in bytes; the store limits values to one megabyte.
pub const MAX_POLICY_LEN: usize = 1_000_000;
/// Class of requests that match no rule.
pub const DEFAULT_CLASS: &str = "normal";

// Limits that apply where neither the defaults nor an exception of the policy sets a value.
const DEFAULT_SLOTS: u32 = 5;
const DEFAULT_CONNECTIONS: u32 = 2_000;
const DEFAULT_LONG_STREAMS: u32 = 2_000;
const DEFAULT_QUEUE_LENGTH: u32 = 64;
const DEFAULT_QUEUE_TIMEOUT_MS: u64 = 500;
const DEFAULT_RESPONSE_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 3_600_000;
/// Retention of request outcomes unless the policy sets another, in milliseconds.
pub const DEFAULT_OUTCOME_RETENTION_MS: u64 = 600_000;

/// Host for which limits are computed.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// Name of the service that the host runs.
    pub service: &'a str,
    /// Failure domain of the host.
    pub failure_domain: &'a str,
    /// Name of the host.
    pub host: &'a str,
}

/// Limits of a host with all defaults applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EffectiveLimits {
    /// Maximum number of requests that run on the target concurrently.
    pub slots: u32,
    /// Maximum number of open connections from callers.
    pub connections: u32,
    /// Maximum number of concurrent long streams, which do not occupy slots.
    pub long_streams: u32,
    /// Maximum number of requests per class that wait for a slot.
    pub queue_length: u32,
    /// Maximum time that a request waits for a slot, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Maximum time until the target returns the response head, in milliseconds.
    pub response_timeout_ms: u64,
    /// Maximum time that a drain waits for open streams, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Time for which the outcome of a non-idempotent request is kept, in milliseconds.
    pub outcome_retention_ms: u64,
}

/// Classification of a request by the rules.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Classification {
    /// Name of the class.
    pub class: Arc<str>,
    /// Whether the request counts towards `long_streams` instead of `slots`.
    pub long_stream: bool,
}

/// Reason why a change is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeError {
    /// The resulting policy would be invalid.
    Invalid(Vec<ValidationError>),
    /// No exception has the name to be removed.
    ExceptionNotFound(String),
    /// The request contains no change.
    Empty,
}

/// Returns the policy that applies until an operator sets one; its version is zero.
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

/// Parses and validates a policy in YAML.
///
/// ```
/// use bamboowind::control::policy::parse;
///
/// let errors = parse("exceptions: [{name: slow-disk, limits: {slots: 2}}]").unwrap_err();
/// assert_eq!(errors[0].path, "exceptions.0.reason");
/// ```
///
/// # Errors
///
/// Returns all validation errors.
pub fn parse(text: &str) -> Result<Policy, Vec<ValidationError>> {
    let yaml_error = |error: serde_yaml_ng::Error| {
        vec![ValidationError::new(
            "(document)",
            error.to_string(),
            "valid YAML",
        )]
    };
    let document = serde_yaml_ng::from_str(text).map_err(yaml_error)?;
    let errors = check::validate(&document, POLICY_POLICY);
    if !errors.is_empty() {
        return Err(errors);
    }
    let policy = serde_yaml_ng::from_value(document).map_err(yaml_error)?;
    let errors = validate_references(&policy);
    if errors.is_empty() {
        Ok(policy)
    } else {
        Err(errors)
    }
}

/// Validates a policy and returns all errors.
///
/// The administration API returns the texts of these errors, so they are part of its interface.
#[must_use]
pub fn validate(policy: &Policy) -> Vec<ValidationError> {
    let document = serde_yaml_ng::to_value(policy).unwrap_or_default();
    let mut errors = check::validate(&document, POLICY_POLICY);
    errors.extend(validate_references(policy));
    let encoded_len = encode(policy).len();
    if encoded_len > MAX_POLICY_LEN {
        let found = format!("{encoded_len} bytes");
        errors.push(ValidationError::new(
            "(document)",
            found,
            "at most one megabyte",
        ));
    }
    errors
}

/// Encodes a policy as JSON, the format used in the store and between processes.
#[must_use]
pub fn encode(policy: &Policy) -> Vec<u8> {
    serde_json::to_vec(policy).unwrap_or_default()
}

/// Decodes a policy from JSON. Returns `None` if the JSON or the policy is invalid.
#[must_use]
pub fn decode(json: &[u8]) -> Option<Policy> {
    let policy: Policy = serde_json::from_slice(json).ok()?;
    validate(&policy).is_empty().then_some(policy)
}

/// Computes the limits of a host: the defaults, overridden by each matching exception in order.
#[must_use]
pub fn effective_limits(policy: &Policy, scope: Scope<'_>) -> EffectiveLimits {
    let mut limits = policy.defaults.unwrap_or_default();
    for exception in policy
        .exceptions
        .iter()
        .filter(|entry| exception_matches(entry, scope))
    {
        limits = merge_limits(limits, exception.limits.unwrap_or_default());
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

/// Classifies a request by the first matching rule, or as [`DEFAULT_CLASS`] if none matches.
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

/// Returns the first group whose network contains the caller's address.
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
/// Returns the reason why the change is refused.
pub fn apply(
    policy: &Policy,
    request: &ChangeRequest,
    changed_at_ms: u64,
) -> Result<Policy, ChangeError> {
    let (mut next, summary) = build_change(policy, request)?;
    next.version = policy.version + 1;
    next.change_id.clone_from(&request.change_id);
    next.history.clone_from(&policy.history);
    let change = Change {
        version: next.version,
        change_id: request.change_id.clone(),
        operator: request.operator.clone(),
        changed_at_ms,
        summary,
    };
    push_change(&mut next.history, change);
    let errors = validate(&next);
    if errors.is_empty() {
        Ok(next)
    } else {
        Err(ChangeError::Invalid(errors))
    }
}

/// Adds a change to a history and removes the oldest ones beyond [`MAX_HISTORY_LEN`].
pub(super) fn push_change(history: &mut Vec<Change>, change: Change) {
    history.push(change);
    let excess = history.len().saturating_sub(MAX_HISTORY_LEN);
    history.drain(..excess);
}

/// Returns the policy with the requested change and a summary for the history.
fn build_change(policy: &Policy, request: &ChangeRequest) -> Result<(Policy, String), ChangeError> {
    let mut next = policy.clone();
    if let Some(limits) = request.set_defaults {
        next.defaults = Some(merge_limits(policy.defaults.unwrap_or_default(), limits));
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
            return Err(ChangeError::ExceptionNotFound(name.clone()));
        }
        return Ok((next, format!("removed exception {name}")));
    }
    match &request.replace {
        Some(replacement) => Ok((replacement.clone(), "replaced the policy".to_owned())),
        None => Err(ChangeError::Empty),
    }
}

fn limits_summary(limits: Limits) -> String {
    serde_json::to_string(&limits).unwrap_or_default()
}

/// Returns whether an exception applies to a host; fields that are not set match any host.
fn exception_matches(exception: &Exception, scope: Scope<'_>) -> bool {
    let is_match = |expected: &Option<String>, actual: &str| {
        expected.as_deref().is_none_or(|name| name == actual)
    };
    is_match(&exception.service, scope.service)
        && is_match(&exception.failure_domain, scope.failure_domain)
        && is_match(&exception.host, scope.host)
}

/// Overrides the limits in `base` with those set in `overrides`.
fn merge_limits(base: Limits, overrides: Limits) -> Limits {
    Limits {
        slots: overrides.slots.or(base.slots),
        connections: overrides.connections.or(base.connections),
        long_streams: overrides.long_streams.or(base.long_streams),
        queue_length: overrides.queue_length.or(base.queue_length),
        queue_timeout_ms: overrides.queue_timeout_ms.or(base.queue_timeout_ms),
        response_timeout_ms: overrides.response_timeout_ms.or(base.response_timeout_ms),
        drain_timeout_ms: overrides.drain_timeout_ms.or(base.drain_timeout_ms),
        outcome_retention_ms: overrides.outcome_retention_ms.or(base.outcome_retention_ms),
    }
}

/// Checks what the field tables cannot express: unique names, scoped exceptions and known classes.
fn validate_references(policy: &Policy) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for (index, exception) in policy.exceptions.iter().enumerate() {
        let path = format!("exceptions.{index}");
        if policy.exceptions[..index]
            .iter()
            .any(|other| other.name == exception.name)
        {
            let found = format!("{:?}", exception.name);
            errors.push(ValidationError::new(
                format!("{path}.name"),
                found,
                "a name used once",
            ));
        }
        let is_scoped = exception.service.is_some()
            || exception.failure_domain.is_some()
            || exception.host.is_some();
        if !is_scoped {
            errors.push(ValidationError::new(
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
            errors.push(ValidationError::new(
                format!("classes.{index}.name"),
                found,
                "a name used once",
            ));
        }
    }
    for (index, rule) in policy.rules.iter().enumerate() {
        if !policy.classes.iter().any(|class| class.name == rule.class) {
            let found = format!("{:?}", rule.class);
            errors.push(ValidationError::new(
                format!("rules.{index}.class"),
                found,
                "the name of a class",
            ));
        }
    }
    errors
}
