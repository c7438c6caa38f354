//! Reads and numbers the lines from the simulator, skipping empty ones.

use super::error::{MessageError, SimulatorError};
use std::io::{BufRead, ErrorKind};

/// A line of the input without its line ending.
pub(super) struct Line<'a> {
    /// Line number, from 1; empty lines count.
    pub(super) number: usize,
    pub(super) text: &'a str,
}

/// A reader of the non-empty lines of `input`.
pub(super) struct LineReader<R> {
    input: R,
    line: String,
    number: usize,
}

impl<R: BufRead> LineReader<R> {
    pub(super) fn new(input: R) -> Self {
        LineReader { input, line: String::new(), number: 0 }
    }

    /// Returns the number of the line that was read last; 0 before the first.
    pub(super) fn number(&self) -> usize {
        self.number
    }

    /// Reads the next line that is not empty. Returns `None` at the end of the input.
    pub(super) fn next(&mut self) -> Result<Option<Line<'_>>, SimulatorError> {
        loop {
            self.line.clear();
            let bytes = self.input.read_line(&mut self.line).map_err(|error| match error.kind() {
                ErrorKind::InvalidData => {
                    SimulatorError::Input { line: self.number + 1, source: MessageError::NotUtf8 }
                }
                _ => SimulatorError::Io(error),
            })?;
            if bytes == 0 {
                return Ok(None);
            }
            self.number += 1;
            let length = self.line.trim_end_matches(['\n', '\r']).len();
            self.line.truncate(length);
            if !self.line.is_empty() {
                return Ok(Some(Line { number: self.number, text: &self.line }));
            }
        }
    }
}
