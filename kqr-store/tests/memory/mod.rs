//! An in-memory disk that loses unsynced data in a crash, runs full, and fails after a given number of
//! operations.
#![allow(dead_code, clippy::unwrap_used, clippy::missing_panics_doc)]

use std::{cell::RefCell, collections::BTreeMap, io, rc::Rc};

use kqr_agreement::{Configuration, DurableState, Entry, Index, Payload, Record, Snapshot, Term, VoterId};
use kqr_store::{AppendFile, Disk, Owner};
use kqr_types::Incarnation;

#[derive(Default)]
pub struct State {
    /// Content and synced length of each file, also of those without a name.
    pub files: Vec<(Vec<u8>, usize)>,
    pub names: BTreeMap<String, usize>,
    pub synced_names: BTreeMap<String, usize>,
    /// Bytes that can be written before the disk is full; unlimited if `None`.
    pub free_bytes: Option<usize>,
    /// Operations that succeed before all further ones fail; unlimited if `None`.
    pub operations_left: Option<usize>,
    pub syncs: usize,
}

#[derive(Clone, Default)]
pub struct MemoryDisk(pub Rc<RefCell<State>>);

pub struct MemoryFile(Rc<RefCell<State>>, usize);

impl State {
    fn count_operation(&mut self) -> io::Result<()> {
        let Some(operations) = &mut self.operations_left else {
            return Ok(());
        };
        if *operations == 0 {
            return Err(io::Error::other("injected failure"));
        }
        *operations -= 1;
        Ok(())
    }
}

impl MemoryDisk {
    pub fn content(&self, name: &str) -> Vec<u8> {
        let state = self.0.borrow();
        state.files[state.names[name]].0.clone()
    }

    pub fn with_content(&self, name: &str, content: Vec<u8>) -> Self {
        let copy = Self::default();
        for other in self.0.borrow().names.keys() {
            copy.put(other, self.content(other));
        }
        copy.put(name, content);
        copy
    }

    fn put(&self, name: &str, content: Vec<u8>) {
        let mut state = self.0.borrow_mut();
        let length = content.len();
        state.files.push((content, length));
        let file = state.files.len() - 1;
        state.names.insert(name.to_owned(), file);
        state.synced_names.insert(name.to_owned(), file);
    }

    /// Drops what was not synced, except for the first `kept_bytes` of each file's unsynced end.
    pub fn crash(&self, kept_bytes: usize) {
        let mut state = self.0.borrow_mut();
        state.names = state.synced_names.clone();
        for (content, synced) in &mut state.files {
            content.truncate(*synced + kept_bytes);
            *synced = content.len();
        }
        state.operations_left = None;
        state.free_bytes = None;
    }
}

impl Disk for MemoryDisk {
    type File = MemoryFile;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.0.borrow();
        let file = state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(state.files[*file].0.clone())
    }

    fn create(&self, name: &str) -> io::Result<MemoryFile> {
        let mut state = self.0.borrow_mut();
        state.count_operation()?;
        state.files.push((Vec::new(), 0));
        let file = state.files.len() - 1;
        state.names.insert(name.to_owned(), file);
        Ok(MemoryFile(Rc::clone(&self.0), file))
    }

    fn open_truncated(&self, name: &str, length: u64) -> io::Result<MemoryFile> {
        let mut state = self.0.borrow_mut();
        let file = state.names[name];
        state.files[file].0.truncate(length as usize);
        state.files[file].1 = length as usize;
        Ok(MemoryFile(Rc::clone(&self.0), file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_operation()?;
        let file = state.names.remove(from).unwrap();
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_operation()?;
        state.names.remove(name);
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_operation()?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}

impl AppendFile for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_operation()?;
        let written = state.free_bytes.map_or(bytes.len(), |free| free.min(bytes.len()));
        state.free_bytes = state.free_bytes.map(|free| free - written);
        state.files[self.1].0.extend_from_slice(&bytes[..written]);
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.count_operation()?;
        state.syncs += 1;
        let length = state.files[self.1].0.len();
        state.files[self.1].1 = length;
        Ok(())
    }
}

pub fn owner(instance: &str) -> Owner {
    Owner {
        log: "settings".to_owned(),
        instance: instance.parse().unwrap(),
    }
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Command(format!("command {index} of term {term}").into_bytes());
    Entry {
        index: Index(index),
        term: Term(term),
        payload,
    }
}

/// Returns batches with votes, appended and replaced entries, a snapshot, and records after the snapshot.
pub fn record_batches() -> Vec<Vec<Record>> {
    let id = VoterId::new("i0".parse().unwrap(), Incarnation(1));
    let snapshot = Snapshot {
        index: Index(2),
        term: Term(1),
        configuration: Configuration::of_voters([id.clone()]),
        state: b"state".to_vec(),
    };
    vec![
        vec![Record::Vote {
            term: Term(1),
            voted_for: Some(id),
        }],
        vec![
            Record::Append(vec![entry(1, 1), entry(2, 1)]),
            Record::Append(vec![entry(3, 1)]),
        ],
        vec![
            Record::Vote {
                term: Term(2),
                voted_for: None,
            },
            Record::Append(vec![entry(3, 2)]),
        ],
        vec![Record::Snapshot(snapshot)],
        vec![Record::Append(vec![entry(4, 2)])],
        vec![Record::Vote {
            term: Term(3),
            voted_for: None,
        }],
    ]
}

/// Returns the initial state and the state after each batch.
pub fn states_after_batches(batches: &[Vec<Record>]) -> Vec<DurableState> {
    let mut states = vec![DurableState::default()];
    for batch in batches {
        let mut state = states.last().unwrap().clone();
        batch.iter().cloned().for_each(|record| state.apply(record));
        states.push(state);
    }
    states
}
