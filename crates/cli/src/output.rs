//! Output of results as text or JSON.

use serde::Serialize;

use crate::error::CliError;

/// Result of a command, printed as text or JSON.
pub(crate) trait Report: Serialize {
    /// Returns the result as text; every line ends with a newline.
    fn text(&self) -> String;
}

/// Prints a result to standard output.
pub(crate) fn print(json: bool, report: &impl Report) -> Result<(), CliError> {
    if !json {
        print!("{}", report.text());
        return Ok(());
    }
    let text = serde_json::to_string_pretty(report)
        .map_err(|err| CliError::BadArgument(err.to_string(), "JSON value"))?;
    println!("{text}");
    Ok(())
}
