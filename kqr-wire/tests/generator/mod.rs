//! Generator of the code of the control messages.

use std::path::Path;

/// Generates the code of `proto/control.proto` into `folder`.
pub fn generate(folder: &Path) {
    let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let descriptors = protox::compile([proto.join("control.proto")], [&proto]).unwrap();
    tonic_prost_build::configure()
        .out_dir(folder)
        .compile_fds(descriptors)
        .unwrap();
}
