//! Upgrade: a process that is started beside the one that serves (its predecessor) takes the node over from it. Until the
//! predecessor ends both are one node, and exchange messages on a private channel.
//!
//! A channel that breaks tells each side that the other process has ended: nothing depends on files or process numbers that
//! outlive their process.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::connection_handover;
use super::upgrade_channel::{MESSAGE_TIMEOUT, UpgradeChannel, UpgradeMessage};
use super::upgrade_state::UpgradeState;
use crate::config::NodeIdentity;
use crate::discovery::endpoint_list::server_id;
use crate::node::Node;

/// The version of the channel's messages; a process that has another one is not joined.
const VERSION: u32 = 1;
/// The longest message: an endpoint list, and ids that may each be as long as a client's line.
const MAX_MESSAGE_BYTES: u64 = 24 << 20;
/// How often it is checked whether the number of descriptors in use has changed.
const DESCRIPTOR_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long accepting processes pauses after an error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Why the channel to another process can't be used.
#[derive(Debug, Error)]
enum ChannelError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("no message within {} ms", MESSAGE_TIMEOUT.as_millis())]
    Timeout,
    #[error("a malformed message: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("a message that is cut off or too long")]
    Truncated,
    #[error("version {0}, not {VERSION}")]
    Version(u32),
    #[error("a message out of turn")]
    OutOfTurn,
}

/// Another process takes the node over already.
#[derive(Debug, Error)]
#[error("another process is already taking over from the one that serves")]
pub struct AlreadyJoined;

/// The path of the channel's socket; a short one, since the system allows no long ones.
fn socket_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("alderstile-{:016x}.sock", server_id(name).0))
}

/// Both directions of the channel's stream.
struct MessageStream {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl MessageStream {
    fn new(stream: UnixStream) -> Self {
        let (reader, writer) = stream.into_split();
        MessageStream { reader: BufReader::new(reader), writer }
    }

    async fn read_in_time(&mut self) -> Result<UpgradeMessage, ChannelError> {
        let message = timeout(MESSAGE_TIMEOUT, read(&mut self.reader)).await;
        message.map_err(|_| ChannelError::Timeout)??.ok_or(ChannelError::Truncated)
    }

