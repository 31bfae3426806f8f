//! Replacing the process: the one that serves (the predecessor) and the one that was started beside it (the successor)
//! are one node, and talk over a private stream.
//!
//! A stream that breaks tells each that the other has ended: nothing rests on files or process numbers that outlive
//! their process.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::config::Identity;
use crate::discovery::endpoint_list::server_id;
use crate::lifecycle::connection_handover;
use crate::lifecycle::upgrade_channel::{Link, WORD, Word};
use crate::lifecycle::upgrade_state::Handshake;
use crate::node::Node;

/// The form of the lines; a process that speaks another one starts alone.
const VERSION: u32 = 1;
/// The longest line: a list, and ids that each may take a line of a client.
const MAX_LINE: u64 = 24 << 20;
/// How often the descriptors held are looked at, to tell of a change.
const LOOK: Duration = Duration::from_millis(10);

/// Why a process cannot be spoken with.
#[derive(Debug, Error)]
enum LinkError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("no word within {} ms", WORD.as_millis())]
    Silent,
    #[error("a line that is none of the protocol's: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("a line that is cut off or too long")]
    Cut,
    #[error("version {0}, not {VERSION}")]
    Version(u32),
    #[error("out of turn")]
    Turn,
}

/// Another process takes the node over already.
#[derive(Debug, Error)]
#[error("another process is already taking over from the one that serves")]
pub struct AlreadyTaken;

/// Where the stream is to be had: a short path, as the system allows no long one.
fn socket_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("alderstile-{:016x}.sock", server_id(name).0))
}

async fn word(reader: &mut BufReader<OwnedReadHalf>) -> Result<Option<Word>, LinkError> {
    let mut line = Vec::new();
    reader.take(MAX_LINE).read_until(b'\n', &mut line).await?;
    match line.last() {
        None => Ok(None),
        Some(b'\n') => Ok(Some(serde_json::from_slice(&line)?)),
        Some(_) => Err(LinkError::Cut),
    }
}

async fn word_in_time(reader: &mut BufReader<OwnedReadHalf>) -> Result<Word, LinkError> {
    timeout(WORD, word(reader)).await.map_err(|_| LinkError::Silent)??.ok_or(LinkError::Cut)
}

async fn write(stream: &mut OwnedWriteHalf, word: &Word) -> Result<(), LinkError> {
    let mut line = serde_json::to_vec(word)?;
    line.push(b'\n');
    timeout(WORD, stream.write_all(&line)).await.map_err(|_| LinkError::Silent)??;
    Ok(())
}

/// The stream to the predecessor, until the node takes it over.
pub struct Predecessor {
    /// What it told.
    pub handshake: Handshake,
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

/// Looks for a process of this node that serves; none where there is none, or none that can be spoken with.
pub async fn join(who: &Identity) -> Result<Option<Predecessor>, AlreadyTaken> {
    let path = socket_path(&who.dir, &who.name);
    let stream = match UnixStream::connect(&path).await {
        Ok(stream) => stream,
        Err(error) => {
            if error.kind() != io::ErrorKind::NotFound {
                info!("{}: {error}: no process serves", path.display());
            }
            return Ok(None);
        }
    };
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let said = async {
        write(&mut writer, &Word::Join { version: VERSION }).await?;
        word_in_time(&mut reader).await
    };
    let error = match said.await {
        Ok(Word::Taken) => return Err(AlreadyTaken),
        Ok(Word::Handshake(handshake)) if handshake.version != VERSION => {
            LinkError::Version(handshake.version)
        }
        Ok(Word::Handshake(handshake)) if handshake.name == who.name => {
            info!(
                "takes over: {} hosts listed, {} named by hand",
                handshake.list.endpoints.len(),
                handshake.hosts.len()
            );
            return Ok(Some(Predecessor { handshake: *handshake, reader, writer }));
        }
        Ok(_) => LinkError::Turn,
        Err(error) => error,
    };
    warn!("the process that serves: {error}; starting alone, from the file");
    Ok(None)
}

/// Stays in touch with the predecessor until it ends.
pub fn follow(node: &Rc<Node>, predecessor: Predecessor) -> impl Future<Output = ()> + use<> {
    let Predecessor { handshake, reader, writer } = predecessor;
    let (say, words) = mpsc::unbounded_channel();
    let link = Link::new(say, handshake.held, false);
    node.process.link(Some(link.clone()));
    let node = node.clone();
    async move {
        talk(&node, &link, reader, writer, words).await;
        info!("the process before this one has ended");
        node.process.alone.notify_one();
    }
}

/// Lets successors find this process, one after the other.
pub async fn offer(node: Rc<Node>) {
    let config = node.config();
    let Some(dir) = &config.state_dir else { return };
    let path = socket_path(dir, &config.name);
    // Only a process that has ended is followed here: its socket is of no use any more.
    if let Err(error) = std::fs::remove_file(&path)
        && error.kind() != io::ErrorKind::NotFound
    {
        warn!("{}: {error}", path.display());
    }
    let listener = match UnixListener::bind(&path) {
        Ok(listener) => listener,
        Err(error) => {
            return warn!("{}: {error}; this process can't be replaced while it serves", path.display());
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(successor(node.clone(), stream));
            }
            Err(error) => {
                warn!("{}: {error}", path.display());
                sleep(LOOK).await;
            }
        }
    }
}

