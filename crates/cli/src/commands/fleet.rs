//! Commands `snipehollow nodes`, `snipehollow state` and `snipehollow drain`.

use serde::Serialize;
use snipehollow_core::membership::MemberState;
use snipehollow_wire::admin::{NodeRow, NodeState};

use crate::error::CliError;
use crate::nodes;
use crate::output::{Report, print};
use crate::target::Target;

#[derive(Serialize)]
struct Nodes {
    nodes: Vec<NodeRow>,
}

impl Report for Nodes {
    fn text(&self) -> String {
        let mut text = format!("{:<24} {:<20} {:<8} upstream\n", "host", "zone", "state");
        for row in &self.nodes {
            let upstream = row.upstream.as_ref().map_or_else(
                || "none".into(),
                |up| format!("{} {} slots {:?}", up.service, up.slots, up.state).to_lowercase(),
            );
            let state = format!("{:?}", row.state).to_lowercase();
            text.push_str(&format!(
                "{:<24} {:<20} {state:<8} {upstream}\n",
                row.host.as_str(),
                row.zone.as_str()
            ));
        }
        text
    }
}

pub(super) fn nodes(target: &Target, json: bool) -> Result<(), CliError> {
    let mut rows: Vec<NodeRow> = Vec::new();
    for node in target.nodes()? {
        let found: Vec<NodeRow> = match nodes::get(*node, "/nodes") {
            Ok(found) => found,
            Err(err) => {
                eprintln!("snipehollow: {err}");
                continue;
            }
        };
        rows.extend(found);
    }
    // Where nodes disagree on a host's state, the one that sorts first is shown: alive before the
    // others.
    rows.sort_by(|a, b| (&a.host, a.state as u8).cmp(&(&b.host, b.state as u8)));
    rows.dedup_by(|a, b| a.host == b.host);
    print(json, &Nodes { nodes: rows })
}

impl Report for NodeState {
    fn text(&self) -> String {
        let mut text = format!(
            "host {} in zone {} of region {}\nup {} ms, revision {}, {}\n",
            self.host,
            self.zone,
            self.region,
            self.uptime_ms,
            self.revision,
            if self.draining { "draining" } else { "accepting requests" }
        );
        if let Some(gate) = &self.gate {
            text.push_str(&format!(
                "gate of {}: {} in flight of limit {} ({} slots), {} queued\n",
                gate.service, gate.in_flight, gate.limit, gate.slots, gate.queued
            ));
        }
        let live = self.members.iter().filter(|m| m.state == MemberState::Alive).count();
        text.push_str(&format!("{live} of {} members alive\n", self.members.len()));
        for route in self.routes.iter().filter(|route| route.ejected) {
            text.push_str(&format!(
                "ejected after failures: {} of {}\n",
                route.host, route.service
            ));
        }
        text.push_str(&format!("{} requests quarantined or suspected\n", self.quarantine.len()));
        text
    }
}

pub(super) fn state(target: &Target, json: bool, host: &str) -> Result<(), CliError> {
    let (_, state) = nodes::find(target.nodes()?, host)?;
    print(json, &state)
}

#[derive(Serialize)]
struct Drained {
    host: String,
    in_progress: u32,
}

impl Report for Drained {
    fn text(&self) -> String {
        format!("{} is draining; {} requests in progress\n", self.host, self.in_progress)
    }
}

pub(super) fn drain(target: &Target, json: bool, host: &str) -> Result<(), CliError> {
    let (node, _) = nodes::find(target.nodes()?, host)?;
    nodes::post(node, "/drain")?;
    let state: NodeState = nodes::get(node, "/state")?;
    let in_progress = state.gate.map_or(0, |gate| gate.in_flight + gate.queued);
    print(json, &Drained { host: host.into(), in_progress })
}
