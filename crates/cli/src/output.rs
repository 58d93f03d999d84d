//! Prints results as text or JSON.

use serde::Serialize;

use crate::error::CliError;

/// A result that has a text form.
pub(crate) trait Report: Serialize {
    /// Returns the text form, lines ended.
    fn text(&self) -> String;
}

/// Prints a result.
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
