use std::sync::atomic::{AtomicU64, Ordering};

/// Number of targets that one word of the map covers.
const WORD_BITS: usize = 64;

/// One word on a cache line of its own, so that threads that work on different words don't disturb each other.
#[derive(Debug, Default)]
#[repr(align(64))]
struct Word(AtomicU64);

/// One bit for each target: set if the target may have a free slot.
#[derive(Debug)]
pub(crate) struct FreeMap {
    words: Box<[Word]>,
}

impl FreeMap {
    /// Most targets of one table.
    pub const CAPACITY: usize = 4096;

    /// Creates a map in which no target has a free slot.
    pub fn new() -> Self {
        let words = (0..Self::CAPACITY / WORD_BITS).map(|_| Word::default()).collect();
        Self { words }
    }

    /// Returns the word with number `word`.
    pub fn load(&self, word: usize) -> u64 {
        self.words[word].0.load(Ordering::Acquire)
    }

    /// Sets or clears the bit of the target with `index`.
    pub fn set(&self, index: usize, is_free: bool) {
        let (word, mask) = position(index);
        if is_free {
            self.words[word].0.fetch_or(mask, Ordering::SeqCst);
        } else {
            self.words[word].0.fetch_and(!mask, Ordering::SeqCst);
        }
    }
}

/// Returns the word and the mask of the target with `index`.
pub(crate) const fn position(index: usize) -> (usize, u64) {
    (index / WORD_BITS, 1 << (index % WORD_BITS))
}

/// Returns the index of the target at `bit` of `word`.
pub(crate) const fn index_of(word: usize, bit: u32) -> usize {
    word * WORD_BITS + bit as usize
}