async fn successor(node: Rc<Node>, stream: UnixStream) {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let error = match word_in_time(&mut reader).await {
        Ok(Word::Join { .. }) if node.process.linked().is_some() => {
            warn!("a third process wants to take over: turned away");
            // It ends with or without the word.
            return write(&mut writer, &Word::Taken).await.unwrap_or_default();
        }
        Ok(Word::Join { version: VERSION }) => {
            info!("another process takes over");
            let (say, words) = mpsc::unbounded_channel();
            let link = Link::new(say, 0, true);
            // What is told from here on comes after the handshake.
            node.process.link(Some(link.clone()));
            let handshake = Word::Handshake(Box::new(node.handshake(VERSION)));
            match write(&mut writer, &handshake).await {
                Ok(()) => {
                    talk(&node, &link, reader, writer, words).await;
                    node.decisions.continue_without_successor();
                    info!("the process that was to take over has ended: this one serves on");
                    return;
                }
                Err(error) => {
                    node.process.link(None);
                    node.decisions.continue_without_successor();
                    error
                }
            }
        }
        Ok(Word::Join { version }) => LinkError::Version(version),
        Ok(_) => LinkError::Turn,
        Err(error) => error,
    };
    warn!("a process that wants to take over: {error}");
}

async fn share_door(node: &Node) -> io::Result<()> {
    let door = node.process.listens().ok_or(io::ErrorKind::NotConnected)?;
    connection_handover::share_door(&connection_handover::sender(&node.config())?, &*door).await
}

/// Speaks with the other process until the stream ends, which means that it has.
async fn talk(
    node: &Node,
    link: &Link,
    mut reader: BufReader<OwnedReadHalf>,
    mut writer: OwnedWriteHalf,
    mut words: mpsc::UnboundedReceiver<Word>,
) {
    let hear = async {
        while let Some(word) = word(&mut reader).await? {
            match word {
                Word::Held(held) => link.held.set(held),
                Word::Ready { number } => {
                    link.other_is_ready(true);
                    info!("the process that takes over serves");
                    link.say(Word::Done { number });
                }
                Word::Door { number } => {
                    if let Err(error) = share_door(node).await {
                        warn!("the socket for clients can't be shared: {error}");
                    }
                    link.say(Word::Done { number });
                }
                Word::Host { number, host, stand } => {
                    node.admin.apply_maintenance(&host, stand);
                    link.say(Word::Done { number });
                }
                Word::Id(id) => node.clients.know_id(id.as_bytes()),
                Word::Closed => link.other_is_ready(false),
                Word::Done { number } => link.done(number),
                Word::Join { .. } | Word::Handshake(_) | Word::Taken => return Err(LinkError::Turn),
            }
        }
        Ok(())
    };
    let tell = async {
        let mut told = None;
        loop {
            let held = node.clients.held();
            if told != Some(held) {
                write(&mut writer, &Word::Held(held)).await?;
                told = Some(held);
            }
            if let Ok(Some(word)) = timeout(LOOK, words.recv()).await {
                write(&mut writer, &word).await?;
            }
        }
    };
    let ended: Result<(), LinkError> = tokio::select! {
        heard = hear => heard,
        told = tell => told,
    };
    if let Err(error) = ended {
        warn!("the other process: {error}");
    }
    node.process.link(None);
    link.ended();
}
