//! Generates the Rust code in `src/proto/` from the schemas in `schema/`.
//!
//! `cargo run -p xtask -- generate` writes the files; `cargo run -p xtask -- check` fails if they
//! are out of date.

use std::{env, error::Error, fmt::Write as _, fs, path::Path, process::ExitCode};

use prost_types::{
    DescriptorProto, FileDescriptorProto, FileDescriptorSet, field_descriptor_proto as field_proto,
};

/// Names of the schemas, without the file extension.
const SCHEMA_NAMES: [&str; 4] = ["settings", "policy", "control", "flow"];
/// Schemas whose messages are also read from YAML; they get serde derives and field tables.
const YAML_SCHEMA_NAMES: [&str; 2] = ["settings", "policy"];
const OUTPUT_DIR: &str = "src/proto";
/// Field number of `message_type` in `FileDescriptorProto`, for paths in the source code info.
const MESSAGE_TYPE_NUMBER: i32 = 4;
/// Field number of `field` in `DescriptorProto`.
const FIELD_NUMBER: i32 = 2;

type BoxResult<T> = Result<T, Box<dyn Error>>;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> BoxResult<()> {
    let files = generate_files()?;
    match env::args().nth(1).as_deref() {
        Some("generate") => write_files(&files),
        Some("check") => check_files(&files),
        _ => Err("missing or unknown command; run `xtask generate` or `xtask check`".into()),
    }
}

/// Writes the generated files to [`OUTPUT_DIR`].
fn write_files(files: &[(String, String)]) -> BoxResult<()> {
    for (name, text) in files {
        fs::write(Path::new(OUTPUT_DIR).join(name), text)?;
    }
    Ok(())
}

/// Fails if a file in [`OUTPUT_DIR`] differs from the generated one.
fn check_files(files: &[(String, String)]) -> BoxResult<()> {
    for (name, text) in files {
        if fs::read_to_string(Path::new(OUTPUT_DIR).join(name))? != *text {
            return Err(
                format!("{name} is out of date; run `cargo run -p xtask -- generate`").into(),
            );
        }
    }
    Ok(())
}

/// Returns the names and contents of all generated files.
fn generate_files() -> BoxResult<Vec<(String, String)>> {
    let paths = SCHEMA_NAMES.map(|name| format!("schema/{name}.proto"));
    let descriptors = protox::compile(paths, ["schema"])?;
    let out_dir = env::temp_dir().join(format!("xtask-{}", std::process::id()));
    fs::create_dir_all(&out_dir)?;
    let mut config = prost_build::Config::new();
    config.out_dir(&out_dir);
    config.format(false);
    for name in YAML_SCHEMA_NAMES {
        config.message_attribute(
            format!(".bamboowind.{name}"),
            "#[derive(serde::Serialize, serde::Deserialize)]\n#[serde(default, deny_unknown_fields)]",
        );
        config.field_attribute(
            format!(".bamboowind.{name}"),
            "#[serde(skip_serializing_if = \"crate::proto::is_default\")]",
        );
    }
    config.compile_fds(descriptors.clone())?;
    let mut files = Vec::new();
    for name in SCHEMA_NAMES {
        let text = fs::read_to_string(out_dir.join(format!("bamboowind.{name}.rs")))?;
        files.push((format!("{name}.rs"), text));
    }
    fs::remove_dir_all(&out_dir)?;
    files.push((
        "fields_table.rs".to_owned(),
        generate_field_tables(&descriptors)?,
    ));
    Ok(files)
}

/// Generates `fields_table.rs`: a table of the fields of each message in the YAML schemas.
fn generate_field_tables(descriptors: &FileDescriptorSet) -> BoxResult<String> {
    let mut text =
        String::from("//! Generated from `schema/` by xtask.\n\nuse super::{Field, Kind};\n\n");
    for file in &descriptors.file {
        if !YAML_SCHEMA_NAMES
            .iter()
            .any(|name| file.package().ends_with(name))
        {
            continue;
        }
        for (index, message) in file.message_type.iter().enumerate() {
            write_message_table(&mut text, file, i32::try_from(index)?, message)?;
        }
    }
    Ok(text)
}

