use std::{
    sync::OnceLock,
    time::{SystemTime, UNIX_EPOCH},
};

use kqr_types::InstanceId;
use serde_json::{Map, Value};

use crate::bounded_output::push_line;

static INSTANCE: OnceLock<InstanceId> = OnceLock::new();

/// Sets the instance that later lines contain.
pub(crate) fn set_instance(instance: &InstanceId) {
    // Can't be set twice: installing a second logger fails before this call.
    let _ = INSTANCE.set(instance.clone());
}

/// Logs a decision as one JSON line, with the inputs that led to it.
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
