use std::{
    fs::{self, File, OpenOptions},
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
};

use kqr_types::ByteSize;

/// Bounds of a rotated file.
#[derive(Clone, Copy, Debug)]
pub struct RotationOptions {
    /// Size from which a file is rotated.
    pub max_file_bytes: ByteSize,
    /// Number of rotated files that are kept beside the present one.
    pub kept_files: u32,
}

impl Default for RotationOptions {
    fn default() -> Self {
        Self {
            max_file_bytes: ByteSize(64 << 20),
            kept_files: 3,
        }
    }
}

/// A file that is renamed to `PATH.1` when it is full; older files move on to `PATH.2` and so on, and the oldest is deleted.
#[derive(Debug)]
pub struct RotatingFile {
    path: PathBuf,
    options: RotationOptions,
    written: u64,
    out: BufWriter<File>,
}

impl RotatingFile {
    /// Opens the file for appending. A torn last line of an earlier process is ended first.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn open(path: &Path, options: RotationOptions) -> io::Result<Self> {
        let is_torn = is_torn(path)?;
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let written = file.metadata()?.len();
        let mut opened = Self {
            path: path.to_owned(),
            options,
            written,
            out: BufWriter::new(file),
        };
        if is_torn {
            opened.write_line(b"")?;
        }
        Ok(opened)
    }

    /// Writes a line, after rotating the file if it is full.
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

    /// Hands what was written to the operating system.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }

    fn rotate(&mut self) -> io::Result<()> {
        self.out.flush()?;
        for number in (1..self.options.kept_files).rev() {
            let (from, to) = (self.numbered(number), self.numbered(number + 1));
            if from.exists() {
                fs::rename(from, to)?;
            }
        }
        if self.options.kept_files > 0 {
            fs::rename(&self.path, self.numbered(1))?;
        }
        let mut options = OpenOptions::new();
        options.create(true).write(true).truncate(true);
        self.out = BufWriter::new(options.open(&self.path)?);
        self.written = 0;
        Ok(())
    }

    fn numbered(&self, number: u32) -> PathBuf {
        let mut name = self.path.clone().into_os_string();
        name.push(format!(".{number}"));
        PathBuf::from(name)
    }
}

fn is_torn(path: &Path) -> io::Result<bool> {
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
