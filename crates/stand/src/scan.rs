//! A search for the crash marker in a body that arrives in chunks.

/// The marker that crashes an upstream when the query or the body of a request contains it.
pub const CRASH_MARKER: &str = "crash=1";

/// Finds the marker in a series of chunks, even if it is split between them.
#[derive(Clone, Debug, Default)]
pub struct MarkerScan {
    tail: Vec<u8>,
    found: bool,
}

impl MarkerScan {
    /// Searches the next chunk and its boundary with the previous one.
    pub fn push(&mut self, chunk: &[u8]) {
        if self.found {
            return;
        }
        let overlap = CRASH_MARKER.len() - 1;
        let start = &chunk[..chunk.len().min(overlap)];
        self.tail.extend_from_slice(start);
        self.found = contains_marker(&self.tail) || contains_marker(chunk);
        if chunk.len() >= overlap {
            self.tail.clear();
            self.tail.extend_from_slice(&chunk[chunk.len() - overlap..]);
        } else {
            let excess = self.tail.len().saturating_sub(overlap);
            self.tail.drain(..excess);
        }
    }

    /// Returns whether the chunks so far contain the marker.
    pub fn found(&self) -> bool {
        self.found
    }
}

fn contains_marker(bytes: &[u8]) -> bool {
    bytes.windows(CRASH_MARKER.len()).any(|window| window == CRASH_MARKER.as_bytes())
}
