use std::{
    fmt,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use eyre::{WrapErr, ensure};
use kqr_tls::FileStamp;
use tokio_util::sync::CancellationToken;
use tonic::{Request, Status};

/// Shortest token, in bytes.
const MIN_BYTES: usize = 16;

/// Name of the metadata entry with the token.
const AUTHORIZATION: &str = "authorization";

/// Time between two looks at the file.
const CHECK_EVERY: Duration = Duration::from_secs(2);

/// The secret that operators send with each call. It is never printed.
#[derive(Clone)]
pub struct Token {
    path: PathBuf,
    first_stamp: FileStamp,
    secret: Arc<ArcSwap<String>>,
}

impl Token {
    /// Reads the token from the first line of the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or its token is shorter than 16 bytes.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let first_stamp = FileStamp::of(&[path]);
        let secret = Arc::new(ArcSwap::from_pointee(read_secret(path)?));
        Ok(Self {
            path: path.to_owned(),
            first_stamp,
            secret,
        })
    }

    /// Reads the token anew whenever its file changes, until `shutdown`. A token that can't be used is told in the
    /// log, and the former one stays in force.
    pub async fn watch(self, shutdown: CancellationToken) {
        let mut seen = self.first_stamp.clone();
        let mut checks = tokio::time::interval(CHECK_EVERY);
        loop {
            tokio::select! {
                _ = checks.tick() => {}
                () = shutdown.cancelled() => return,
            }
            let present = FileStamp::of(&[&self.path]);
            if present == seen {
                continue;
            }
            seen = present;
            match read_secret(&self.path) {
                Ok(secret) => {
                    self.secret.store(Arc::new(secret));
                    log::info!("the changed operators' token is in force");
                }
                Err(error) => log::error!("{error:#}; the former token stays in force"),
            }
        }
    }

    /// Checks that `request` carries the token.
    ///
    /// # Errors
    ///
    /// Returns `unauthenticated` if it does not.
    pub fn check<Body>(&self, request: Request<Body>) -> Result<Request<Body>, Status> {
        let header = request.metadata().get(AUTHORIZATION);
        let given = header
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        match given {
            Some(given) if self.equals(given) => Ok(request),
            _ => Err(Status::unauthenticated("a valid operators' token is required")),
        }
    }

    /// Adds the token to `request`.
    ///
    /// # Errors
    ///
    /// Returns an error if the token has characters that can't be sent.
    pub fn add_to<Body>(&self, request: &mut Request<Body>) -> Result<(), Status> {
        let value = format!("Bearer {}", self.secret.load()).parse();
        let value = value.map_err(|_| Status::internal("the operators' token can't be sent"))?;
        request.metadata_mut().insert(AUTHORIZATION, value);
        Ok(())
    }

    /// Compares without stopping at the first difference.
    fn equals(&self, given: &str) -> bool {
        let secret = self.secret.load();
        let mut difference = secret.len() ^ given.len();
        for (own, other) in secret.bytes().zip(given.bytes()) {
            difference |= usize::from(own ^ other);
        }
        difference == 0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Reads the first line of the file at `path`.
fn read_secret(path: &Path) -> eyre::Result<String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("reading the operators' token from {shown}"))?;
    let secret = text.lines().next().unwrap_or_default().trim();
    ensure!(
        secret.len() >= MIN_BYTES,
        "the operators' token in {shown} is shorter than {MIN_BYTES} bytes"
    );
    Ok(secret.to_owned())
}
