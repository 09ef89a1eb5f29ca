//! Check of a catalog before an operator sends it.

mod changes;
mod finding;

use std::{collections::BTreeMap, time::Duration};

pub use changes::{CatalogChange, changes};
pub use finding::{Finding, Severity};

use crate::{Catalog, Limits, Queue};

/// Characters that end the path of a request, or can't occur in it.
const NOT_IN_PATH: [char; 3] = ['?', '#', ' '];

/// Returns all reasons for which `catalog` is refused, and what it holds that can have no effect.
pub fn check(catalog: &Catalog) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut routes = BTreeMap::new();
    for queue in &catalog.queues {
        check_service(catalog, queue, &mut findings);
        check_route(queue, &mut findings);
        check_times(queue, &mut findings);
        let route = (queue.host.to_ascii_lowercase(), queue.path_prefix.as_str());
        if let Some(first) = routes.insert(route, queue) {
            findings.push(shadowed(first, queue));
        }
    }
    for service in catalog.services.keys() {
        if !catalog.queues.iter().any(|queue| queue.service == *service) {
            findings.push(Finding::warning(format!("service {service}"), "no queue uses it"));
        }
    }
    check_limits(&catalog.limits, &mut findings);
    findings.sort();
    findings
}

fn subject(queue: &Queue) -> String {
    format!("queue {}", queue.name)
}

fn check_service(catalog: &Catalog, queue: &Queue, findings: &mut Vec<Finding>) {
    let subject = subject(queue);
    match catalog.services.get(&queue.service) {
        None => findings.push(Finding::error(
            subject,
            format!("unknown service {}", queue.service),
        )),
        Some(pool) if pool.is_standby => findings.push(Finding::warning(
            subject,
            format!(
                "its jobs can't run: the targets of {} are switched off",
                queue.service
            ),
        )),
        Some(_) => {}
    }
}

/// Checks that some request can match the queue.
fn check_route(queue: &Queue, findings: &mut Vec<Finding>) {
    let never = |text: &str| Finding::warning(subject(queue), format!("can never match: {text}"));
    if queue.host.is_empty() || queue.host.contains(|c: char| c.is_whitespace() || c == '/') {
        findings.push(never("the host is not a host name"));
    }
    if queue.host.contains(':') {
        findings.push(never(
            "the port of a request's host is ignored, and the host has one",
        ));
    }
    if !queue.path_prefix.starts_with('/') {
        findings.push(never("the path prefix does not begin with a slash"));
    }
    if queue.path_prefix.contains(NOT_IN_PATH) {
        findings.push(never("the path prefix has a character that no path has"));
    }
}

fn check_times(queue: &Queue, findings: &mut Vec<Finding>) {
    let subject = || subject(queue);
    if queue.timeout.is_zero() {
        findings.push(Finding::error(subject(), "the timeout must be greater than 0"));
    }
    if queue.max_attempts == 0 {
        findings.push(Finding::error(subject(), "at least 1 attempt must be allowed"));
    }
    if !queue.timeout.is_zero() && queue.timeout < queue.objective {
        let text = format!(
            "the timeout of {} ms is below the latency objective of {} ms",
            queue.timeout.as_millis(),
            queue.objective.as_millis()
        );
        findings.push(Finding::warning(subject(), text));
    }
    if queue.slack_factor.is_nan() || queue.slack_factor < 1.0 {
        let text = format!(
            "with a slack factor of {} a job is late although it never waits",
            queue.slack_factor
        );
        findings.push(Finding::warning(subject(), text));
    }
}

/// Two queues with the same path prefix whose hosts differ at most in case: the one that comes first gets all requests.
fn shadowed(first: &Queue, queue: &Queue) -> Finding {
    if first.host == queue.host {
        let text = format!("queue {} has the same host and path prefix", first.name);
        return Finding::error(subject(queue), text);
    }
    let text = format!(
        "can never match: queue {} has the same path prefix, and hosts are compared without regard to case",
        first.name
    );
    Finding::warning(subject(queue), text)
}

fn check_limits(limits: &Limits, findings: &mut Vec<Finding>) {
    let subject = || "limits".to_owned();
    if limits.body_bytes == 0 {
        findings.push(Finding::warning(subject(), "no body is accepted, so no job is"));
    }
    for (name, timeout) in [("head", limits.head_timeout), ("idle", limits.idle_timeout)] {
        if timeout.is_zero() {
            findings.push(Finding::warning(subject(), format!("the {name} timeout is 0")));
        }
    }
    if limits.idle_timeout > Duration::ZERO && limits.idle_timeout < limits.head_timeout {
        let text =
            "the idle timeout is below the head timeout, so it ends connections that are still in time";
        findings.push(Finding::warning(subject(), text));
    }
}
