use std::sync::Arc;

use futures::StreamExt;
use kqr_agreement::{Message, VoterId};
use kqr_fleet::{
    CatalogVersion, Evacuation, PackedCatalog, ReportReceipt, SyncReply, SyncRequest, TargetReport,
};
use kqr_types::InstanceId;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;

use super::{ControlCallFailure, ControlHandle};
use crate::{discovery::KnownEntries, rpc::ControlRpc, transport::framed};

/// RPC service of a control instance for other instances.
#[derive(Clone, Debug)]
pub(super) struct ControlService {
    handle: ControlHandle,
    entries: Arc<KnownEntries>,
}

impl ControlRpc for ControlService {
    async fn deliver(self, _: Context, from: VoterId, messages: Vec<Message>) {
        for message in messages {
            self.handle.deliver(from.clone(), message);
        }
    }

    async fn join(self, _: Context, voter: VoterId) -> Option<InstanceId> {
        self.handle.join(voter).await
    }

    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        self.entries.record(&request.entry);
        self.handle.sync(request).await
    }

    async fn replace_catalog(
        self,
        _: Context,
        catalog: PackedCatalog,
    ) -> Result<CatalogVersion, ControlCallFailure> {
        let catalog = catalog.unpack().map_err(|error| {
            log::warn!("a forwarded catalog can't be unpacked: {error}");
            ControlCallFailure::no_answer()
        })?;
        self.handle.replace_catalog_locally(Box::new(catalog)).await
    }

    async fn newest_catalog(self, _: Context) -> Result<Option<PackedCatalog>, ControlCallFailure> {
        let newest = self.handle.newest_catalog_locally().await?;
        let packed = newest.map(|catalog| PackedCatalog::pack(&catalog)).transpose();
        packed.map_err(|error| {
            log::warn!("the catalog can't be packed: {error}");
            ControlCallFailure::no_answer()
        })
    }

    async fn report(self, _: Context, report: TargetReport) -> Result<ReportReceipt, ControlCallFailure> {
        self.handle.report_locally(report).await
    }

    async fn evacuate(self, _: Context, evacuation: Evacuation) -> Result<(), ControlCallFailure> {
        self.handle.evacuate_locally(evacuation).await
    }
}

/// Serves other instances on `listener`.
pub(super) async fn serve(listener: TcpListener, handle: ControlHandle, entries: Arc<KnownEntries>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a connection of another instance: {error}");
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("disabling Nagle's algorithm for a connection of another instance: {error}");
        }
        let service = ControlService {
            handle: handle.clone(),
            entries: Arc::clone(&entries),
        };
        let channel = BaseChannel::with_defaults(framed(stream));
        let calls = channel.execute(service.serve()).for_each(|call| async move {
            tokio::spawn(call);
        });
        tokio::spawn(calls);
    }
}
