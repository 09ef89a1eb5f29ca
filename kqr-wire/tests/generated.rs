//! The committed code is what the generator makes of the definition.

mod generator;

use std::{fs, path::Path};

const FILE: &str = "kqr.control.rs";

#[test]
fn the_committed_code_matches_the_definition() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    generator::generate(folder);
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/control/generated");
    let made = fs::read_to_string(folder.join(FILE)).unwrap();
    let kept = fs::read_to_string(committed.join(FILE)).unwrap();
    assert!(
        made == kept,
        "run: cargo run -p kqr-wire --example generate_control"
    );
}
