//! Memory for a part of a body.

use memmap2::MmapMut;

/// Parts of at least this many bytes get pages of their own, which the system takes back as soon as they are freed and
/// provides only as far as they are written. The allocator may keep freed memory for later use.
const MIN_MAPPED_BYTES: usize = 256 << 10;

/// Memory of a fixed capacity that is filled from its beginning.
#[derive(Debug)]
pub(crate) enum Storage {
    /// Memory of the allocator.
    Heap(Vec<u8>),
    /// Pages of its own, of which the first `len` bytes are filled.
    Pages { pages: MmapMut, len: usize },
}

impl Storage {
    /// Allocates memory for this many bytes; `None` if the system has none.
    pub(crate) fn allocate(capacity: usize) -> Option<Self> {
        if capacity < MIN_MAPPED_BYTES {
            return Some(Self::Heap(Vec::with_capacity(capacity)));
        }
        Some(Self::Pages { pages: MmapMut::map_anon(capacity).ok()?, len: 0 })
    }

    /// Appends as many of the bytes as fit and returns the rest.
    pub(crate) fn fill<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        match self {
            Self::Heap(buffer) => {
                let (fitting, rest) = bytes.split_at(bytes.len().min(buffer.capacity() - buffer.len()));
                buffer.extend_from_slice(fitting);
                rest
            }
            Self::Pages { pages, len } => {
                let (fitting, rest) = bytes.split_at(bytes.len().min(pages.len() - *len));
                pages[*len..*len + fitting.len()].copy_from_slice(fitting);
                *len += fitting.len();
                rest
            }
        }
    }
}

impl AsRef<[u8]> for Storage {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Heap(buffer) => buffer,
            Self::Pages { pages, len } => &pages[..*len],
        }
    }
}
