//! Runs routers for the simulator: reads events from standard input and writes actions to standard output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match foxhold::simulator::SimulatorHost::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxhold-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
