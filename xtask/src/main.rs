//! Generates `src/proto/` from `schema/`: `cargo run -p xtask -- generate|check`.

use std::{env, error::Error, fmt::Write as _, fs, path::Path, process::ExitCode};

use prost_types::{
    DescriptorProto, FileDescriptorProto, FileDescriptorSet, field_descriptor_proto as field,
};

const SCHEMAS: [&str; 4] = ["settings", "policy", "control", "flow"];
const YAML_SCHEMAS: [&str; 2] = ["settings", "policy"];
const OUTPUT_FOLDER: &str = "src/proto";
/// Path of `message_type` in a file descriptor, and of `field` in a message.
const MESSAGE_PATH: i32 = 4;
const FIELD_PATH: i32 = 2;

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Outcome<()> {
    let files = generate()?;
    match env::args().nth(1).as_deref() {
        Some("generate") => write(&files),
        Some("check") => check(&files),
        _ => Err("use `xtask generate` or `xtask check`".into()),
    }
}

fn write(files: &[(String, String)]) -> Outcome<()> {
    for (name, text) in files {
        fs::write(Path::new(OUTPUT_FOLDER).join(name), text)?;
    }
    Ok(())
}

fn check(files: &[(String, String)]) -> Outcome<()> {
    for (name, text) in files {
        if fs::read_to_string(Path::new(OUTPUT_FOLDER).join(name))? != *text {
            return Err(format!("{name} is stale; run `cargo run -p xtask -- generate`").into());
        }
    }
    Ok(())
}

fn generate() -> Outcome<Vec<(String, String)>> {
    let paths = SCHEMAS.map(|name| format!("schema/{name}.proto"));
    let set = protox::compile(paths, ["schema"])?;
    let out = env::temp_dir().join(format!("xtask-{}", std::process::id()));
    fs::create_dir_all(&out)?;
    let mut config = prost_build::Config::new();
    config.out_dir(&out);
    config.format(false);
    for name in YAML_SCHEMAS {
        config.message_attribute(
            format!(".bamboowind.{name}"),
            "#[derive(serde::Serialize, serde::Deserialize)]\n#[serde(default, deny_unknown_fields)]",
        );
        config.field_attribute(
            format!(".bamboowind.{name}"),
            "#[serde(skip_serializing_if = \"crate::proto::is_default\")]",
        );
    }
    config.compile_fds(set.clone())?;
    let mut files = Vec::new();
    for name in SCHEMAS {
        let text = fs::read_to_string(out.join(format!("bamboowind.{name}.rs")))?;
        files.push((format!("{name}.rs"), text));
    }
    fs::remove_dir_all(&out)?;
    files.push(("fields_table.rs".to_owned(), field_tables(&set)?));
    Ok(files)
}

fn field_tables(set: &FileDescriptorSet) -> Outcome<String> {
    let mut text =
        String::from("//! Generated from `schema/` by xtask.\n\nuse super::{Field, Kind};\n\n");
    for file in &set.file {
        if !YAML_SCHEMAS
            .iter()
            .any(|name| file.package().ends_with(name))
        {
            continue;
        }
        for (index, message) in file.message_type.iter().enumerate() {
            message_table(&mut text, file, i32::try_from(index)?, message)?;
        }
    }
    Ok(text)
}

fn message_table(
    text: &mut String,
    file: &FileDescriptorProto,
    index: i32,
    message: &DescriptorProto,
) -> Outcome<()> {
    let constant = upper(&format!(
        "{}{}",
        capital(last(file.package())),
        message.name()
    ));
    writeln!(
        text,
        "/// Fields of `{}.{}`.",
        file.package(),
        message.name()
    )?;
    writeln!(text, "pub static {constant}: &[Field] = &[")?;
    for (position, entry) in message.field.iter().enumerate() {
        let path = [MESSAGE_PATH, index, FIELD_PATH, i32::try_from(position)?];
        let comment = comment(file, &path);
        let kind = match entry.r#type() {
            field::Type::Message => format!(
                "Kind::Message({})",
                upper(&format!(
                    "{}{}",
                    capital(last(file.package())),
                    last(entry.type_name())
                ))
            ),
            field::Type::Bool => "Kind::Bool".to_owned(),
            field::Type::String => string_kind(&comment),
            _ => integer_kind(&comment),
        };
        writeln!(
            text,
            "    Field {{ name: {:?}, kind: {kind}, repeated: {}, required: {}, default: {:?} }},",
            entry.name(),
            entry.label() == field::Label::Repeated,
            comment.contains("Required."),
            sentence(&comment, "Default: ").unwrap_or_default(),
        )?;
    }
    writeln!(text, "];")?;
    Ok(())
}

fn string_kind(comment: &str) -> String {
    match sentence(comment, "Format: ") {
        Some("address") => return "Kind::Address".to_owned(),
        Some("network") => return "Kind::Network".to_owned(),
        Some("hex32") => return "Kind::Hex32".to_owned(),
        _ => {}
    }
    match sentence(comment, "One of: ") {
        Some(choices) => {
            let list: Vec<_> = choices
                .split(", ")
                .map(|choice| format!("{choice:?}"))
                .collect();
            format!("Kind::Choice(&[{}])", list.join(", "))
        }
        None => "Kind::Text".to_owned(),
    }
}

fn integer_kind(comment: &str) -> String {
    let (low, high) = sentence(comment, "Range: ")
        .and_then(|range| range.split_once(" to "))
        .unwrap_or(("0", "u64::MAX"));
    format!("Kind::Integer({low}, {high})")
}

/// The rest of the sentence that starts with `lead`, up to a full stop that ends it.
fn sentence<'a>(comment: &'a str, lead: &str) -> Option<&'a str> {
    let rest = &comment[comment.find(lead)? + lead.len()..];
    let end = rest
        .find(". ")
        .or_else(|| rest.strip_suffix('.').map(str::len))?;
    Some(&rest[..end])
}

fn comment(file: &FileDescriptorProto, path: &[i32]) -> String {
    file.source_code_info
        .iter()
        .flat_map(|info| &info.location)
        .find(|location| location.path == path)
        .map(|location| location.leading_comments().trim().replace("\n ", " "))
        .unwrap_or_default()
}

fn last(name: &str) -> &str {
    name.rsplit('.').next().unwrap_or(name)
}

fn capital(name: &str) -> String {
    let (head, rest) = name.split_at(1);
    head.to_uppercase() + rest
}

fn upper(name: &str) -> String {
    let mut text = String::new();
    for letter in name.chars() {
        if letter.is_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.extend(letter.to_uppercase());
    }
    text
}
