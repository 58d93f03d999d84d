//! Configuration changes: each is accepted once, takes effect on every node and never reverts.

use std::thread;
use std::time::Duration;

use snipehollow_core::ids::HostName;
use snipehollow_core::membership::rank_by_rendezvous;
use snipehollow_standins::store::Faults;

use crate::support::{Caller, LIMIT, SHEET, small_mesh};

/// Returns the sheet with another deadline for reads, which makes it a new revision.
fn sheet_with_read_deadline(deadline_ms: u32) -> String {
    SHEET.replace("class,read,1,8000", &format!("class,read,1,{deadline_ms}"))
}

/// Maximum duration of one watch of the store.
const WATCH_LIMIT: Duration = Duration::from_millis(2_500);
/// Time within which a change must be in force at every node in reach of the store.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(2_500);

/// Guards against survivors that use an older configuration until the membership has declared dead
/// the members that watched the store for them, all of which were lost at once.
#[test]
fn change_is_in_force_in_time_though_all_watchers_were_lost() {
    let mut mesh = small_mesh();
    // Watches that nodes began before they knew each other have ended.
    thread::sleep(WATCH_LIMIT);
    let hosts = mesh.plan.hosts.clone();
    let mut survivors = Vec::new();
    for zone in ["zone-a", "zone-b"] {
        let in_zone: Vec<usize> = (0..hosts.len()).filter(|i| hosts[*i].zone == zone).collect();
        let names: Vec<HostName> =
            in_zone.iter().map(|i| HostName::new(&hosts[*i].name).unwrap()).collect();
        let watchers = rank_by_rendezvous("watch", names.iter(), 2);
        for i in in_zone {
            if watchers.iter().any(|host| host.as_str() == hosts[i].name) {
                mesh.kill_host(i);
            } else {
                survivors.push(hosts[i].clone());
            }
        }
    }
    assert_eq!(survivors.len(), 4);
    let output = mesh.apply_sheet(&sheet_with_read_deadline(7_000)).unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    mesh.wait_until("the change is in force at the survivors", IN_FORCE_LIMIT, || {
        survivors.iter().all(|host| mesh.state(host).is_ok_and(|state| state.revision == 2))
    })
    .unwrap();
}

/// Guards against a revision that is committed but does not reach every node, or a `--wait` that
/// reports success before it does.
#[test]
fn applied_sheet_takes_effect_on_every_node() {
    let mesh = small_mesh();
    let path = mesh.dir().join("next.csv");
    std::fs::write(&path, sheet_with_read_deadline(7_000)).unwrap();
    let output =
        mesh.run_cli(&["sheet", "apply", &path.to_string_lossy(), "--wait", "30"]).unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("in force at 8 of 8 nodes"), "{text}");
}

