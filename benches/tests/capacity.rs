//! Guards against a capacity page that no longer matches the figures in the code.

use snipehollow_benches::capacity::table;

#[test]
fn capacity_page_contains_the_current_table() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/CAPACITY.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert!(page.contains(&table()), "docs/CAPACITY.md should contain\n{}", table());
}
