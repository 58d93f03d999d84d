//! Command `snipehollow explain`.

use serde::Serialize;
use snipehollow_core::ids::RequestId;
use snipehollow_wire::admin::Explanation;

use crate::error::CliError;
use crate::nodes;
use crate::output::{Report, print};
use crate::target::Target;

#[derive(Serialize)]
struct Explained {
    hosts: Vec<Explanation>,
}

impl Report for Explained {
    fn text(&self) -> String {
        let mut text = String::new();
        for host in &self.hosts {
            text.push_str(&format!("at {}\n", host.host));
            let first_micros = host.steps.first().map_or(0, |step| step.at.as_micros());
            for step in &host.steps {
                let after = (step.at.as_micros() - first_micros) as f64 / 1e3;
                let stage = format!("{:?}", step.stage).to_lowercase();
                let to = step.host.as_ref().map_or(String::new(), |host| format!(" to {host}"));
                let outcome = step.outcome.map_or(String::new(), |outcome| format!(" ({outcome})"));
                text.push_str(&format!(
                    "  {after:>9.3} ms  try {}  {stage:<8} {}{to}{outcome}\n",
                    step.attempt, step.reason
                ));
            }
        }
        text
    }
}

pub(super) fn run(target: &Target, json: bool, request_id: &str) -> Result<(), CliError> {
    let id = RequestId::new(request_id)
        .map_err(|_| CliError::BadArgument(request_id.into(), "request id"))?;
    let mut hosts = Vec::new();
    for node in target.nodes()? {
        let found: Result<Explanation, CliError> = nodes::get(*node, &format!("/explain/{id}"));
        hosts.extend(found.ok().filter(|explanation| !explanation.steps.is_empty()));
    }
    if hosts.is_empty() {
        return Err(CliError::NotTraced(request_id.into()));
    }
    print(json, &Explained { hosts })
}
