//! Commands `snipehollow config show` and `snipehollow config history`.

use serde::Serialize;
use snipehollow_config::model::{Change, ConfigState, Section};
use snipehollow_config::sheet::{RowChange, diff_sections};
use snipehollow_store::{load_config, load_head};

use crate::args::ConfigCommand;
use crate::error::CliError;
use crate::output::{Report, print};
use crate::target::Target;

pub(super) fn run(target: &Target, json: bool, command: &ConfigCommand) -> Result<(), CliError> {
    match command {
        ConfigCommand::Show => show(target, json),
        ConfigCommand::History => history(target, json),
    }
}

/// Returns the sections of a configuration; those that cannot be decoded are left out.
pub(super) fn sections_of(state: &ConfigState) -> Vec<Section> {
    state
        .section_refs()
        .iter()
        .filter_map(|section| state.stored(&section.name))
        .filter_map(|stored| Section::from_stored(stored).ok())
        .collect()
}

#[derive(Serialize)]
struct Show {
    revision: u64,
    rows: Vec<RowChange>,
}

impl Report for Show {
    fn text(&self) -> String {
        let mut text = format!("revision {}\n", self.revision);
        for row in &self.rows {
            text.push_str(&format!("{}: {}\n", row.row, row.after.as_deref().unwrap_or("")));
        }
        text
    }
}

fn show(target: &Target, json: bool) -> Result<(), CliError> {
    let state = load_config(&target.store()?)?;
    let rows = diff_sections(&[], &sections_of(&state));
    print(json, &Show { revision: state.revision(), rows })
}

#[derive(Serialize)]
struct History {
    changes: Vec<Change>,
}

impl Report for History {
    fn text(&self) -> String {
        let mut text = String::new();
        for change in self.changes.iter().rev() {
            let sections: Vec<String> =
                change.sections.iter().map(|section| section.name.to_string()).collect();
            text.push_str(&format!(
                "revision {} by {} at unix {}: {}\n",
                change.revision,
                change.author,
                change.at,
                sections.join(", ")
            ));
        }
        text
    }
}

fn history(target: &Target, json: bool) -> Result<(), CliError> {
    let (head, _) = load_head(&target.store()?)
        .map_err(|err| CliError::Load(snipehollow_store::LoadError::Store(err)))?;
    let changes = head.map_or_else(Vec::new, |head| head.recent);
    print(json, &History { changes })
}
