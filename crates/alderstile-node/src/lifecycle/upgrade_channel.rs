//! The other process of this node, as this one speaks with it: what is said, and what is owed an answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tracing::warn;

use crate::admin::maintenance_store::MaintenanceState;
use crate::lifecycle::upgrade_state::Handshake;

/// A process that says nothing for this long where a word is owed is taken to have none.
pub const WORD: Duration = Duration::from_millis(500);

/// A line of the stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// The successor's first.
    Join {
        /// The form of all lines.
        version: u32,
    },
    /// The predecessor's first.
    #[serde(rename = "hello")]
    Handshake(Box<Handshake>),
    /// The predecessor's first to a third process.
    Taken,
    /// Descriptors that the sender holds.
    Held(usize),
    /// The sender takes clients; answered by `Done`.
    Ready {
        /// What the answer names.
        number: u64,
    },
    /// The successor can be passed sockets, and asks for the one on which clients are taken in; answered by `Done`.
    Door {
        /// What the answer names.
        number: u64,
    },
    /// A host stands elsewhere; answered by `Done`.
    Host {
        /// What the answer names.
        number: u64,
        /// Its name.
        host: String,
        /// Where.
        stand: MaintenanceState,
    },
    /// What was asked is done.
    Done {
        /// What the answer names.
        number: u64,
    },
    /// The id of a request that the sender has taken.
    Id(String),
    /// The sender takes no more clients.
    Closed,
}

/// The stream to the other process, as the node holds it.
pub struct Link {
    say: mpsc::UnboundedSender<Word>,
    /// Descriptors that the other holds.
    pub held: Cell<usize>,
    /// The other takes clients.
    ready: Cell<bool>,
    /// The other takes over from this process, and not this one from it.
    pub successor: bool,
    next: Cell<u64>,
    owed: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
}

impl Link {
    /// A stream that has just begun.
    pub fn new(say: mpsc::UnboundedSender<Word>, held: usize, successor: bool) -> Rc<Self> {
        // A predecessor does until it says otherwise.
        let (ready, next) = (Cell::new(!successor), Cell::new(0));
        Rc::new(Link { say, held: Cell::new(held), ready, successor, next, owed: RefCell::default() })
    }

    /// Whether the other takes clients, so that this process may go.
    pub fn other_serves(&self) -> bool {
        self.ready.get()
    }

    /// A number under which the other is to say that something is done. What is returned with it ends with an error where
    /// the other process ends first.
    pub fn owe(&self) -> (u64, oneshot::Receiver<()>) {
        let number = self.next.replace(self.next.get() + 1);
        let (done, owed) = oneshot::channel();
        self.owed.borrow_mut().insert(number, done);
        (number, owed)
    }

    /// Says a word and waits until the other has done it. One that does not is waited for no longer than a moment: a
    /// call of operators is owed its answer.
    async fn ask(&self, word: impl FnOnce(u64) -> Word) {
        let (number, owed) = self.owe();
        // Where the stream is broken the other has ended, and nothing is owed.
        if self.say.send(word(number)).is_ok() && timeout(WORD, owed).await.is_err() {
            warn!("the other process has not answered within {} ms", WORD.as_millis());
        }
        self.owed.borrow_mut().remove(&number);
    }

    /// A host stands elsewhere, at the other process too once this returns.
    pub async fn tell_host(&self, host: &str, stand: MaintenanceState) {
        self.ask(|number| Word::Host { number, host: host.to_owned(), stand }).await;
    }

    /// This process has taken a request with this id.
    pub fn tell_id(&self, id: &[u8]) {
        self.say(Word::Id(String::from_utf8_lossy(id).into_owned()));
    }

    /// This process takes no more clients.
    pub fn tell_closed(&self) {
        self.say(Word::Closed);
    }

    /// Asks for the socket on which the other takes clients in. It has been passed on once this returns, or won't be.
    pub async fn ask_door(&self) {
        self.ask(|number| Word::Door { number }).await;
    }

    /// This process takes clients from now on.
    pub async fn tell_ready(&self) {
        self.ask(|number| Word::Ready { number }).await;
    }

    /// Says a word; nobody hears it where the stream is broken.
    pub fn say(&self, word: Word) {
        let _ended = self.say.send(word);
    }

    /// The other has said whether it takes clients.
    pub fn other_is_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// The other has done what was asked under a number; who asked may have given up.
    pub fn done(&self, number: u64) {
        let owed = self.owed.borrow_mut().remove(&number);
        owed.map(|owed| owed.send(()));
    }

    /// The stream has ended: nothing is owed any more.
    pub fn ended(&self) {
        self.owed.borrow_mut().clear();
    }
}
