use std::{net::SocketAddr, sync::Arc};

use eyre::WrapErr;
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    announcer,
    api::{self, Standin},
    options::Options,
};

/// A running stand-in.
#[derive(Debug)]
pub struct Running {
    /// Address of its listener.
    pub address: SocketAddr,
    /// Its state.
    pub standin: Arc<Standin>,
    shutdown: CancellationToken,
    announcer: JoinHandle<()>,
    served: JoinHandle<bool>,
}

impl Running {
    /// Opens the listener and starts to announce.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be opened.
    pub async fn start(options: Options) -> eyre::Result<Self> {
        let listener = TcpListener::bind(options.listen).await;
        let listener = listener.wrap_err_with(|| format!("listening on {}", options.listen))?;
        let address = listener.local_addr().wrap_err("reading the own address")?;
        let standin = Arc::new(Standin::new(options, address));
        let shutdown = CancellationToken::new();
        let announcer = tokio::spawn(announcer::run(Arc::clone(&standin), shutdown.clone()));
        let handler = {
            let standin = Arc::clone(&standin);
            move |req, peer| api::handle(Arc::clone(&standin), req, peer)
        };
        let options = kqr_http::ServerOptions::default();
        let served = tokio::spawn(kqr_http::serve(listener, options, shutdown.clone(), handler));
        Ok(Self {
            address,
            standin,
            shutdown,
            announcer,
            served,
        })
    }

    /// Announces that the target leaves and ends the open exchanges.
    pub async fn close(self) {
        self.shutdown.cancel();
        let _ = self.announcer.await;
        let _ = self.served.await;
    }

    /// Ends at once, as a target that dies.
    pub fn kill(self) {
        self.announcer.abort();
        self.served.abort();
    }
}
