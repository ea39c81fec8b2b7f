//! Checks a YAML document against the field tables and reports every fault at once.

use std::{fmt, net::SocketAddr};

use ipnet::IpNet;
use serde_yaml_ng::{Mapping, Value};

use crate::proto::{Field, Kind};

/// Number of hexadecimal digits of a 32-byte secret.
const HEX32_LEN: usize = 64;

/// One fault of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Where the fault is, as keys and indexes joined by dots.
    pub path: String,
    /// The value that was found.
    pub value: String,
    /// What was expected instead.
    pub expected: String,
}

impl Fault {
    /// Describes one fault.
    pub fn new(
        path: impl Into<String>,
        value: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            value: value.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            path,
            value,
            expected,
        } = self;
        write!(formatter, "{path}: found {value}; expected {expected}")
    }
}

/// Returns every fault of `document` against the fields that it may have.
///
/// ```
/// use bamboowind::proto::fields_table::POLICY_LIMITS;
/// use bamboowind::settings::check::faults;
///
/// let document = serde_yaml_ng::from_str("drain_timeout_s: 5").unwrap();
/// let found = faults(&document, POLICY_LIMITS);
/// assert_eq!(found[0].to_string(),
///     "drain_timeout_s: found an unknown key; expected drain_timeout_ms");
/// ```
#[must_use]
pub fn faults(document: &Value, fields: &'static [Field]) -> Vec<Fault> {
    let mut found = Vec::new();
    check_message(document, fields, "", &mut found);
    found
}

fn check_message(value: &Value, fields: &'static [Field], path: &str, found: &mut Vec<Fault>) {
    let empty = Mapping::new();
    let mapping = match value {
        Value::Mapping(mapping) => mapping,
        Value::Null => &empty,
        other => {
            found.push(Fault::new(
                shown(path),
                describe(other),
                "a mapping of keys to values",
            ));
            return;
        }
    };
    for (key, entry) in mapping {
        let name = key.as_str().unwrap_or_default();
        let place = join(path, name);
        match fields.iter().find(|field| field.name == name) {
            Some(field) => check_field(entry, field, &place, found),
            None => found.push(Fault::new(place, "an unknown key", nearest(name, fields))),
        }
    }
    let missing = fields
        .iter()
        .filter(|field| field.required && !mapping.contains_key(field.name))
        .map(|field| Fault::new(join(path, field.name), "nothing", expected(&field.kind)));
    found.extend(missing);
}

fn check_field(value: &Value, field: &Field, path: &str, found: &mut Vec<Fault>) {
    if !field.repeated {
        check_value(value, &field.kind, path, found);
        return;
    }
    let Value::Sequence(entries) = value else {
        let wanted = format!("a list, each entry {}", expected(&field.kind));
        found.push(Fault::new(path, describe(value), wanted));
        return;
    };
    if field.required && entries.is_empty() {
        found.push(Fault::new(path, "an empty list", "at least one entry"));
    }
    for (index, entry) in entries.iter().enumerate() {
        check_value(entry, &field.kind, &format!("{path}.{index}"), found);
    }
}

fn check_value(value: &Value, kind: &Kind, path: &str, found: &mut Vec<Fault>) {
    if let Kind::Message(fields) = kind {
        check_message(value, fields, path, found);
    } else if !is_valid(value, kind) {
        found.push(Fault::new(path, describe(value), expected(kind)));
    }
}

fn is_valid(value: &Value, kind: &Kind) -> bool {
    match kind {
        Kind::Message(_) => value.is_mapping(),
        Kind::Text => value.as_str().is_some_and(|text| !text.trim().is_empty()),
        Kind::Choice(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
        Kind::Address => value
            .as_str()
            .is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
        Kind::Network => value
            .as_str()
            .is_some_and(|text| text.parse::<IpNet>().is_ok()),
        Kind::Hex32 => value.as_str().is_some_and(is_hex32),
        Kind::Integer(low, high) => value
            .as_u64()
            .is_some_and(|number| (*low..=*high).contains(&number)),
        Kind::Bool => value.is_bool(),
    }
}

fn is_hex32(text: &str) -> bool {
    text.len() == HEX32_LEN && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn expected(kind: &Kind) -> String {
    match kind {
        Kind::Message(_) => "a mapping of keys to values".to_owned(),
        Kind::Text => "text".to_owned(),
        Kind::Choice(choices) => format!("one of {}", choices.join(", ")),
        Kind::Address => "an IP address and a port, such as 10.0.0.1:4433".to_owned(),
        Kind::Network => "a network, such as 10.1.0.0/16".to_owned(),
        Kind::Hex32 => "64 hexadecimal digits".to_owned(),
        Kind::Integer(low, u64::MAX) => format!("a whole number of at least {low}"),
        Kind::Integer(low, high) => format!("a whole number from {low} to {high}"),
        Kind::Bool => "true or false".to_owned(),
    }
}

fn describe(value: &Value) -> String {
    match value {
        Value::Null => "nothing".to_owned(),
        Value::Sequence(_) => "a list".to_owned(),
        Value::Mapping(_) => "a mapping".to_owned(),
        Value::String(text) => format!("{text:?}"),
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::Tagged(_) => "a tagged value".to_owned(),
    }
}

/// The key with the same words but another unit, or else all keys.
fn nearest(name: &str, fields: &[Field]) -> String {
    let stem = |key: &str| {
        key.rsplit_once('_')
            .map_or(key.to_owned(), |(stem, _)| stem.to_owned())
    };
    let same_stem = fields
        .iter()
        .find(|field| stem(field.name) == stem(name) || stem(field.name) == name);
    if let Some(field) = same_stem {
        return field.name.to_owned();
    }
    let names: Vec<_> = fields.iter().map(|field| field.name).collect();
    format!("one of {}", names.join(", "))
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn shown(path: &str) -> String {
    if path.is_empty() {
        "(document)".to_owned()
    } else {
        path.to_owned()
    }
}
