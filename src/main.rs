//! The executable: command line, logging setup and exit codes.

use clap::{Parser, Subcommand};
use laurellanding::Config;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "A cluster scheduler", arg_required_else_help = true)]
struct Cli {
    /// Start a controller with this settings file
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and say what is wrong with it
    CheckConfig { file: PathBuf },
}

/// The exit code for a wrong command line or settings file.
const EXIT_USAGE: u8 = 2;

/// Returns the log level that the environment variable `LOG_LEVEL` names, or info if it is unset or
/// empty.
fn log_level() -> Result<tracing::Level, String> {
    match std::env::var("LOG_LEVEL").as_deref() {
        Err(_) | Ok("") | Ok("info") => Ok(tracing::Level::INFO),
        Ok("error") => Ok(tracing::Level::ERROR),
        Ok("debug") => Ok(tracing::Level::DEBUG),
        Ok(other) => Err(format!(
            "LOG_LEVEL must be error, info or debug, not `{other}`"
        )),
    }
}

/// Prints an error message and returns the exit code for it.
fn fail(message: &str) -> ExitCode {
    eprintln!("laurellanding: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match (cli.command, cli.config) {
        (Some(Command::CheckConfig { file }), _) => check_config(&file),
        (None, Some(file)) => serve(&file),
        (None, None) => fail("--config FILE is needed; see --help"),
    }
}

/// Reads a settings file and prints whether it is valid.
fn check_config(file: &Path) -> ExitCode {
    match Config::load(file) {
        Ok(_) => {
            println!("{}: ok", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error.to_string()),
    }
}

/// Runs a controller that logs to the standard error output.
fn serve(file: &Path) -> ExitCode {
    let config = match Config::load(file) {
        Ok(config) => config,
        Err(error) => return fail(&error.to_string()),
    };
    let level = match log_level() {
        Ok(level) => level,
        Err(message) => return fail(&message),
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .init();
    match laurellanding::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}
