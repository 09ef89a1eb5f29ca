use std::sync::atomic::{AtomicU64, Ordering};

/// Number of targets per word of the map.
const WORD_BITS: usize = 64;

/// One word of the map, aligned to a cache line to avoid false sharing between threads.
#[derive(Debug, Default)]
#[repr(align(64))]
struct Word(AtomicU64);

/// Bitmap of the targets that may have a free slot.
#[derive(Debug)]
pub(crate) struct FreeMap {
    words: Box<[Word]>,
}

impl FreeMap {
    /// Maximum number of targets.
    pub const CAPACITY: usize = 4096;

    /// Creates a map in which no target has a free slot.
    pub fn new() -> Self {
        let words = (0..Self::CAPACITY / WORD_BITS).map(|_| Word::default()).collect();
        Self { words }
    }

    /// Returns the word at index `word`.
    pub fn load_word(&self, word: usize) -> u64 {
        self.words[word].0.load(Ordering::Acquire)
    }

    /// Sets or clears the bit of the target at `index`.
    pub fn set(&self, index: usize, is_free: bool) {
        let (word, mask) = word_and_mask(index);
        if is_free {
            self.words[word].0.fetch_or(mask, Ordering::SeqCst);
        } else {
            self.words[word].0.fetch_and(!mask, Ordering::SeqCst);
        }
    }
}

/// Returns the word index and the bit mask of the target at `index`.
pub(crate) const fn word_and_mask(index: usize) -> (usize, u64) {
    (index / WORD_BITS, 1 << (index % WORD_BITS))
}

/// Returns the index of the target at `bit` of `word`.
pub(crate) const fn index_of(word: usize, bit: u32) -> usize {
    word * WORD_BITS + bit as usize
}
