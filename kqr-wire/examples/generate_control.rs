//! Generates the code of the control messages into the source folder.

#[path = "../tests/generator/mod.rs"]
mod generator;

use std::path::Path;

fn main() {
    generator::generate(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src/control/generated"));
}
