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

/// Minimum length of a token.
const MIN_TOKEN_BYTES: usize = 16;

/// Name of the metadata entry that carries the token.
const AUTHORIZATION: &str = "authorization";

/// Interval between checks of the file for changes.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Bearer token that operators send with each call. Its secret is never printed.
#[derive(Clone)]
pub struct Token {
    path: PathBuf,
    initial_stamp: FileStamp,
    secret: Arc<ArcSwap<String>>,
}

impl Token {
    /// Reads the token from the first line of the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or its token is shorter than 16 bytes.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let initial_stamp = FileStamp::read(&[path]);
        let secret = Arc::new(ArcSwap::from_pointee(read_secret(path)?));
        Ok(Self {
            path: path.to_owned(),
            initial_stamp,
            secret,
        })
    }

    /// Reloads the token whenever its file changes, until `shutdown` is cancelled. If the new token is
    /// invalid, logs an error and keeps the former one in force.
    pub async fn watch(self, shutdown: CancellationToken) {
        let mut last_stamp = self.initial_stamp.clone();
        let mut interval = tokio::time::interval(FILE_CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = shutdown.cancelled() => return,
            }
            let stamp = FileStamp::read(&[&self.path]);
            if stamp == last_stamp {
                continue;
            }
            last_stamp = stamp;
            match read_secret(&self.path) {
                Ok(secret) => {
                    self.secret.store(Arc::new(secret));
                    log::info!("the new operators' token is in force");
                }
                Err(error) => log::error!("{error:#}; the former token stays in force"),
            }
        }
    }

    /// Checks that `request` carries the token.
    ///
    /// # Errors
    ///
    /// Returns `unauthenticated` if it carries no token or another one.
    pub fn check<Body>(&self, request: Request<Body>) -> Result<Request<Body>, Status> {
        let header = request.metadata().get(AUTHORIZATION);
        let token = header
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        match token {
            Some(token) if self.equals(token) => Ok(request),
            _ => Err(Status::unauthenticated("a valid operators' token is required")),
        }
    }

    /// Adds the token to `request`.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the token contains characters that are not allowed in metadata.
    pub fn add_to<Body>(&self, request: &mut Request<Body>) -> Result<(), Status> {
        let value = format!("Bearer {}", self.secret.load()).parse();
        let value = value.map_err(|_| {
            Status::internal("the operators' token contains characters that are not allowed in metadata")
        })?;
        request.metadata_mut().insert(AUTHORIZATION, value);
        Ok(())
    }

    /// Compares `token` with the secret. Compares all bytes, so that the time taken does not depend on the
    /// position of the first difference.
    fn equals(&self, token: &str) -> bool {
        let secret = self.secret.load();
        let mut difference = secret.len() ^ token.len();
        for (own, other) in secret.bytes().zip(token.bytes()) {
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
    let path_display = path.display();
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("reading the operators' token from {path_display}"))?;
    let secret = text.lines().next().unwrap_or_default().trim();
    ensure!(
        secret.len() >= MIN_TOKEN_BYTES,
        "the operators' token in {path_display} is shorter than {MIN_TOKEN_BYTES} bytes"
    );
    Ok(secret.to_owned())
}
