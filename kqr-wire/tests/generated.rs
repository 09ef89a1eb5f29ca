//! The committed generated code is up to date with the definition.

mod generator;

use std::{fs, path::Path};

const FILE: &str = "kqr.control.rs";

#[test]
fn committed_code_matches_the_definition() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    generator::generate(folder);
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/control/generated");
    let generated = fs::read_to_string(folder.join(FILE)).unwrap();
    let expected = fs::read_to_string(committed.join(FILE)).unwrap();
    assert!(
        generated == expected,
        "run: cargo run -p kqr-wire --example generate_control"
    );
}
