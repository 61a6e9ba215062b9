//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{self, BufWriter, Write as _};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { file, start: Instant::now() })
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.seconds());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{:9.3} {text}", self.seconds());
        let _ = self.file.lock().unwrap().flush();
    }
}
