//! Truncated files, flipped bits, full disks, failed disk operations and crashes.

mod memory;

use kqr_store::{Store, StoreError};
use kqr_types::Incarnation;
use memory::{MemoryDisk, owner, record_batches, states_after_batches};

type MemoryStore = Store<MemoryDisk>;

const STORAGE: Incarnation = Incarnation(7);

fn open(disk: &MemoryDisk) -> Result<(MemoryStore, kqr_store::RecoveredState), StoreError> {
    Store::open(disk.clone(), &owner("i0"), STORAGE)
}

/// Appends the first `batches` batches. Returns the disk and the length of the file `log` after each batch.
fn disk_with_batches(batches: usize, log: &str) -> (MemoryDisk, Vec<usize>) {
    let disk = MemoryDisk::default();
    let (mut store, opened) = open(&disk).unwrap();
    assert!(opened.is_new);
    let mut lengths = Vec::new();
    for batch in record_batches().into_iter().take(batches) {
        store.append(batch).unwrap();
        let has_log = disk.0.borrow().names.contains_key(log);
        lengths.push(if has_log { disk.content(log).len() } else { 0 });
    }
    (disk, lengths)
}

#[test]
fn a_log_truncated_at_any_byte_keeps_complete_batches_and_reports_the_tail() {
    for (batches, log) in [(3, "log-0"), (6, "log-1")] {
        let (disk, lengths) = disk_with_batches(batches, log);
        let content = disk.content(log);
        let states = states_after_batches(&record_batches());
        let first = lengths.iter().position(|length| *length > 0).unwrap();
        for len in 0..=content.len() {
            let truncated_disk = disk.with_content(log, content[..len].to_vec());
            let result = open(&truncated_disk);
            let header_len = 16;
            if len < header_len {
                assert!(
                    matches!(result, Err(StoreError::Corrupt { offset: 0, .. })),
                    "truncated to {len} bytes"
                );
                continue;
            }
            let (mut store, opened) = result.unwrap();
            let complete = lengths
                .iter()
                .skip(first)
                .filter(|length| **length <= len && **length > 0)
                .count();
            assert_eq!(
                opened.durable,
                states[first + complete],
                "truncated to {len} bytes"
            );
            let is_boundary = len == header_len || lengths.contains(&len);
            assert_eq!(
                opened.torn_tail.is_none(),
                is_boundary,
                "truncated to {len} bytes"
            );
            store.append(record_batches()[0].clone()).unwrap();
            drop(store);
            let (_, opened) = open(&truncated_disk).unwrap();
            assert_eq!(opened.torn_tail, None, "truncated to {len} bytes");
        }
    }
}

#[test]
fn a_zero_filled_tail_is_dropped_and_reported() {
    let (disk, lengths) = disk_with_batches(3, "log-0");
    let mut content = disk.content("log-0");
    content.resize(content.len() + 100, 0);
    let (_, opened) = open(&disk.with_content("log-0", content)).unwrap();
    let torn_tail = opened.torn_tail.unwrap();
    assert_eq!((torn_tail.offset, torn_tail.bytes), (lengths[2] as u64, 100));
    assert_eq!(opened.durable, states_after_batches(&record_batches())[3]);
}

#[test]
fn any_flipped_bit_is_rejected_with_the_offset_of_its_frame() {
    let (disk, lengths) = disk_with_batches(6, "log-1");
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
            let frame_offsets: Vec<usize> = [0, 16].into_iter().chain(lengths.iter().copied()).collect();
            let frame_offset = frame_offsets
                .iter()
                .rev()
                .find(|start| **start <= bit / 8)
                .unwrap();
            if name == "log-1" {
                assert_eq!(offset, *frame_offset as u64, "flipped bit {bit}");
            }
        }
    }
}

#[test]
fn a_full_disk_is_reported_and_loses_no_acknowledged_batch() {
    let states = states_after_batches(&record_batches());
    for free_bytes in 0..2_000 {
        let disk = MemoryDisk::default();
        let (mut store, _) = open(&disk).unwrap();
        disk.0.borrow_mut().free_bytes = Some(free_bytes);
        let mut acknowledged = 0;
        for batch in record_batches() {
            match store.append(batch) {
                Ok(()) => acknowledged += 1,
                Err(StoreError::Full { .. }) => break,
                Err(error) => panic!("{free_bytes} bytes free: {error}"),
            }
        }
        if acknowledged < record_batches().len() {
            let rejected = store.append(record_batches()[0].clone());
            assert!(
                matches!(rejected, Err(StoreError::Failed)),
                "{free_bytes} bytes free"
            );
        }
        disk.0.borrow_mut().free_bytes = None;
        let (_, opened) = open(&disk).unwrap();
        assert_eq!(opened.durable, states[acknowledged], "{free_bytes} bytes free");
    }
}

/// Creates a store and appends all batches until the disk fails after `operations` operations. Returns the
/// number of acknowledged batches.
fn append_until_failure(disk: &MemoryDisk, operations: usize) -> usize {
    disk.0.borrow_mut().operations_left = Some(operations);
    let Ok((mut store, _)) = open(disk) else { return 0 };
    record_batches()
        .into_iter()
        .take_while(|batch| store.append(batch.clone()).is_ok())
        .count()
}

#[test]
fn a_crash_after_any_disk_operation_loses_no_acknowledged_batch() {
    let states = states_after_batches(&record_batches());
    let mut has_appended_all = false;
    for operations in 0..80 {
        for kept_bytes in [0, 1, 5, 20, 1_000] {
            let disk = MemoryDisk::default();
            let acknowledged = append_until_failure(&disk, operations);
            has_appended_all |= acknowledged == states.len() - 1;
            disk.crash(kept_bytes);
            let (_, opened) = open(&disk)
                .unwrap_or_else(|error| panic!("{operations} operations, {kept_bytes} bytes kept: {error}"));
            let at = states.iter().position(|state| *state == opened.durable);
            let at = at
                .unwrap_or_else(|| panic!("{operations} operations, {kept_bytes} bytes kept: unknown state"));
            // The batch of the failed append may be durable without having been acknowledged.
            let is_expected = at == acknowledged || at == acknowledged + 1;
            assert!(
                is_expected,
                "{operations} operations, {kept_bytes} kept: recovered {at}, acknowledged {acknowledged}"
            );
        }
    }
    assert!(has_appended_all);
}

#[test]
fn records_of_one_batch_share_one_sync() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk).unwrap();
    let before = disk.0.borrow().syncs;
    let batch = record_batches()[2].iter().cycle().take(1_000).cloned().collect();
    store.append(batch).unwrap();
    assert_eq!(disk.0.borrow().syncs, before + 1);
}
