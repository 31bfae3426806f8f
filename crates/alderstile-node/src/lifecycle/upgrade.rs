//! Upgrade: a new process (the successor) takes the node over from the running one (the predecessor).
//!
//! Until the predecessor ends, both processes act as one node and exchange messages on a private channel.
//! Each side takes a broken channel as the end of the other process: nothing depends on files or process ids,
//! which could outlive their process.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::{JoinSet, yield_now};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::connection_handover;
use super::list_sync::{CATCH_UP_TIME, UpdateTooLong};
use super::state_sync::StateSync;
use super::upgrade_channel::{MESSAGE_TIMEOUT, UpgradeChannel};
use super::upgrade_message::{MINOR_VERSION, UpgradeMessage};
use super::upgrade_state::UpgradeState;
use crate::config::NodeIdentity;
use crate::discovery::endpoint_list::server_id;
use crate::node::Node;
use crate::proxy::request_ids::IdDigest;

/// The version of the channel's messages; a process with another version is not joined.
const VERSION: u32 = 1;
/// Maximum length of a message: the state with its endpoint list and, from a process of minor version 0,
/// request ids that may each be as long as a client's line.
const MAX_MESSAGE_BYTES: u64 = 24 << 20;
/// Interval at which it is checked whether a value that is reported to the other process has changed.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The unit to which the reported memory in use is rounded up, in bytes.
const MEMORY_REPORT_STEP: usize = 64 << 10;
/// Number of ids of ended requests in a message.
const IDS_PER_MESSAGE: usize = 1024;
/// Delay before the next accept after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why the channel to another process is rejected or closed.
#[derive(Debug, Error)]
enum ChannelError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("timed out after {} ms", MESSAGE_TIMEOUT.as_millis())]
    Timeout,
    #[error("malformed message: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("message truncated or longer than {MAX_MESSAGE_BYTES} bytes")]
    Truncated,
    #[error("unsupported message version: expected {VERSION}, found {0}")]
    Version(u32),
    #[error("unexpected message")]
    UnexpectedMessage,
    #[error("the other process does not read: message queue full")]
    QueueFull,
    #[error(transparent)]
    UpdateTooLong(#[from] UpdateTooLong),
}

/// Another process is already taking over from the predecessor.
#[derive(Debug, Error)]
#[error("another process is already taking over this node")]
pub struct AlreadyJoined;

/// Returns the path of the channel's socket. The name is hashed, as the system limits the length of socket
/// paths.
fn socket_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("alderstile-{:016x}.sock", server_id(name).0))
}

/// The channel's stream, split into its two directions.
struct MessageStream {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl MessageStream {
    fn new(stream: UnixStream) -> Self {
        let (reader, writer) = stream.into_split();
        MessageStream { reader: BufReader::new(reader), writer }
    }

    async fn read_with_timeout(&mut self) -> Result<UpgradeMessage, ChannelError> {
        let message = timeout(MESSAGE_TIMEOUT, read(&mut self.reader)).await;
        message.map_err(|_| ChannelError::Timeout)??.ok_or(ChannelError::Truncated)
    }

    async fn write(&mut self, message: &UpgradeMessage) -> Result<(), ChannelError> {
        write(&mut self.writer, message).await
    }
}

/// Reads a message; returns `None` at the end of the stream.
async fn read(reader: &mut BufReader<OwnedReadHalf>) -> Result<Option<UpgradeMessage>, ChannelError> {
    let mut line = Vec::new();
    reader.take(MAX_MESSAGE_BYTES).read_until(b'\n', &mut line).await?;
    match line.last() {
        None => Ok(None),
        Some(b'\n') => Ok(Some(serde_json::from_slice(&line)?)),
        Some(_) => Err(ChannelError::Truncated),
    }
}

async fn write(writer: &mut OwnedWriteHalf, message: &UpgradeMessage) -> Result<(), ChannelError> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    timeout(MESSAGE_TIMEOUT, writer.write_all(&line)).await.map_err(|_| ChannelError::Timeout)??;
    Ok(())
}

