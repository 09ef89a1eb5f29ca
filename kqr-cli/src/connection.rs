use std::{net::SocketAddr, path::PathBuf, time::Duration};

use kqr_settings::{Answer, Change, Command, Tree, Update, Version};
use kqr_wire::control::{
    MessageError, change_request, connect,
    messages::{
        ChangeReply, HistoryReply, HistoryRequest, StatusReply, StatusRequest, TreeReply, TreeRequest,
        VotersRequest, operators_client::OperatorsClient, voters_request,
    },
};
use tonic::{Request, Response, Status, transport::Channel};

use crate::{Failure, FailureKind, Format};

type Client = OperatorsClient<Channel>;

/// Largest reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Where and how the control instances are called.
#[derive(Clone, Debug, clap::Args)]
pub struct ConnectionOptions {
    /// Operators' listener of a control instance; give several, separated by commas, and the first that answers is used.
    #[arg(long = "server", env = "KQR_SERVERS", global = true, value_delimiter = ',')]
    pub servers: Vec<SocketAddr>,
    /// File with the operators' token.
    #[arg(long, env = "KQR_TOKEN_FILE", global = true)]
    pub token_file: Option<PathBuf>,
    /// Longest time for a call, in seconds.
    #[arg(long, global = true, default_value_t = 8)]
    pub timeout: u64,
    /// Takes settings as the first reachable instance has them, without asking a quorum.
    #[arg(long, global = true)]
    pub stale: bool,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: Format,
}

/// The settings at one version.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Version.
    pub version: Version,
    /// The settings.
    pub tree: Tree,
}

/// Calls to the control instances.
#[derive(Debug)]
pub struct Connection {
    servers: Vec<SocketAddr>,
    token: String,
    timeout: Duration,
    is_stale_allowed: bool,
}

impl Connection {
    /// Prepares calls as `options` say.
    ///
    /// # Errors
    ///
    /// Fails if no server or token is given or the token can't be read.
    pub fn new(options: &ConnectionOptions) -> Result<Self, Failure> {
        if options.servers.is_empty() {
            let detail = "give --server or KQR_SERVERS".to_owned();
            return Err(Failure::local("choosing a control instance", detail));
        }
        let step = "reading the token file";
        let Some(path) = &options.token_file else {
            return Err(Failure {
                kind: FailureKind::Unauthenticated,
                ..Failure::local(step, "give --token-file or KQR_TOKEN_FILE".to_owned())
            });
        };
        let text = std::fs::read_to_string(path)
            .map_err(|error| Failure::local(step, format!("{}: {error}", path.display())))?;
        Ok(Self {
            servers: options.servers.clone(),
            token: text.lines().next().unwrap_or_default().trim().to_owned(),
            timeout: Duration::from_secs(options.timeout),
            is_stale_allowed: options.stale,
        })
    }

    /// Returns the listeners that are called.
    pub fn servers(&self) -> &[SocketAddr] {
        &self.servers
    }

    /// Returns the settings at `at`, or the highest accepted ones; with `--stale`, what one instance has.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers, or none with a quorum if that is needed.
    pub async fn tree(&self, at: Option<Version>) -> Result<Snapshot, Failure> {
        const STEP: &str = "reading the settings";
        let body = TreeRequest {
            at: at.map(|version| version.0),
            needs_confirmation: !self.is_stale_allowed,
        };
        let call = async |mut client: Client, request| client.tree(request).await;
        let reply: TreeReply = self.first_answer(STEP, body, call).await?;
        let update: Update = parsed(STEP, reply.update.unwrap_or_default())?;
        let tree = update.apply(Version(0), &Tree::default());
        Ok(Snapshot {
            version: update.version,
            tree: tree.map_err(|error| Failure::local(STEP, error.to_string()))?,
        })
    }

    /// Asks for `command` at one server after the other until there is an answer.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers. The same command can be sent again.
    pub async fn change(&self, command: Command) -> Result<Answer, Failure> {
        const STEP: &str = "changing the settings";
        let call = async |mut client: Client, request| client.change(request).await;
        let reply: ChangeReply = self.first_answer(STEP, change_request(command), call).await?;
        parsed(STEP, reply)
    }

