//! Validation of YAML documents against the field tables; reports all errors at once.

use std::{fmt, net::SocketAddr};

use ipnet::IpNet;
use serde_yaml_ng::{Mapping, Value};

use crate::proto::{Field, Kind};

/// Length of a 32-byte secret in hexadecimal digits.
const HEX32_LEN: usize = 64;

/// An invalid or missing value in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// Location of the value: mapping keys and list indexes joined by dots.
    pub path: String,
    /// Description of the value that was found.
    pub value: String,
    /// Description of a valid value.
    pub expected: String,
}

impl ValidationError {
    /// Creates an error for the value at `path`.
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

impl fmt::Display for ValidationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            path,
            value,
            expected,
        } = self;
        write!(formatter, "{path}: found {value}; expected {expected}")
    }
}

/// Validates `document` against `fields` and returns all errors.
///
/// ```
/// use bamboowind::proto::fields_table::POLICY_LIMITS;
/// use bamboowind::settings::check::validate;
///
/// let document = serde_yaml_ng::from_str("drain_timeout_s: 5").unwrap();
/// let errors = validate(&document, POLICY_LIMITS);
/// assert_eq!(errors[0].to_string(),
///     "drain_timeout_s: found an unknown key; expected drain_timeout_ms");
/// ```
#[must_use]
pub fn validate(document: &Value, fields: &'static [Field]) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    check_message(document, fields, "", &mut errors);
    errors
}

/// Appends to `errors` all errors of a mapping; `null` counts as an empty mapping.
fn check_message(
    value: &Value,
    fields: &'static [Field],
    path: &str,
    errors: &mut Vec<ValidationError>,
) {
    let empty = Mapping::new();
    let mapping = match value {
        Value::Mapping(mapping) => mapping,
        Value::Null => &empty,
        other => {
            errors.push(ValidationError::new(
                display_path(path),
                describe(other),
                "a mapping of keys to values",
            ));
            return;
        }
    };
    for (key, entry) in mapping {
        let name = key.as_str().unwrap_or_default();
        let field_path = join(path, name);
        match fields.iter().find(|field| field.name == name) {
            Some(field) => check_field(entry, field, &field_path, errors),
            None => errors.push(ValidationError::new(
                field_path,
                "an unknown key",
                suggest_key(name, fields),
            )),
        }
    }
    let missing = fields
        .iter()
        .filter(|field| field.required && !mapping.contains_key(field.name))
        .map(|field| {
            ValidationError::new(join(path, field.name), "nothing", expected(&field.kind))
        });
    errors.extend(missing);
}

fn check_field(value: &Value, field: &Field, path: &str, errors: &mut Vec<ValidationError>) {
    if !field.repeated {
        check_value(value, &field.kind, path, errors);
        return;
    }
    let Value::Sequence(entries) = value else {
        let list_description = format!("a list, each entry {}", expected(&field.kind));
        errors.push(ValidationError::new(
            path,
            describe(value),
            list_description,
        ));
        return;
    };
    if field.required && entries.is_empty() {
        errors.push(ValidationError::new(
            path,
            "an empty list",
            "at least one entry",
        ));
    }
    for (index, entry) in entries.iter().enumerate() {
        check_value(entry, &field.kind, &format!("{path}.{index}"), errors);
    }
}

fn check_value(value: &Value, kind: &Kind, path: &str, errors: &mut Vec<ValidationError>) {
    if let Kind::Message(fields) = kind {
        check_message(value, fields, path, errors);
    } else if !is_valid(value, kind) {
        errors.push(ValidationError::new(path, describe(value), expected(kind)));
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

/// Describes the valid values of a kind for an error.
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

/// Describes a value of any type for an error.
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

/// Returns the key that differs from `name` only in its last part, such as the unit, or else a list
/// of all keys.
fn suggest_key(name: &str, fields: &[Field]) -> String {
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

/// Appends a key to a path.
fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns the path to show in an error; the root of the document has an empty path.
fn display_path(path: &str) -> String {
    if path.is_empty() {
        "(document)".to_owned()
    } else {
        path.to_owned()
    }
}
