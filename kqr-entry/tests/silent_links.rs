//! Open connections between entries that become silent are replaced before any entry is suspected.

mod support;

use std::{collections::BTreeMap, time::Duration};

use hyper::Method;
use support::{System, silent_proxy::SilentProxy};

/// Pairs of entries whose connections become silent, one pair after the other. The third entry preserves the
/// majority of the leader.
const PAIRS: [(usize, usize); 3] = [(0, 1), (1, 2), (0, 2)];

/// Suspicion timeout: long enough that a stall of a busy machine is not taken for silence.
const SUSPICION: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced_before_an_entry_is_suspected() {
    let (mut system, proxies) = system_over_proxies(&["a", "a", "a"]).await;
    system.add_standin(0, "worker-a", &[]).await;
    // The first epochs of the cell end before the check; only suspicions after them are compared.
    tokio::time::sleep(2 * SUSPICION).await;
    let before = suspicions(&system).await;
    for (round, (left, right)) in (0_u32..).zip(PAIRS) {
        let pair = [&proxies[&(left, right)], &proxies[&(right, left)]];
        let silenced: u64 = pair.iter().map(|proxy| proxy.silence_open_connections()).sum();
        assert!(silenced > 0, "no connection was open");
        // The silence begins at another point between two renewals in each round.
        tokio::time::sleep(2 * SUSPICION + Duration::from_millis(137) * round).await;
        let opened: u64 = pair.iter().map(|proxy| proxy.opened()).sum();
        assert!(opened > silenced, "round {round}: no connection was replaced");
    }
    assert_eq!(suspicions(&system).await, before);
    assert!(system.submit(1, "after", &[10]).await.status.is_success());
}

/// Starts entries each of which connects to every other one through a separate proxy.
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

/// Returns how many times the entries, as leaders of their cell, have suspected a member.
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
