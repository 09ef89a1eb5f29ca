use std::{
    sync::OnceLock,
    time::{SystemTime, UNIX_EPOCH},
};

use kqr_types::InstanceId;
use serde_json::{Map, Value};

use crate::bounded_output::push_line;

static INSTANCE: OnceLock<InstanceId> = OnceLock::new();

/// Names the instance in all later lines.
pub(crate) fn set_instance(instance: &InstanceId) {
    // A second name is refused by the logger that is set together with it.
    let _ = INSTANCE.set(instance.clone());
}

/// Writes a decision as one JSON line: what was decided, with the inputs that led to it.
pub fn log_decision(event: &'static str, fields: &[(&'static str, String)]) {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = Map::new();
    line.insert("unix_ms".to_owned(), Value::from(unix.as_millis() as u64));
    if let Some(instance) = INSTANCE.get() {
        line.insert("instance".to_owned(), Value::from(instance.as_str()));
    }
    line.insert("event".to_owned(), Value::from(event));
    for (name, value) in fields {
        line.insert((*name).to_owned(), Value::from(value.as_str()));
    }
    push_line(Value::Object(line).to_string());
}
