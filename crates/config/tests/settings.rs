//! Tests of parsing the settings of a node.

use snipehollow_config::settings::{AdmissionMode, NodeSettings};

const VALID: &str = "\
[host]\nname = h1\nzone = z1\nregion = r1\n\
[listen]\ncaller = 127.0.0.1:1\npeer = 127.0.0.1:2\ncontrol = 127.0.0.1:3\n\
upstream = 127.0.0.1:4\nadmin = 127.0.0.1:5\n\
[peers]\nsecret = 0123456789abcdef\nseeds = 127.0.0.1:6 127.0.0.1:7\n\
[zones]\nz2 = r1 127.0.0.1:8\n\
[run]\nadmission = fixed-limit\n";

#[test]
fn parse_valid_settings() {
    let settings = NodeSettings::parse("node.ini", VALID).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.remote_zones.len(), 1);
    assert_eq!(settings.admission, AdmissionMode::FixedLimit);
}

#[test]
fn parse_errors_name_file_section_and_key() {
    for (from, to, expected) in [
        ("name = h1", "name = h 1", "node.ini: [host] name = \"h 1\" is not valid"),
        ("caller = 127.0.0.1:1", "caller = here", "[listen] caller = \"here\""),
        ("secret = 0123456789abcdef", "secret = short", "[peers] secret = \"short\""),
        ("z2 = r1 127.0.0.1:8", "z2 = r1", "[zones] z2 = \"r1\""),
        ("admission = fixed-limit", "admission = some", "expected full, fixed-limit"),
        ("region = r1", "", "[host] region is missing"),
        ("region = r1", "region = r1\nregion = r2", "[host] region is given more than once"),
        ("[run]", "[walk]", "section [walk] is not known"),
        ("[run]", "[run]\nspeed = 1", "[run] speed is not known"),
    ] {
        let err = NodeSettings::parse("node.ini", &VALID.replacen(from, to, 1)).unwrap_err();
        assert!(err.to_string().contains(expected), "{expected} is missing in\n{err}");
    }
}
