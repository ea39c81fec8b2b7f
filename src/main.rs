//! The `bamboowind` program.

use std::process::ExitCode;

use bamboowind::{cli, exit_codes::Exit, run};

fn main() -> ExitCode {
    let exit = match cli::parse(std::env::args_os().skip(1).collect()) {
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
