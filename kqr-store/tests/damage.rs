//! Cuts, flipped bits, full disks, failed steps and crashes.

mod memory;

use kqr_store::{Store, StoreError};
use kqr_types::Incarnation;
use memory::{MemoryDisk, history, owner, states};

type MemoryStore = Store<MemoryDisk>;

const STORAGE: Incarnation = Incarnation(7);

fn open(disk: &MemoryDisk) -> Result<(MemoryStore, kqr_store::RecoveredState), StoreError> {
    Store::open(disk.clone(), &owner("i0"), STORAGE)
}

/// Writes the first `batches` of the history; returns the disk and the log's length after each batch.
fn written(batches: usize, log: &str) -> (MemoryDisk, Vec<usize>) {
    let disk = MemoryDisk::default();
    let (mut store, opened) = open(&disk).unwrap();
    assert!(opened.is_new);
    let mut lengths = Vec::new();
    for batch in history().into_iter().take(batches) {
        store.append(batch).unwrap();
        let has_log = disk.0.borrow().names.contains_key(log);
        lengths.push(if has_log { disk.content(log).len() } else { 0 });
    }
    (disk, lengths)
}

#[test]
fn a_log_cut_at_any_byte_keeps_all_whole_batches_and_tells_the_rest() {
    for (batches, log) in [(3, "log-0"), (6, "log-1")] {
        let (disk, lengths) = written(batches, log);
        let content = disk.content(log);
        let states = states(&history());
        let first = lengths.iter().position(|length| *length > 0).unwrap();
        for cut in 0..=content.len() {
            let cut_disk = disk.with_content(log, content[..cut].to_vec());
            let result = open(&cut_disk);
            let header = 16;
            if cut < header {
                assert!(
                    matches!(result, Err(StoreError::Corrupt { offset: 0, .. })),
                    "cut at {cut}"
                );
                continue;
            }
            let (mut store, opened) = result.unwrap();
            let whole = lengths
                .iter()
                .skip(first)
                .filter(|length| **length <= cut && **length > 0)
                .count();
            assert_eq!(opened.durable, states[first + whole], "cut at {cut}");
            let is_boundary = cut == header || lengths.contains(&cut);
            assert_eq!(opened.torn_tail.is_none(), is_boundary, "cut at {cut}");
            store.append(history()[0].clone()).unwrap();
            drop(store);
            let (_, opened) = open(&cut_disk).unwrap();
            assert_eq!(opened.torn_tail, None, "cut at {cut}");
        }
    }
}

#[test]
fn a_zero_filled_tail_is_dropped_and_told() {
    let (disk, lengths) = written(3, "log-0");
    let mut content = disk.content("log-0");
    content.resize(content.len() + 100, 0);
    let (_, opened) = open(&disk.with_content("log-0", content)).unwrap();
    let torn_tail = opened.torn_tail.unwrap();
    assert_eq!((torn_tail.offset, torn_tail.bytes), (lengths[2] as u64, 100));
    assert_eq!(opened.durable, states(&history())[3]);
}

#[test]
fn any_flipped_bit_is_refused_with_its_place() {
    let (disk, lengths) = written(6, "log-1");
    for name in ["log-1", "snapshot-1", "identity"] {
        let content = disk.content(name);
        for bit in 0..content.len() * 8 {
            let mut flipped = content.clone();
            flipped[bit / 8] ^= 1 << (bit % 8);
            let error = open(&disk.with_content(name, flipped)).err();
            let error = error.unwrap_or_else(|| panic!("flipped bit {bit} of {name} is accepted"));
            let StoreError::Corrupt { file, offset, .. } = error else {
                panic!("flipped bit {bit} of {name}: {error}");
            };
            assert_eq!(file, name);
            let begins: Vec<usize> = [0, 16].into_iter().chain(lengths.iter().copied()).collect();
            let begin = begins.iter().rev().find(|begin| **begin <= bit / 8).unwrap();
            if name == "log-1" {
                assert_eq!(offset, *begin as u64, "flipped bit {bit}");
            }
        }
    }
}

#[test]
fn a_full_disk_is_told_and_loses_nothing_acknowledged() {
    let states = states(&history());
    for room in 0..2_000 {
        let disk = MemoryDisk::default();
        let (mut store, _) = open(&disk).unwrap();
        disk.0.borrow_mut().room = Some(room);
        let mut acknowledged = 0;
        for batch in history() {
            match store.append(batch) {
                Ok(()) => acknowledged += 1,
                Err(StoreError::Full { .. }) => break,
                Err(error) => panic!("room {room}: {error}"),
            }
        }
        if acknowledged < history().len() {
            let refused = store.append(history()[0].clone());
            assert!(matches!(refused, Err(StoreError::Failed)), "room {room}");
        }
        disk.0.borrow_mut().room = None;
        let (_, opened) = open(&disk).unwrap();
        assert_eq!(opened.durable, states[acknowledged], "room {room}");
    }
}

/// Creates a store and appends the history while `steps` steps of the disk succeed; returns the acknowledged batches.
fn run_until_failure(disk: &MemoryDisk, steps: usize) -> usize {
    disk.0.borrow_mut().steps = Some(steps);
    let Ok((mut store, _)) = open(disk) else { return 0 };
    history()
        .into_iter()
        .take_while(|batch| store.append(batch.clone()).is_ok())
        .count()
}

#[test]
fn a_crash_after_any_step_loses_nothing_acknowledged() {
    let states = states(&history());
    let mut is_finished = false;
    for steps in 0..80 {
        for kept in [0, 1, 5, 20, 1_000] {
            let disk = MemoryDisk::default();
            let acknowledged = run_until_failure(&disk, steps);
            is_finished |= acknowledged == states.len() - 1;
            disk.crash(kept);
            let (_, opened) =
                open(&disk).unwrap_or_else(|error| panic!("{steps} steps, {kept} kept: {error}"));
            let at = states.iter().position(|state| *state == opened.durable);
            let at = at.unwrap_or_else(|| panic!("{steps} steps, {kept} kept: an unknown state"));
            let is_sound = at == acknowledged || at == acknowledged + 1;
            assert!(
                is_sound,
                "{steps} steps, {kept} kept: {acknowledged} acknowledged, {at} found"
            );
        }
    }
    assert!(is_finished);
}

#[test]
fn records_of_one_batch_share_one_sync() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk).unwrap();
    let before = disk.0.borrow().syncs;
    let batch = history()[2].iter().cycle().take(1_000).cloned().collect();
    store.append(batch).unwrap();
    assert_eq!(disk.0.borrow().syncs, before + 1);
}
