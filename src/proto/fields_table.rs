//! Generated from `schema/` by xtask.

use super::{Field, Kind};

/// Fields of `bamboowind.settings.Settings`.
pub static SETTINGS_SETTINGS: &[Field] = &[
    Field { name: "name", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "region", kind: Kind::Text, repeated: false, required: false, default: "local" },
    Field { name: "failure_domain", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "inner_address", kind: Kind::Address, repeated: false, required: true, default: "" },
    Field { name: "peers", kind: Kind::Address, repeated: true, required: false, default: "" },
    Field { name: "keys", kind: Kind::Message(SETTINGS_KEY_RING), repeated: false, required: true, default: "" },
    Field { name: "admin", kind: Kind::Message(SETTINGS_ADMIN), repeated: false, required: false, default: "" },
    Field { name: "log_level", kind: Kind::Choice(&["debug", "info", "warning", "error"]), repeated: false, required: false, default: "info" },
    Field { name: "balancer", kind: Kind::Message(SETTINGS_BALANCER), repeated: false, required: false, default: "" },
    Field { name: "agent", kind: Kind::Message(SETTINGS_AGENT), repeated: false, required: false, default: "" },
];
/// Fields of `bamboowind.settings.KeyRing`.
pub static SETTINGS_KEY_RING: &[Field] = &[
    Field { name: "current_phase", kind: Kind::Integer(1, 255), repeated: false, required: true, default: "" },
    Field { name: "phases", kind: Kind::Message(SETTINGS_KEY_PHASE), repeated: true, required: true, default: "" },
];
/// Fields of `bamboowind.settings.KeyPhase`.
pub static SETTINGS_KEY_PHASE: &[Field] = &[
    Field { name: "phase", kind: Kind::Integer(1, 255), repeated: false, required: true, default: "" },
    Field { name: "secret_hex", kind: Kind::Hex32, repeated: false, required: false, default: "" },
    Field { name: "secret_file", kind: Kind::Text, repeated: false, required: false, default: "" },
];
/// Fields of `bamboowind.settings.Admin`.
pub static SETTINGS_ADMIN: &[Field] = &[
    Field { name: "address", kind: Kind::Address, repeated: false, required: true, default: "" },
    Field { name: "token", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "token_file", kind: Kind::Text, repeated: false, required: false, default: "" },
];
/// Fields of `bamboowind.settings.Balancer`.
pub static SETTINGS_BALANCER: &[Field] = &[
    Field { name: "services", kind: Kind::Message(SETTINGS_SERVICE), repeated: true, required: true, default: "" },
    Field { name: "store", kind: Kind::Message(SETTINGS_STORE), repeated: false, required: false, default: "" },
    Field { name: "initial_policy_file", kind: Kind::Text, repeated: false, required: false, default: "" },
];
/// Fields of `bamboowind.settings.Service`.
pub static SETTINGS_SERVICE: &[Field] = &[
    Field { name: "name", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "number", kind: Kind::Integer(1, 65535), repeated: false, required: true, default: "" },
    Field { name: "address", kind: Kind::Address, repeated: false, required: true, default: "" },
];
/// Fields of `bamboowind.settings.Store`.
pub static SETTINGS_STORE: &[Field] = &[
    Field { name: "url", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "policy_key", kind: Kind::Text, repeated: false, required: false, default: "bamboowind/policy" },
    Field { name: "request_timeout_ms", kind: Kind::Integer(50, 60000), repeated: false, required: false, default: "2000" },
    Field { name: "watch_timeout_ms", kind: Kind::Integer(100, 600000), repeated: false, required: false, default: "30000" },
    Field { name: "watchers", kind: Kind::Integer(1, 16), repeated: false, required: false, default: "2" },
    Field { name: "lease_ttl_ms", kind: Kind::Integer(10000, 86400000), repeated: false, required: false, default: "15000" },
];
/// Fields of `bamboowind.settings.Agent`.
pub static SETTINGS_AGENT: &[Field] = &[
    Field { name: "service", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "service_number", kind: Kind::Integer(1, 65535), repeated: false, required: true, default: "" },
    Field { name: "target_address", kind: Kind::Address, repeated: false, required: true, default: "" },
    Field { name: "tls", kind: Kind::Message(SETTINGS_TLS), repeated: false, required: true, default: "" },
];
/// Fields of `bamboowind.settings.Tls`.
pub static SETTINGS_TLS: &[Field] = &[
    Field { name: "certificate_pem", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "certificate_file", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "private_key_pem", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "private_key_file", kind: Kind::Text, repeated: false, required: false, default: "" },
];
/// Fields of `bamboowind.policy.Policy`.
pub static POLICY_POLICY: &[Field] = &[
    Field { name: "version", kind: Kind::Integer(0, u64::MAX), repeated: false, required: false, default: "0" },
    Field { name: "change_id", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "defaults", kind: Kind::Message(POLICY_LIMITS), repeated: false, required: false, default: "" },
    Field { name: "classes", kind: Kind::Message(POLICY_CLASS), repeated: true, required: false, default: "" },
    Field { name: "rules", kind: Kind::Message(POLICY_RULE), repeated: true, required: false, default: "" },
    Field { name: "exceptions", kind: Kind::Message(POLICY_EXCEPTION), repeated: true, required: false, default: "" },
    Field { name: "history", kind: Kind::Message(POLICY_CHANGE), repeated: true, required: false, default: "" },
    Field { name: "caller_groups", kind: Kind::Message(POLICY_CALLER_GROUP), repeated: true, required: false, default: "" },
];
/// Fields of `bamboowind.policy.Limits`.
pub static POLICY_LIMITS: &[Field] = &[
    Field { name: "slots", kind: Kind::Integer(1, 100000), repeated: false, required: false, default: "5" },
    Field { name: "connections", kind: Kind::Integer(1, 1000000), repeated: false, required: false, default: "2000" },
    Field { name: "long_streams", kind: Kind::Integer(0, 1000000), repeated: false, required: false, default: "2000" },
    Field { name: "queue_length", kind: Kind::Integer(0, 100000), repeated: false, required: false, default: "64" },
    Field { name: "queue_timeout_ms", kind: Kind::Integer(0, 600000), repeated: false, required: false, default: "500" },
    Field { name: "response_timeout_ms", kind: Kind::Integer(10, 3600000), repeated: false, required: false, default: "30000" },
    Field { name: "drain_timeout_ms", kind: Kind::Integer(0, 604800000), repeated: false, required: false, default: "3600000" },
    Field { name: "outcome_retention_ms", kind: Kind::Integer(1000, 86400000), repeated: false, required: false, default: "600000" },
];
/// Fields of `bamboowind.policy.Class`.
pub static POLICY_CLASS: &[Field] = &[
    Field { name: "name", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "weight", kind: Kind::Integer(1, 1000), repeated: false, required: true, default: "" },
];
/// Fields of `bamboowind.policy.CallerGroup`.
pub static POLICY_CALLER_GROUP: &[Field] = &[
    Field { name: "name", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "network", kind: Kind::Network, repeated: false, required: true, default: "" },
];
/// Fields of `bamboowind.policy.Rule`.
pub static POLICY_RULE: &[Field] = &[
    Field { name: "service", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "path_prefix", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "method", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "class", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "long_stream", kind: Kind::Bool, repeated: false, required: false, default: "false" },
];
/// Fields of `bamboowind.policy.Exception`.
pub static POLICY_EXCEPTION: &[Field] = &[
    Field { name: "name", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "reason", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "service", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "failure_domain", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "host", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "limits", kind: Kind::Message(POLICY_LIMITS), repeated: false, required: true, default: "" },
];
/// Fields of `bamboowind.policy.Change`.
pub static POLICY_CHANGE: &[Field] = &[
    Field { name: "version", kind: Kind::Integer(0, u64::MAX), repeated: false, required: false, default: "" },
    Field { name: "change_id", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "operator", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "changed_at_ms", kind: Kind::Integer(0, u64::MAX), repeated: false, required: false, default: "" },
    Field { name: "summary", kind: Kind::Text, repeated: false, required: false, default: "" },
];
/// Fields of `bamboowind.policy.ChangeRequest`.
pub static POLICY_CHANGE_REQUEST: &[Field] = &[
    Field { name: "change_id", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "operator", kind: Kind::Text, repeated: false, required: true, default: "" },
    Field { name: "base_version", kind: Kind::Integer(0, u64::MAX), repeated: false, required: false, default: "" },
    Field { name: "set_defaults", kind: Kind::Message(POLICY_LIMITS), repeated: false, required: false, default: "" },
    Field { name: "put_exception", kind: Kind::Message(POLICY_EXCEPTION), repeated: false, required: false, default: "" },
    Field { name: "remove_exception", kind: Kind::Text, repeated: false, required: false, default: "" },
    Field { name: "replace", kind: Kind::Message(POLICY_POLICY), repeated: false, required: false, default: "" },
];
