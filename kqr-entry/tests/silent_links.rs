//! Connections between entries that stay open and silent are replaced before any entry is suspected.

mod support;

use std::{collections::BTreeMap, time::Duration};

use hyper::Method;
use support::{System, silent_proxy::SilentProxy};

/// Pairs of entries whose connections become silent, one after the other. The third entry keeps the leader's majority.
const PAIRS: [(usize, usize); 3] = [(0, 1), (1, 2), (0, 2)];

/// Suspicion in this test: long enough that a pause of a busy machine is not taken for a silence.
const SUSPICION: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced_before_an_entry_is_suspected() {
    let (mut system, proxies) = system_over_proxies(&["a", "a", "a"]).await;
    system.add_standin(0, "worker-a", &[]).await;
    // The members' first epochs end with suspicions of nobody; what counts is what follows.
    tokio::time::sleep(2 * SUSPICION).await;
    let before = suspicions(&system).await;
    for (round, (left, right)) in (0_u32..).zip(PAIRS) {
        let pair = [&proxies[&(left, right)], &proxies[&(right, left)]];
        let silenced: u64 = pair.iter().map(|proxy| proxy.silence()).sum();
        assert!(silenced > 0, "no connection was open");
        // The rounds differ in where the silence falls between two renewals.
        tokio::time::sleep(2 * SUSPICION + Duration::from_millis(137) * round).await;
        let opened: u64 = pair.iter().map(|proxy| proxy.opened()).sum();
        assert!(opened > silenced, "round {round}: no connection was replaced");
    }
    assert_eq!(suspicions(&system).await, before);
    assert!(system.submit(1, "after", &[10]).await.status.is_success());
}

/// Starts entries each of which reaches the others over a proxy of its own.
async fn system_over_proxies(data_centres: &[&str]) -> (System, BTreeMap<(usize, usize), SilentProxy>) {
    let mut system = System::prepare(data_centres);
    system.suspicion = SUSPICION;
    let plain = system.bootstrap.clone();
    let mut proxies = BTreeMap::new();
    for index in 0..data_centres.len() {
        system.bootstrap = plain.clone();
        for peer in 0..data_centres.len() {
            if peer == index {
                continue;
            }
            let proxy = SilentProxy::start(plain.instances[peer].peers).await;
            system.bootstrap.instances[peer].peers = proxy.address;
            proxies.insert((index, peer), proxy);
        }
        let entry = system.start_entry(index).await;
        system.entries.push(Some(entry));
    }
    for index in 0..data_centres.len() {
        system.wait_until_ready(index).await;
    }
    (system, proxies)
}

/// Returns how often the entries, as leaders of their cell, have suspected a member.
async fn suspicions(system: &System) -> u64 {
    let mut sum = 0;
    for index in 0..system.entries.len() {
        let text = system.send(index, Method::GET, "/metrics", &[], "").await.text();
        let line = text.lines().find(|line| line.starts_with("kqr_suspicions_total"));
        let value = line.and_then(|line| line.rsplit(' ').next());
        sum += value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
    }
    sum
}
