//! The `bamboowind` program.

use std::process::ExitCode;

use bamboowind::{cli, exit_codes::Exit, run};

#[path = "../platform/mod.rs"]
mod platform;

fn main() -> ExitCode {
    let mut arguments: Vec<_> = std::env::args_os().skip(1).collect();
    if arguments.first().is_some_and(|word| word == "platform") {
        arguments.remove(0);
        return platform::cli::run(arguments).into();
    }
    let exit = match cli::parse(arguments) {
        Ok(cli::Parsed::Command(command)) => run::run(*command),
        Ok(cli::Parsed::Text(text)) => {
            print!("{text}");
            Exit::Done
        }
        Err(message) => {
            eprintln!("bamboowind: {message}; see `bamboowind --help`");
            Exit::WrongUse
        }
    };
    exit.into()
}
