//! Tests of parsing, checking and comparing the operators' sheet.

use snipehollow_config::sheet::{InventoryHost, Sheet, check_stops, diff_sections};
use snipehollow_core::ids::{HostName, ServiceName, ZoneName};

const VALID: &str = "\
kind,name,rank,deadline_ms,repeat,service,method,path,class,zone,starts,ends\n\
class,read,1,500,may-repeat,,,,,,,\n\
service,pricing,,,,,,,,,,\n\
rule,,,,,pricing,*,/,read,,,\n";

fn example(name: &str) -> String {
    let path = format!("{}/../../examples/{name}.csv", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

#[test]
fn parse_examples() {
    for (name, sections) in [("koppiesrand", 5), ("cartago", 5)] {
        let sheet = Sheet::parse(&example(name)).unwrap();
        assert_eq!(sheet.sections().len(), sections, "{name}");
    }
}

#[test]
fn parse_accepts_export_variants() {
    let plain = Sheet::parse(VALID).unwrap().sections();
    let with_byte_order_mark = format!("\u{feff}{VALID}");
    let with_crlf = VALID.replace('\n', "\r\n");
    let semicolons = VALID.replace(',', ";");
    let quoted = VALID.replace("pricing", "\"pricing\"");
    for text in [with_byte_order_mark, with_crlf, semicolons, quoted] {
        assert_eq!(Sheet::parse(&text).unwrap().sections(), plain, "{text:?}");
    }
}

#[test]
fn parse_reports_all_problems_with_row_and_column() {
    let bad = "\
kind,name,rank,deadline_ms,repeat,service,method,path,class,colour\n\
class,read,urgent,0,sometimes,,,,,\n\
class,a b,1,500,may-repeat,x,,,,\n\
rule,,,,,nowhere,*,no-slash,missing,\n\
thing,,,,,,,,,\n";
    let text = Sheet::parse(bad).unwrap_err().to_string();
    for expected in [
        "row 1, column colour",
        "row 2, column rank: \"urgent\"",
        "row 2, column deadline_ms: \"0\"",
        "row 2, column repeat: \"sometimes\"",
        "row 3, column name: \"a b\"",
        "row 3, column service",
        "row 4, column path: \"no-slash\"",
        "row 5, column kind: \"thing\"",
    ] {
        assert!(text.contains(expected), "{expected} is missing in\n{text}");
    }
}

#[test]
fn parse_checks_references() {
    let unknown = VALID.replace("*,/,read", "*,/,write");
    let text = Sheet::parse(&unknown).unwrap_err().to_string();
    assert_eq!(text, "row 4, column class: the sheet has no class named \"write\"");
    let twice = format!("{VALID}class,read,2,500,may-repeat,,,,,,,\n");
    let text = Sheet::parse(&twice).unwrap_err().to_string();
    assert!(text.contains("row 5, column name: \"read\" already occurs in row 2"), "{text}");
    let no_default = VALID.replace("*,/,read", "*,/only,read");
    assert!(Sheet::parse(&no_default).is_err());
}

#[test]
fn parse_rejects_empty_and_binary_files() {
    assert!(Sheet::parse("").is_err());
    assert!(Sheet::parse("\0\0\0").is_err());
    assert!(Sheet::parse("kind\n\"unclosed").is_err());
}

#[test]
fn check_stops_reports_rows() {
    let stops = format!(
        "{VALID}stop,,,,,,,,,zone-a,2030-01-01T00:00:00Z,2030-01-01T02:00:00Z\n\
         stop,,,,,,,,,zone-b,2030-01-01T01:00:00Z,2030-01-01T03:00:00Z\n"
    );
    let sheet = Sheet::parse(&stops).unwrap();
    let host = |host: &str, zone: &str| InventoryHost {
        host: HostName::new(host).unwrap(),
        zone: ZoneName::new(zone).unwrap(),
        service: ServiceName::new("pricing").unwrap(),
    };
    let two_zones = [host("a", "zone-a"), host("b", "zone-b")];
    let text = check_stops(&sheet, &two_zones).unwrap_err().to_string();
    assert!(text.contains("row 6") && text.contains("rows 5"), "{text}");
    let three_zones = [host("a", "zone-a"), host("b", "zone-b"), host("c", "zone-c")];
    assert!(check_stops(&sheet, &three_zones).is_ok());
}

#[test]
fn diff_sections_returns_changed_rows() {
    let before = Sheet::parse(VALID).unwrap().sections();
    let after = Sheet::parse(&VALID.replace("500", "900")).unwrap().sections();
    let changes = diff_sections(&before, &after);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].row, "class read");
}
