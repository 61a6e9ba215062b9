//! Search for the crash marker in a streamed body.

/// The marker that crashes an upstream when a path or body contains it.
pub const CRASH_MARKER: &str = "crash=1";

/// Finds the marker in a series of chunks, also across their boundaries.
#[derive(Clone, Debug, Default)]
pub struct MarkerScan {
    tail: Vec<u8>,
    found: bool,
}

impl MarkerScan {
    /// Examines the next chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        if self.found {
            return;
        }
        let keep = CRASH_MARKER.len() - 1;
        let head = &chunk[..chunk.len().min(keep)];
        self.tail.extend_from_slice(head);
        self.found = contains_marker(&self.tail) || contains_marker(chunk);
        if chunk.len() >= keep {
            self.tail.clear();
            self.tail.extend_from_slice(&chunk[chunk.len() - keep..]);
        } else {
            let excess = self.tail.len().saturating_sub(keep);
            self.tail.drain(..excess);
        }
    }

    /// Returns whether the marker has been seen.
    pub fn found(&self) -> bool {
        self.found
    }
}

fn contains_marker(bytes: &[u8]) -> bool {
    bytes.windows(CRASH_MARKER.len()).any(|window| window == CRASH_MARKER.as_bytes())
}
