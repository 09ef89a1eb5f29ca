use std::{
    fs::{self, File, OpenOptions},
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
};

use kqr_types::ByteSize;

/// Limits of a rotated file.
#[derive(Clone, Copy, Debug)]
pub struct RotationOptions {
    /// Size at which the file is rotated.
    pub max_file_bytes: ByteSize,
    /// Number of rotated files kept in addition to the current one.
    pub max_rotated_files: u32,
}

impl Default for RotationOptions {
    fn default() -> Self {
        Self {
            max_file_bytes: ByteSize(64 << 20),
            max_rotated_files: 3,
        }
    }
}

/// A file that is renamed to `PATH.1` when it is full; older files are renamed to `PATH.2` and so on, and the oldest is
/// deleted.
#[derive(Debug)]
pub struct RotatingFile {
    path: PathBuf,
    options: RotationOptions,
    written: u64,
    out: BufWriter<File>,
}

impl RotatingFile {
    /// Opens the file for appending. An incomplete last line left by an earlier process is terminated first.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn open(path: &Path, options: RotationOptions) -> io::Result<Self> {
        let ends_within_line = ends_within_line(path)?;
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let written = file.metadata()?.len();
        let mut opened = Self {
            path: path.to_owned(),
            options,
            written,
            out: BufWriter::new(file),
        };
        if ends_within_line {
            opened.write_line(b"")?;
        }
        Ok(opened)
    }

    /// Writes a line, rotating the file first if it is full.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written or rotated.
    pub fn write_line(&mut self, line: &[u8]) -> io::Result<()> {
        if self.written > 0 && self.written + line.len() as u64 >= self.options.max_file_bytes.0 {
            self.rotate()?;
        }
        self.out.write_all(line)?;
        self.out.write_all(b"\n")?;
        self.written += line.len() as u64 + 1;
        Ok(())
    }

    /// Flushes buffered lines to the operating system.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }

    fn rotate(&mut self) -> io::Result<()> {
        self.out.flush()?;
        for number in (1..self.options.max_rotated_files).rev() {
            let (from, to) = (self.rotated_path(number), self.rotated_path(number + 1));
            if from.exists() {
                fs::rename(from, to)?;
            }
        }
        if self.options.max_rotated_files > 0 {
            fs::rename(&self.path, self.rotated_path(1))?;
        }
        let mut options = OpenOptions::new();
        options.create(true).write(true).truncate(true);
        self.out = BufWriter::new(options.open(&self.path)?);
        self.written = 0;
        Ok(())
    }

    fn rotated_path(&self, number: u32) -> PathBuf {
        let mut name = self.path.clone().into_os_string();
        name.push(format!(".{number}"));
        PathBuf::from(name)
    }
}

fn ends_within_line(path: &Path) -> io::Result<bool> {
    use std::io::{Read, Seek, SeekFrom};
    let mut file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
        Err(error) => return Err(error),
    };
    if file.metadata()?.len() == 0 {
        return Ok(false);
    }
    file.seek(SeekFrom::End(-1))?;
    let mut last = [0];
    file.read_exact(&mut last)?;
    Ok(last != *b"\n")
}
