//! New sheets, which are applied while the schedule goes on.

use std::process::Child;

use snipehollow_standins::error::StandinError;
use snipehollow_standins::mesh::Mesh;

/// Sheets that are to be applied, one after the other.
///
/// The operators' program runs beside the schedule: it waits for nodes that are paused, and only the
/// schedule resumes them.
#[derive(Debug)]
pub(crate) struct Sheets {
    /// Sheet with `WORTH` in place of a weight that differs in each version.
    template: &'static str,
    queued: u32,
    running: Option<Child>,
    /// Revision of the last sheet that the program reported as applied.
    applied_revision: u64,
}

impl Sheets {
    /// Creates the queue of a mesh in which the first version of a template is in force.
    pub(crate) fn new(template: &'static str) -> Sheets {
        Sheets { template, queued: 0, running: None, applied_revision: 1 }
    }

    /// Asks for one more sheet.
    pub(crate) fn request(&mut self) {
        self.queued += 1;
    }

    /// Returns the revision of the last sheet that was reported as applied.
    pub(crate) fn applied_revision(&self) -> u64 {
        self.applied_revision
    }

    /// Returns whether no sheet is queued or being applied.
    pub(crate) fn is_idle(&self) -> bool {
        self.queued == 0 && self.running.is_none()
    }

    /// Starts to apply the next sheet once the one before has ended. A failure is accepted, because
    /// the store may be affected by a fault.
    pub(crate) fn step(&mut self, mesh: &Mesh) -> Result<(), StandinError> {
        let wait = StandinError::io("wait for snipehollow");
        if let Some(child) = &mut self.running {
            let Some(status) = child.try_wait().map_err(wait)? else {
                return Ok(());
            };
            self.running = None;
            self.applied_revision += u64::from(status.success());
        }
        if self.queued > 0 {
            self.queued -= 1;
            let worth = (self.applied_revision % 9 + 1).to_string();
            let path = mesh.dir().join("sheet-of-the-soak.csv");
            std::fs::write(&path, self.template.replace("WORTH", &worth))
                .map_err(StandinError::io("write the sheet"))?;
            let path = path.to_string_lossy();
            self.running = Some(mesh.start_cli(&["sheet", "apply", &path])?);
        }
        Ok(())
    }
}
