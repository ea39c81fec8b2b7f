//! Messages and settings generated from `schema/` by `cargo run -p xtask -- generate`.

/// Messages between bamboowind processes.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
pub mod control;
/// Tables of the fields that may stand in YAML files.
#[allow(clippy::unreadable_literal)]
#[rustfmt::skip]
pub mod fields_table;
/// Messages between the processes that forward flows without a token.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
pub mod flow;
/// The operators' configuration.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
pub mod policy;
/// Settings of one process.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
pub mod settings;

/// Shape of a YAML value.
#[derive(Debug)]
pub enum Kind {
    /// A nested mapping with these fields.
    Message(&'static [Field]),
    /// Any text.
    Text,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An IP address and a port.
    Address,
    /// An IP network with its prefix length.
    Network,
    /// Thirty-two bytes as hexadecimal digits.
    Hex32,
    /// A whole number between two bounds, both allowed.
    Integer(u64, u64),
    /// `true` or `false`.
    Bool,
}

/// One field that may stand in a YAML file.
#[derive(Debug)]
pub struct Field {
    /// Key in the file.
    pub name: &'static str,
    /// Shape of the value.
    pub kind: Kind,
    /// Whether the value is a list.
    pub repeated: bool,
    /// Whether the field must be present.
    pub required: bool,
    /// Documented default; empty for none.
    pub default: &'static str,
}

/// Tells whether a value equals its type's default, so that it is left out of files.
pub fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