/// Guards against a commit that is reported as failed, or committed twice, because the store
/// applied the write and the response was lost.
#[test]
fn commit_succeeds_although_the_store_loses_its_responses() {
    let mesh = small_mesh();
    mesh.set_faults(&Faults { lose_responses: 2, ..Faults::default() }).unwrap();
    let output = mesh.apply_sheet(&sheet_with_read_deadline(7_000)).unwrap();
    assert!(
        output.status.success(),
        "the sheet was not applied: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    mesh.wait_ready(2).unwrap();
}

/// Guards against lost updates: two operators apply different sheets based on the same revision,
/// and exactly one must win while the other fails with a conflict (exit code 3).
#[test]
fn concurrent_changes_of_the_same_base_revision_have_one_winner() {
    let mesh = small_mesh();
    let outputs: Vec<_> = thread::scope(|scope| {
        let mesh = &mesh;
        let racers: Vec<_> = [6_000, 7_000]
            .into_iter()
            .map(|deadline_ms| {
                scope.spawn(move || {
                    let path = mesh.dir().join(format!("race-{deadline_ms}.csv"));
                    std::fs::write(&path, sheet_with_read_deadline(deadline_ms)).unwrap();
                    let path = path.to_string_lossy().into_owned();
                    mesh.run_cli(&["sheet", "apply", &path, "--base", "1"]).unwrap()
                })
            })
            .collect();
        racers.into_iter().map(|racer| racer.join().unwrap()).collect()
    });
    let accepted = outputs.iter().filter(|output| output.status.success()).count();
    let conflicted = outputs.iter().filter(|output| output.status.code() == Some(3)).count();
    assert_eq!((accepted, conflicted), (1, 1), "one change must win: {outputs:?}");
    mesh.wait_ready(2).unwrap();
}

/// Guards against nodes that need the store to serve requests, and against a sheet that is reported
/// as applied while the store is down.
#[test]
fn store_outage_blocks_changes_but_not_requests() {
    let mesh = small_mesh();
    mesh.set_faults(&Faults { down: true, ..Faults::default() }).unwrap();
    let path = mesh.dir().join("down.csv");
    std::fs::write(&path, sheet_with_read_deadline(7_000)).unwrap();
    let output = mesh.run_cli(&["sheet", "apply", &path.to_string_lossy()]).unwrap();
    assert_eq!(output.status.code(), Some(1), "a sheet was accepted without the store: {output:?}");
    for entry in mesh.plan.caller_addrs() {
        assert!(Caller::new().get(entry, "/pricing/quote").is_ok());
    }
    mesh.set_faults(&Faults::default()).unwrap();
    assert!(mesh.apply_sheet(&sheet_with_read_deadline(7_000)).unwrap().status.success());
    mesh.wait_ready(2).unwrap();
}

/// Guards against the fleet going back to an earlier revision after the store was restored from an
/// old backup: the nodes write the revision in force back to the store.
#[test]
fn store_restored_from_an_old_backup_is_repaired_by_the_nodes() {
    let mesh = small_mesh();
    mesh.set_faults(&Faults { save: true, ..Faults::default() }).unwrap();
    assert!(mesh.apply_sheet(&sheet_with_read_deadline(7_000)).unwrap().status.success());
    mesh.wait_ready(2).unwrap();
    mesh.set_faults(&Faults { restore: true, ..Faults::default() }).unwrap();
    mesh.wait_until("the store is repaired", LIMIT, || {
        let output = mesh.run_cli(&["config", "history"]);
        output.is_ok_and(|o| String::from_utf8_lossy(&o.stdout).contains("revision 2 "))
    })
    .unwrap();
    for host in &mesh.plan.hosts {
        assert_eq!(mesh.state(host).unwrap().revision, 2);
    }
}

/// Guards against losing the configuration when the store comes back without any data: the nodes
/// write the revision in force back to the store.
#[test]
fn store_that_restarts_empty_is_repaired_by_the_nodes() {
    let mut mesh = small_mesh();
    mesh.kill_store();
    mesh.start_store().unwrap();
    mesh.wait_until("the store is repaired", LIMIT, || {
        let output = mesh.run_cli(&["config", "history"]);
        output.is_ok_and(|o| String::from_utf8_lossy(&o.stdout).contains("revision 1 "))
    })
    .unwrap();
}

/// Guards against a node that cannot start while the store is down: it gets the configuration from
/// its peers instead.
#[test]
fn restarted_node_joins_while_the_store_is_down() {
    let mut mesh = small_mesh();
    mesh.kill_store();
    mesh.kill_host(3);
    mesh.start_node(3).unwrap();
    mesh.start_upstream(3).unwrap();
    mesh.wait_ready(1).unwrap();
    let entry = mesh.plan.hosts[3].caller_addr();
    assert!(Caller::new().get(entry, "/pricing/quote").is_ok());
}

/// Guards against a panic in the thread that watches the store: it once panicked at each change,
/// and the fifth panic ended the process of the node that watches the store for its zone.
#[test]
fn repeated_changes_do_not_crash_the_store_watcher() {
    let mesh = small_mesh();
    for i in 1..=7 {
        assert!(mesh.apply_sheet(&sheet_with_read_deadline(7_000 + i)).unwrap().status.success());
        mesh.wait_ready(u64::from(i) + 1).unwrap();
    }
    assert_eq!(mesh.log_lines_containing("child failed").unwrap(), Vec::<String>::new());
}
