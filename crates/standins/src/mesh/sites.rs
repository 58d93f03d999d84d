//! Plans of the demonstration meshes of the two sites, Koppiesrand and Cartago.

use super::plan::{MeshPlan, ServicePlan};

/// Zones of Koppiesrand as pairs of zone and region.
pub const KOPPIESRAND_ZONES: &[(&str, &str)] = &[
    ("gauteng-a", "gauteng"),
    ("gauteng-b", "gauteng"),
    ("western-cape-a", "western-cape"),
    ("western-cape-b", "western-cape"),
];

/// Zones of Cartago as pairs of zone and region.
pub const CARTAGO_ZONES: &[(&str, &str)] = &[
    ("valle-central-a", "valle-central"),
    ("valle-central-b", "valle-central"),
    ("guanacaste-a", "guanacaste"),
    ("guanacaste-b", "guanacaste"),
];

/// Returns the plan of the head office's order mesh: four services with four instances each.
pub fn koppiesrand() -> MeshPlan {
    let services = vec![
        ServicePlan::new("catalogue", 4, 50, 20).with_downstream_call("/pricing/price"),
        ServicePlan::new("orders", 4, 50, 30).with_downstream_call("/pricing/price"),
        ServicePlan::new("documents", 4, 50, 40),
        ServicePlan::new("pricing", 4, 15, 40),
    ];
    MeshPlan::new(KOPPIESRAND_ZONES, services)
}

/// Returns the plan of the course booking mesh: `courses` has five instances, the other three
/// services four each.
pub fn cartago() -> MeshPlan {
    let services = vec![
        ServicePlan::new("courses", 5, 40, 20).with_downstream_call("/scheduling/times"),
        ServicePlan::new("booking", 4, 50, 30).with_downstream_call("/scheduling/benches"),
        ServicePlan::new("library", 4, 50, 40),
        ServicePlan::new("scheduling", 4, 15, 40),
    ];
    MeshPlan::new(CARTAGO_ZONES, services)
}