    /// Returns the newest `limit` changes after `since`, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if no instance answers.
    pub async fn history(&self, since: Version, limit: u32) -> Result<Vec<Change>, Failure> {
        const STEP: &str = "reading the history";
        let body = HistoryRequest {
            since: since.0,
            limit,
        };
        let call = async |mut client: Client, request| client.history(request).await;
        let reply: HistoryReply = self.first_answer(STEP, body, call).await?;
        let mut changes = Vec::with_capacity(reply.changes.len());
        for entry in reply.changes {
            changes.push(parsed(STEP, entry)?);
        }
        Ok(changes)
    }

    /// Changes one voter of the settings log.
    ///
    /// # Errors
    ///
    /// Fails if no instance accepts the change; only the leader does.
    pub async fn change_voters(&self, change: voters_request::Change) -> Result<(), Failure> {
        let body = VotersRequest { change: Some(change) };
        let call = async |mut client: Client, request| client.change_voters(request).await;
        self.first_answer("changing the voters", body, call).await?;
        Ok(())
    }

    /// Returns the state of the instance that listens at `server`.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not answer.
    pub async fn status(&self, server: SocketAddr) -> Result<StatusReply, Failure> {
        const STEP: &str = "reading the state";
        let reply = match client(server).await {
            Ok(mut client) => client.status(self.request(StatusRequest {})?).await,
            Err(status) => Err(status),
        };
        reply
            .map(Response::into_inner)
            .map_err(|status| failure_at(STEP, server, &status))
    }

    /// Calls one server after the other until one gives an answer that the others would give too.
    async fn first_answer<Body, Call, Reply>(
        &self,
        step: &'static str,
        body: Body,
        call: Call,
    ) -> Result<Reply, Failure>
    where
        Body: Clone,
        Call: AsyncFn(Client, Request<Body>) -> Result<Response<Reply>, Status>,
    {
        let mut last = None;
        for &server in &self.servers {
            let reply = match client(server).await {
                Ok(client) => call(client, self.request(body.clone())?).await,
                Err(status) => Err(status),
            };
            let status = match reply {
                Ok(reply) => return Ok(reply.into_inner()),
                Err(status) => status,
            };
            let failure = failure_at(step, server, &status);
            if !failure.may_differ_elsewhere() {
                return Err(failure);
            }
            last = Some(failure);
        }
        Err(last.unwrap_or_else(|| Failure::local(step, "no server is given".to_owned())))
    }

    fn request<Body>(&self, body: Body) -> Result<Request<Body>, Failure> {
        let mut request = Request::new(body);
        request.set_timeout(self.timeout);
        let header = format!("Bearer {}", self.token).parse();
        let header = header.map_err(|_| Failure {
            kind: FailureKind::Unauthenticated,
            ..Failure::local(
                "reading the token file",
                "the token has characters that can't be sent".to_owned(),
            )
        })?;
        request.metadata_mut().insert("authorization", header);
        Ok(request)
    }
}

async fn client(server: SocketAddr) -> Result<Client, Status> {
    let client = OperatorsClient::new(connect(server).await?);
    Ok(client
        .max_decoding_message_size(MAX_REPLY_BYTES)
        .max_encoding_message_size(MAX_REPLY_BYTES))
}

fn failure_at(step: &'static str, server: SocketAddr, status: &Status) -> Failure {
    let mut failure = Failure::call(step, &server.to_string(), status);
    if status.message().starts_with("connecting to ") {
        failure.kind = FailureKind::Unreachable;
    }
    failure
}

fn parsed<Wire, Value>(step: &'static str, message: Wire) -> Result<Value, Failure>
where
    Value: TryFrom<Wire, Error = MessageError>,
{
    let value = Value::try_from(message);
    value.map_err(|error| Failure::local(step, error.to_string()))
}
