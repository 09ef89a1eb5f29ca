use std::{fmt, path::Path};

use eyre::{WrapErr, ensure};
use tonic::{Request, Status};

/// Shortest token, in bytes.
const MIN_BYTES: usize = 16;

/// Name of the metadata entry with the token.
const AUTHORIZATION: &str = "authorization";

/// The secret that operators send with each call. It is never printed.
#[derive(Clone)]
pub struct Token(String);

impl Token {
    /// Reads the token from the first line of the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or its token is shorter than 16 bytes.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading the operators' token from {}", path.display()))?;
        let token = text.lines().next().unwrap_or_default().trim();
        let shown = path.display();
        ensure!(
            token.len() >= MIN_BYTES,
            "the operators' token in {shown} is shorter than {MIN_BYTES} bytes"
        );
        Ok(Self(token.to_owned()))
    }

    /// Checks that `request` carries the token.
    ///
    /// # Errors
    ///
    /// Fails with `unauthenticated` if it does not.
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
    /// Fails if the token has characters that can't be sent.
    pub fn add_to<Body>(&self, request: &mut Request<Body>) -> Result<(), Status> {
        let value = format!("Bearer {}", self.0).parse();
        let value = value.map_err(|_| Status::internal("the operators' token can't be sent"))?;
        request.metadata_mut().insert(AUTHORIZATION, value);
        Ok(())
    }

    /// Compares without stopping at the first difference.
    fn equals(&self, given: &str) -> bool {
        let mut difference = self.0.len() ^ given.len();
        for (own, other) in self.0.bytes().zip(given.bytes()) {
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
