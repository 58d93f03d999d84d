//! Configuration: accepted once, in force everywhere, never reverting.

use std::thread;

use snipehollow_standins::store::Faults;

use crate::support::{Caller, LIMIT, SHEET, small_mesh};

fn changed(deadline_ms: u32) -> String {
    SHEET.replace("class,read,1,8000", &format!("class,read,1,{deadline_ms}"))
}

#[test]
fn configuration_reaches_every_node() {
    let mesh = small_mesh();
    let path = mesh.dir().join("next.csv");
    std::fs::write(&path, changed(7_000)).unwrap();
    let output =
        mesh.run_cli(&["sheet", "apply", &path.to_string_lossy(), "--wait", "30"]).unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("in force at 8 of 8 nodes"), "{text}");
}

#[test]
fn configuration_lost_answer_is_settled() {
    let mesh = small_mesh();
    mesh.set_faults(&Faults { lose_responses: 2, ..Faults::default() }).unwrap();
    let output = mesh.apply_sheet(&changed(7_000)).unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    mesh.wait_ready(2).unwrap();
}

#[test]
fn configuration_racing_operators_one_wins() {
    let mesh = small_mesh();
    let outputs: Vec<_> = thread::scope(|scope| {
        let mesh = &mesh;
        let racers: Vec<_> = [6_000, 7_000]
            .into_iter()
            .map(|deadline_ms| {
                scope.spawn(move || {
                    let path = mesh.dir().join(format!("race-{deadline_ms}.csv"));
                    std::fs::write(&path, changed(deadline_ms)).unwrap();
                    let path = path.to_string_lossy().into_owned();
                    mesh.run_cli(&["sheet", "apply", &path, "--base", "1"]).unwrap()
                })
            })
            .collect();
        racers.into_iter().map(|racer| racer.join().unwrap()).collect()
    });
    let won = outputs.iter().filter(|output| output.status.success()).count();
    let lost = outputs.iter().filter(|output| output.status.code() == Some(3)).count();
    assert_eq!((won, lost), (1, 1), "{outputs:?}");
    mesh.wait_ready(2).unwrap();
}

#[test]
fn configuration_store_down_accepts_nothing_and_serving_goes_on() {
    let mesh = small_mesh();
    mesh.set_faults(&Faults { down: true, ..Faults::default() }).unwrap();
    let path = mesh.dir().join("down.csv");
    std::fs::write(&path, changed(7_000)).unwrap();
    let output = mesh.run_cli(&["sheet", "apply", &path.to_string_lossy()]).unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    for entry in mesh.plan.caller_addrs() {
        assert!(Caller::new().get(entry, "/pricing/quote").is_ok());
    }
    mesh.set_faults(&Faults::default()).unwrap();
    assert!(mesh.apply_sheet(&changed(7_000)).unwrap().status.success());
    mesh.wait_ready(2).unwrap();
}

#[test]
fn configuration_store_that_lost_its_data_is_repaired() {
    let mesh = small_mesh();
    mesh.set_faults(&Faults { save: true, ..Faults::default() }).unwrap();
    assert!(mesh.apply_sheet(&changed(7_000)).unwrap().status.success());
    mesh.wait_ready(2).unwrap();
    mesh.set_faults(&Faults { restore: true, ..Faults::default() }).unwrap();
    mesh.wait_until("the store is repaired", LIMIT, || {
        let history = mesh.run_cli(&["config", "history"]);
        history.is_ok_and(|h| String::from_utf8_lossy(&h.stdout).contains("revision 2 "))
    })
    .unwrap();
    for host in &mesh.plan.hosts {
        assert_eq!(mesh.state(host).unwrap().revision, 2);
    }
}

#[test]
fn configuration_store_that_comes_back_empty_is_repaired() {
    let mut mesh = small_mesh();
    mesh.kill_store();
    mesh.start_store().unwrap();
    mesh.wait_until("the store is repaired", LIMIT, || {
        let history = mesh.run_cli(&["config", "history"]);
        history.is_ok_and(|h| String::from_utf8_lossy(&h.stdout).contains("revision 1 "))
    })
    .unwrap();
}

#[test]
fn configuration_new_node_joins_without_the_store() {
    let mut mesh = small_mesh();
    mesh.kill_store();
    mesh.kill_host(3);
    mesh.start_node(3).unwrap();
    mesh.start_upstream(3).unwrap();
    mesh.wait_ready(1).unwrap();
    let entry = mesh.plan.hosts[3].caller_addr();
    assert!(Caller::new().get(entry, "/pricing/quote").is_ok());
}

/// The store thread panicked at each change, and the fifth one ended the watcher's process.
#[test]
fn configuration_many_changes_break_no_thread() {
    let mesh = small_mesh();
    for i in 1..=7 {
        assert!(mesh.apply_sheet(&changed(7_000 + i)).unwrap().status.success());
        mesh.wait_ready(u64::from(i) + 1).unwrap();
    }
    assert_eq!(mesh.log_lines_containing("child failed").unwrap(), Vec::<String>::new());
}