    async fn write(&mut self, message: &UpgradeMessage) -> Result<(), ChannelError> {
        write(&mut self.writer, message).await
    }
}

/// Reads a message; none at the stream's end.
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

/// The process that serves, before this one takes the node over from it.
pub struct Predecessor {
    /// Its state.
    pub state: UpgradeState,
    stream: MessageStream,
}

/// Joins the process of this node that serves; none where there is none, or none that can be joined.
///
/// # Errors
///
/// Another process has joined it already.
pub async fn join(identity: &NodeIdentity) -> Result<Option<Predecessor>, AlreadyJoined> {
    let path = socket_path(&identity.dir, &identity.name);
    let stream = match UnixStream::connect(&path).await {
        Ok(stream) => stream,
        Err(error) => {
            if error.kind() != io::ErrorKind::NotFound {
                info!(path = %path.display(), %error, "upgrade socket can't be connected to, starting alone");
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
            info!(hosts, in_maintenance, "joined the process that serves");
            return Ok(Some(Predecessor { state: *state, stream }));
        }
        Ok(_) => ChannelError::OutOfTurn,
        Err(error) => error,
    };
    warn!(%error, "the process that serves can't be joined, starting alone from the file");
    Ok(None)
}

async fn request_state(stream: &mut MessageStream) -> Result<UpgradeMessage, ChannelError> {
    stream.write(&UpgradeMessage::Join { version: VERSION }).await?;
    stream.read_in_time().await
}

/// Exchanges messages with the predecessor until it ends.
pub fn follow(node: &Rc<Node>, predecessor: Predecessor) -> impl Future<Output = ()> + use<> {
    let Predecessor { state, stream } = predecessor;
    let (outgoing, messages) = mpsc::unbounded_channel();
    let channel = UpgradeChannel::to_predecessor(outgoing, state.descriptors_in_use);
    node.process.set_other_process(Some(channel.clone()));
    let node = node.clone();
    async move {
        exchange_messages(&node, &channel, stream, messages).await;
        info!("channel to predecessor closed");
        node.process.predecessor_ended.notify_one();
    }
}

/// Lets successors join this process, one after the other.
pub async fn accept_successors(node: Rc<Node>) {
    let config = node.config();
    let Some(dir) = &config.state_dir else { return };
    let path = socket_path(dir, &config.name);
    // Removes the path even if a process that could not be joined still listens there: successors join this one.
    if let Err(error) = std::fs::remove_file(&path)
        && error.kind() != io::ErrorKind::NotFound
    {
        warn!(path = %path.display(), %error, "stale upgrade socket not removed");
    }
    let listener = match UnixListener::bind(&path) {
        Ok(listener) => listener,
        Err(error) => {
            return warn!(path = %path.display(), %error, "no successor can join: upgrade socket not bound");
        }
    };
    let mut successors = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                successors.spawn_local(serve_successor(node.clone(), MessageStream::new(stream)));
                // Those that have ended are no longer kept.
                while successors.try_join_next().is_some() {}
            }
            Err(error) => {
                warn!(path = %path.display(), %error, "successor not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_successor(node: Rc<Node>, mut stream: MessageStream) {
    let error = match stream.read_in_time().await {
        Ok(UpgradeMessage::Join { .. }) if node.process.other_process().is_some() => {
            warn!("a third process wants to join and is rejected");
            // It ends with or without the message.
            return stream.write(&UpgradeMessage::AlreadyJoined).await.unwrap_or_default();
        }
        Ok(UpgradeMessage::Join { version: VERSION }) => match admit_successor(&node, stream).await {
            Ok(()) => return,
            Err(error) => error,
        },
        Ok(UpgradeMessage::Join { version }) => ChannelError::Version(version),
        Ok(_) => ChannelError::OutOfTurn,
        Err(error) => error,
    };
    warn!(%error, "a process that wants to join is rejected");
}

/// Sends the successor this process's state, and exchanges messages with it until it ends.
async fn admit_successor(node: &Node, mut stream: MessageStream) -> Result<(), ChannelError> {
    info!("successor joined");
    let (outgoing, messages) = mpsc::unbounded_channel();
    let channel = UpgradeChannel::to_successor(outgoing);
    // Set first, so that what is sent from here on comes after the state.
    node.process.set_other_process(Some(channel.clone()));
    let state = UpgradeMessage::State(Box::new(node.hand_over_state(VERSION)));
    if let Err(error) = stream.write(&state).await {
        node.process.set_other_process(None);
        node.decisions.continue_without_successor();
        return Err(error);
    }
    exchange_messages(node, &channel, stream, messages).await;
    node.decisions.continue_without_successor();
    info!("channel to successor closed, this process continues to serve");
    Ok(())
}

/// Exchanges messages with the other process until the stream ends or fails; that process is then taken to have ended.
async fn exchange_messages(
    node: &Node,
    channel: &UpgradeChannel,
    stream: MessageStream,
    outgoing: mpsc::UnboundedReceiver<UpgradeMessage>,
) {
    let MessageStream { mut reader, writer } = stream;
    let receive = async {
        while let Some(message) = read(&mut reader).await? {
            on_message(node, channel, message).await?;
        }
        Ok(())
    };
    let ended: Result<(), ChannelError> = tokio::select! {
        received = receive => received,
        sent = send_messages(node, writer, outgoing) => sent,
    };
    if let Err(error) = ended {
        warn!(%error, "upgrade channel broken");
    }
    node.process.set_other_process(None);
    channel.close();
}

/// Sends the messages queued, and the number of descriptors in use whenever it has changed.
async fn send_messages(
    node: &Node,
    mut writer: OwnedWriteHalf,
    mut outgoing: mpsc::UnboundedReceiver<UpgradeMessage>,
) -> Result<(), ChannelError> {
    let mut sent = None;
    loop {
        let descriptors = node.clients.descriptors_in_use();
        if sent != Some(descriptors) {
            write(&mut writer, &UpgradeMessage::DescriptorsInUse(descriptors)).await?;
            sent = Some(descriptors);
        }
        if let Ok(Some(message)) = timeout(DESCRIPTOR_CHECK_INTERVAL, outgoing.recv()).await {
            write(&mut writer, &message).await?;
        }
    }
}

async fn on_message(
    node: &Node,
    channel: &UpgradeChannel,
    message: UpgradeMessage,
) -> Result<(), ChannelError> {
    match message {
        UpgradeMessage::DescriptorsInUse(descriptors) => channel.descriptors_in_use.set(descriptors),
        UpgradeMessage::Ready { number } => {
            channel.set_serves(true);
            info!("successor serves");
            channel.send(UpgradeMessage::Ack { number });
        }
        UpgradeMessage::ShareListener { number } => {
            if let Err(error) = share_listener(node).await {
                warn!(%error, "listener not shared");
            }
            channel.send(UpgradeMessage::Ack { number });
        }
        UpgradeMessage::HostMaintenance { number, host, state } => {
            node.admin.apply_maintenance(&host, state);
            channel.send(UpgradeMessage::Ack { number });
        }
        UpgradeMessage::RequestId(id) => node.clients.remember_request_id(id.as_bytes()),
        UpgradeMessage::StoppedAccepting => channel.set_serves(false),
        UpgradeMessage::Ack { number } => channel.on_ack(number),
        UpgradeMessage::Join { .. } | UpgradeMessage::State(_) | UpgradeMessage::AlreadyJoined => {
            return Err(ChannelError::OutOfTurn);
        }
    }
    Ok(())
}

async fn share_listener(node: &Node) -> io::Result<()> {
    let listener = node.process.listener().ok_or(io::ErrorKind::NotConnected)?;
    connection_handover::share_listener(&connection_handover::connect(&node.config())?, &*listener).await
}
