//! Face at which the local upstream announces itself.

use std::io::Read;
use std::sync::Arc;

use rouille::{Request, Response};
use snipehollow_wire::admin::Announcement;

use crate::NodeError;
use crate::admin::serve;
use crate::shared::Shared;
use crate::supervisor::Child;

/// Most bytes of an announcement.
const MAX_BYTES: u64 = 4_096;

/// Takes announcements.
pub(crate) struct UpstreamFace;

impl Child for UpstreamFace {
    fn name(&self) -> &'static str {
        "upstream"
    }

    fn run(&self, shared: &Arc<Shared>) -> Result<(), NodeError> {
        serve(shared, "upstream", shared.settings.upstream, handle)
    }
}

fn handle(shared: &Arc<Shared>, req: &Request) -> Response {
    if req.method() != "POST" || req.url() != "/announce" {
        return Response::text("POST /announce\n").with_status_code(404);
    }
    match read_announcement(req) {
        Ok(announcement) => announce(shared, &announcement),
        Err(cause) => Response::text(format!("{cause}\n")).with_status_code(400),
    }
}

fn read_announcement(req: &Request) -> Result<Announcement, String> {
    let body = req.data().ok_or("the body was read already")?;
    let mut text = String::new();
    body.take(MAX_BYTES + 1).read_to_string(&mut text).map_err(|err| err.to_string())?;
    if text.len() as u64 > MAX_BYTES {
        return Err(format!("an announcement is at most {MAX_BYTES} bytes long"));
    }
    serde_json::from_str(&text).map_err(|err| err.to_string())
}

fn announce(shared: &Arc<Shared>, announcement: &Announcement) -> Response {
    let now = shared.clock.now();
    let facts = shared.host().announce(now, announcement);
    shared.control().set_upstream(now, facts);
    Response::text("announced\n")
}