/// The predecessor, joined but not yet replaced.
pub struct Predecessor {
    /// Its state at the time of joining.
    pub state: UpgradeState,
    stream: MessageStream,
}

/// Joins the running process of this node; returns `None` if there is none or it can't be joined.
///
/// # Errors
///
/// Fails if another process has already joined it.
pub async fn join(identity: &NodeIdentity) -> Result<Option<Predecessor>, AlreadyJoined> {
    let path = socket_path(&identity.dir, &identity.name);
    let stream = match UnixStream::connect(&path).await {
        Ok(stream) => stream,
        Err(error) => {
            if error.kind() != io::ErrorKind::NotFound {
                info!(path = %path.display(), %error, "upgrade socket not connected, no predecessor joined");
            }
            return Ok(None);
        }
    };
    let mut stream = MessageStream::new(stream);
    let error = match request_state(&mut stream).await {
        Ok(UpgradeMessage::AlreadyJoined) => return Err(AlreadyJoined),
        Ok(UpgradeMessage::State(state)) if state.version != VERSION => ChannelError::Version(state.version),
        Ok(UpgradeMessage::State(state)) if state.name == identity.name => {
            let (hosts, in_maintenance) = (state.endpoints.endpoints.len(), state.host_maintenance.len());
            info!(hosts, in_maintenance, "predecessor joined");
            return Ok(Some(Predecessor { state: *state, stream }));
        }
        Ok(_) => ChannelError::UnexpectedMessage,
        Err(error) => error,
    };
    warn!(%error, "predecessor not joined, starting from the configuration file");
    Ok(None)
}

async fn request_state(stream: &mut MessageStream) -> Result<UpgradeMessage, ChannelError> {
    stream.write(&UpgradeMessage::Join { version: VERSION, minor_version: MINOR_VERSION }).await?;
    stream.read_with_timeout().await
}

/// Sets the channel to the predecessor; the returned future exchanges messages until the predecessor ends.
pub fn exchange_with_predecessor(
    node: &Rc<Node>,
    predecessor: Predecessor,
) -> impl Future<Output = ()> + use<> {
    let Predecessor { state, stream } = predecessor;
    let (outgoing, messages) = mpsc::unbounded_channel();
    let channel = UpgradeChannel::to_predecessor(outgoing, state.descriptors_in_use, state.minor_version);
    node.process.set_other_process(Some(channel.clone()));
    let (node, sync) = (node.clone(), channel.accepts_updates().then(|| StateSync::new(node, CATCH_UP_TIME)));
    async move {
        exchange_messages(&node, &channel, sync.as_ref(), stream, messages).await;
        info!("upgrade channel to predecessor closed");
        node.process.predecessor_ended.notify_one();
    }
}

