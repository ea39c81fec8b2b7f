//! Entry point of the `bamboowind` program.

use std::process::ExitCode;

use bamboowind::{cli, exit_codes::Exit, run};

#[path = "../platform/mod.rs"]
mod platform;

fn main() -> ExitCode {
    let mut arguments: Vec<_> = std::env::args_os().skip(1).collect();
    if arguments
        .first()
        .is_some_and(|argument| argument == "platform")
    {
        arguments.remove(0);
        return platform::cli::run(arguments).into();
    }
    let exit = match cli::parse(arguments) {
        Ok(cli::ParsedArgs::Command(command)) => run::run(*command),
        Ok(cli::ParsedArgs::Text(text)) => {
            print!("{text}");
            Exit::Success
        }
        Err(message) => {
            eprintln!("bamboowind: {message}; see `bamboowind --help`");
            Exit::UsageError
        }
    };
    exit.into()
}
