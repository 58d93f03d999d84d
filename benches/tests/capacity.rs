//! The capacity page cannot drift from its slopes.

use snipehollow_benches::capacity::table;

#[test]
fn table_is_the_one_of_the_page() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/CAPACITY.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert!(page.contains(&table()), "docs/CAPACITY.md should contain\n{}", table());
}
