//! Builders of the identities, targets and jobs of tests.

use std::{sync::Arc, time::Duration};

use kqr_dispatch::{JobRequest, StepSpec};
use kqr_fleet::{Resources, TargetRecord};
use kqr_types::{Incarnation, InstanceId, TargetId};

pub fn id(number: usize) -> InstanceId {
    format!("entry-{number}").parse().unwrap()
}

pub fn target_id(number: usize) -> TargetId {
    format!("target-{number}").parse().unwrap()
}

pub fn record(number: usize) -> TargetRecord {
    TargetRecord {
        id: target_id(number),
        life: Incarnation(1),
        service: "press".parse().unwrap(),
        address: format!("127.0.0.1:{}", 9000 + number).parse().unwrap(),
        data_centre: "uppsala".parse().unwrap(),
        capacity: Resources {
            cpu_milli: 16_000,
            memory_mib: 65_536,
            accelerators: 0,
        },
        labels: vec!["a".to_owned(), format!("rack-{}", number / 8)],
    }
}

pub fn job(key: &str, count: u32, estimate_ms: u64) -> JobRequest {
    JobRequest {
        key: key.parse().unwrap(),
        service: "press".parse().unwrap(),
        priority: 0,
        max_attempts: 2,
        slack_factor: 1.6,
        objective: Duration::from_millis(60),
        time_left: Duration::from_millis(1500),
        spec: Arc::from("proof"),
        steps: vec![StepSpec {
            count,
            needs: Resources {
                cpu_milli: 6_800,
                memory_mib: 64,
                accelerators: 0,
            },
            estimate: Duration::from_millis(estimate_ms),
            depends_on: Vec::new(),
            label: None,
            data_rack: None,
            max_per_target: None,
        }],
    }
}