/// Appends the field table of a message. Limits, format and default of a field come from the
/// comment above it in the schema.
fn write_message_table(
    text: &mut String,
    file: &FileDescriptorProto,
    index: i32,
    message: &DescriptorProto,
) -> BoxResult<()> {
    let constant_name = screaming_snake_case(&format!(
        "{}{}",
        capitalize(last_segment(file.package())),
        message.name()
    ));
    writeln!(
        text,
        "/// Fields of `{}.{}`.",
        file.package(),
        message.name()
    )?;
    writeln!(text, "pub static {constant_name}: &[Field] = &[")?;
    for (position, descriptor) in message.field.iter().enumerate() {
        let path = [
            MESSAGE_TYPE_NUMBER,
            index,
            FIELD_NUMBER,
            i32::try_from(position)?,
        ];
        let comment = leading_comment(file, &path);
        let kind = match descriptor.r#type() {
            field_proto::Type::Message => format!(
                "Kind::Message({})",
                screaming_snake_case(&format!(
                    "{}{}",
                    capitalize(last_segment(file.package())),
                    last_segment(descriptor.type_name())
                ))
            ),
            field_proto::Type::Bool => "Kind::Bool".to_owned(),
            field_proto::Type::String => string_kind(&comment),
            _ => integer_kind(&comment),
        };
        writeln!(
            text,
            "    Field {{ name: {:?}, kind: {kind}, repeated: {}, required: {}, default: {:?} }},",
            descriptor.name(),
            descriptor.label() == field_proto::Label::Repeated,
            comment.contains("Required."),
            annotation(&comment, "Default: ").unwrap_or_default(),
        )?;
    }
    writeln!(text, "];")?;
    Ok(())
}

/// Kind of a string field, from the annotations `Format` and `One of`.
fn string_kind(comment: &str) -> String {
    match annotation(comment, "Format: ") {
        Some("address") => return "Kind::Address".to_owned(),
        Some("network") => return "Kind::Network".to_owned(),
        Some("hex32") => return "Kind::Hex32".to_owned(),
        _ => {}
    }
    match annotation(comment, "One of: ") {
        Some(choices) => {
            let quoted: Vec<_> = choices
                .split(", ")
                .map(|choice| format!("{choice:?}"))
                .collect();
            format!("Kind::Choice(&[{}])", quoted.join(", "))
        }
        None => "Kind::Text".to_owned(),
    }
}

/// Kind of an integer field, from the annotation `Range`.
fn integer_kind(comment: &str) -> String {
    let (min, max) = annotation(comment, "Range: ")
        .and_then(|range| range.split_once(" to "))
        .unwrap_or(("0", "u64::MAX"));
    format!("Kind::Integer({min}, {max})")
}

/// Value of an annotation such as `Range: 1 to 5.` in a field comment: the text between `label` and
/// the end of the sentence.
fn annotation<'a>(comment: &'a str, label: &str) -> Option<&'a str> {
    let rest = &comment[comment.find(label)? + label.len()..];
    let end = rest
        .find(". ")
        .or_else(|| rest.strip_suffix('.').map(str::len))?;
    Some(&rest[..end])
}

/// Comment above the schema element with this path; empty if there is none.
fn leading_comment(file: &FileDescriptorProto, path: &[i32]) -> String {
    file.source_code_info
        .iter()
        .flat_map(|info| &info.location)
        .find(|location| location.path == path)
        .map(|location| location.leading_comments().trim().replace("\n ", " "))
        .unwrap_or_default()
}

/// Part of a dotted name after the last dot.
fn last_segment(name: &str) -> &str {
    name.rsplit('.').next().unwrap_or(name)
}

fn capitalize(name: &str) -> String {
    let (first, rest) = name.split_at(1);
    first.to_uppercase() + rest
}

/// Converts a name from `UpperCamelCase` to `SCREAMING_SNAKE_CASE`.
fn screaming_snake_case(name: &str) -> String {
    let mut text = String::new();
    for letter in name.chars() {
        if letter.is_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.extend(letter.to_uppercase());
    }
    text
}