/// Accepts successors, at most one at a time.
pub async fn accept_successors(node: Rc<Node>) {
    let config = node.config();
    let Some(dir) = &config.state_dir else { return };
    let path = socket_path(dir, &config.name);
    // Removes the path even if a process that could not be joined still listens on it: successors join this
    // one.
    if let Err(error) = std::fs::remove_file(&path)
        && error.kind() != io::ErrorKind::NotFound
    {
        warn!(path = %path.display(), %error, "stale upgrade socket not removed");
    }
    let listener = match UnixListener::bind(&path) {
        Ok(listener) => listener,
        Err(error) => {
            return warn!(path = %path.display(), %error, "upgrade socket not bound, no successor can join");
        }
    };
    let mut successors = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                successors.spawn_local(serve_successor(node.clone(), MessageStream::new(stream)));
                // Drops the tasks that have finished.
                while successors.try_join_next().is_some() {}
            }
            Err(error) => {
                warn!(path = %path.display(), %error, "successor not accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_successor(node: Rc<Node>, mut stream: MessageStream) {
    let error = match stream.read_with_timeout().await {
        Ok(UpgradeMessage::Join { .. }) if node.process.other_process().is_some() => {
            warn!("third process rejected");
            // The third process ends even if it does not receive the message.
            return stream.write(&UpgradeMessage::AlreadyJoined).await.unwrap_or_default();
        }
        Ok(UpgradeMessage::Join { version: VERSION, minor_version }) => {
            match admit_successor(&node, stream, minor_version).await {
                Ok(()) => return,
                Err(error) => error,
            }
        }
        Ok(UpgradeMessage::Join { version, .. }) => ChannelError::Version(version),
        Ok(_) => ChannelError::UnexpectedMessage,
        Err(error) => error,
    };
    warn!(%error, "joining process rejected");
}

/// Sends this process's state to the successor and exchanges messages with it until it ends.
async fn admit_successor(
    node: &Node,
    mut stream: MessageStream,
    minor_version: u32,
) -> Result<(), ChannelError> {
    info!("successor joined");
    let (outgoing, messages) = mpsc::unbounded_channel();
    let channel = UpgradeChannel::to_successor(outgoing, minor_version);
    // Set first, so that messages queued from now on follow the state.
    node.process.set_other_process(Some(channel.clone()));
    let state = UpgradeMessage::State(Box::new(node.hand_over_state(VERSION)));
    let sync = channel.accepts_updates().then(|| StateSync::new(node, CATCH_UP_TIME));
    // The ids follow the state directly, so that the successor has received them before it accepts clients.
    let accepted = channel.reports_request_ends();
    let ended_ids = if accepted { node.clients.request_ids().ended() } else { Vec::new() };
    if let Err(error) = send_state(&mut stream, &state, ended_ids).await {
        node.process.set_other_process(None);
        node.decisions.record_list_changes(false);
        node.decisions.continue_without_successor();
        return Err(error);
    }
    exchange_messages(node, &channel, sync.as_ref(), stream, messages).await;
    node.decisions.continue_without_successor();
    info!("upgrade channel to successor closed, this process continues to serve");
    Ok(())
}

async fn send_state(
    stream: &mut MessageStream,
    state: &UpgradeMessage,
    ended_ids: Vec<IdDigest>,
) -> Result<(), ChannelError> {
    stream.write(state).await?;
    for ids in ended_ids.chunks(IDS_PER_MESSAGE) {
        stream.write(&UpgradeMessage::EndedIds(ids.to_vec())).await?;
    }
    Ok(())
}

/// Exchanges messages with the other process until the stream ends or fails, which is taken as the end of
/// that process.
async fn exchange_messages(
    node: &Node,
    channel: &UpgradeChannel,
    sync: Option<&StateSync>,
    stream: MessageStream,
    outgoing: mpsc::UnboundedReceiver<UpgradeMessage>,
) {
    let MessageStream { mut reader, writer } = stream;
    let receive = async {
        while let Some(message) = read(&mut reader).await? {
            on_message(node, channel, sync, message).await?;
        }
        Ok(())
    };
    let ended: Result<(), ChannelError> = tokio::select! {
        received = receive => received,
        sent = send_messages(node, channel, sync, writer, outgoing) => sent,
        () = channel.queue_full.notified() => Err(ChannelError::QueueFull),
    };
    if let Err(error) = ended {
        warn!(%error, "upgrade channel broken");
    }
    node.process.set_other_process(None);
    node.clients.request_ids().end_all_at_other_process();
    node.clients.memory().set_used_by_other_process(0);
    node.decisions.record_list_changes(false);
    node.decisions.on_other_process_ended();
    channel.close();
}

/// Sends queued messages, and the descriptors, the memory in use and the shared values whenever they have
/// changed.
async fn send_messages(
    node: &Node,
    channel: &UpgradeChannel,
    sync: Option<&StateSync>,
    mut writer: OwnedWriteHalf,
    mut outgoing: mpsc::UnboundedReceiver<UpgradeMessage>,
) -> Result<(), ChannelError> {
    let (mut sent_descriptors, mut sent_memory) = (None, None);
    loop {
        let descriptors = node.clients.descriptors_in_use();
        if sent_descriptors != Some(descriptors) {
            write(&mut writer, &UpgradeMessage::DescriptorsInUse(descriptors)).await?;
            sent_descriptors = Some(descriptors);
        }
        let memory = node.clients.memory().used().next_multiple_of(MEMORY_REPORT_STEP);
        if sent_memory != Some(memory) && channel.reports_request_ends() {
            write(&mut writer, &UpgradeMessage::MemoryInUse(memory)).await?;
            sent_memory = Some(memory);
        }
        let update = sync.and_then(|sync| sync.next_update(node));
        let max_wait = if update.is_some() { Duration::ZERO } else { CHANGE_CHECK_INTERVAL };
        match update {
            Some(update) => {
                write(&mut writer, &UpgradeMessage::Update(update)).await?;
                // A large list is sent in many parts: other tasks run in between.
                yield_now().await;
            }
            None if outgoing.is_empty() => channel.on_flushed(),
            None => {}
        }
        if let Ok(Some(message)) = timeout(max_wait, outgoing.recv()).await {
            channel.on_dequeued(&message);
            write(&mut writer, &message).await?;
        }
    }
}

async fn on_message(
    node: &Node,
    channel: &UpgradeChannel,
    sync: Option<&StateSync>,
    message: UpgradeMessage,
) -> Result<(), ChannelError> {
    match message {
        UpgradeMessage::DescriptorsInUse(descriptors) => channel.descriptors_in_use.set(descriptors),
        UpgradeMessage::MemoryInUse(bytes) => node.clients.memory().set_used_by_other_process(bytes),
        UpgradeMessage::Ready { number } => {
            channel.set_serves(true);
            info!("successor ready");
            channel.send(UpgradeMessage::Ack { number });
        }
        UpgradeMessage::ShareListener { number } => {
            if let Err(error) = share_listener(node).await {
                warn!(%error, "listener not shared");
            }
            channel.send(UpgradeMessage::Ack { number });
        }
        UpgradeMessage::HostMaintenance { number, host, state } => {
            node.admin.apply_maintenance_of_other_process(&host, state);
            channel.send(UpgradeMessage::Ack { number });
        }
        UpgradeMessage::RequestId(id) => node.clients.request_ids().remember(IdDigest::of(id.as_bytes())),
        UpgradeMessage::RequestClaimed(id) => node.clients.request_ids().open_at_other_process(id),
        UpgradeMessage::ClaimRequest { number, id } => {
            let granted = node.clients.request_ids().claim_for_other_process(id);
            channel.send(UpgradeMessage::ClaimAnswer { number, granted });
        }
        UpgradeMessage::ClaimAnswer { number, granted } => channel.on_claim_answer(number, granted),
        UpgradeMessage::RequestEnded(id) => node.clients.request_ids().end_at_other_process(id),
        UpgradeMessage::EndedIds(ids) => {
            ids.into_iter().for_each(|id| node.clients.request_ids().remember(id));
        }
        UpgradeMessage::Update(update) => {
            sync.ok_or(ChannelError::UnexpectedMessage)?.on_update(node, update)?;
        }
        UpgradeMessage::Leaving { number } => {
            channel.set_leaving();
            channel.send(UpgradeMessage::Ack { number });
        }
        UpgradeMessage::StoppedAccepting => channel.set_serves(false),
        UpgradeMessage::Ack { number } => channel.on_ack(number),
        UpgradeMessage::Join { .. } | UpgradeMessage::State(_) | UpgradeMessage::AlreadyJoined => {
            return Err(ChannelError::UnexpectedMessage);
        }
    }
    Ok(())
}

async fn share_listener(node: &Node) -> io::Result<()> {
    let listener = node.process.listener().ok_or(io::ErrorKind::NotConnected)?;
    connection_handover::share_listener(&connection_handover::connect(&node.config())?, &*listener).await
}
