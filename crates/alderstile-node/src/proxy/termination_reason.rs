//! Why a connection ended: the codes of the log.

use std::fmt;

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal,)*) => {
        /// The code with which a connection's one log line ends.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Reason {
            $($(#[doc = $doc])* $name,)*
        }

        impl Reason {
            /// All codes, for the on-call page to be checked against.
            pub const ALL: &[Reason] = &[$(Reason::$name,)*];

            /// The code as logged.
            pub fn code(self) -> &'static str {
                match self {
                    $(Reason::$name => $code,)*
                }
            }
        }
    };
}

reasons! {
    /// The host said `BYE`: served to its end.
    Served = "served",
    /// The client ended its connection.
    ClientLeft = "client-left",
    /// The client's connection broke.
    ClientReset = "client-reset",
    /// The client left while it waited for a host.
    ClientGaveUp = "client-gave-up",
    /// The client sent no first line in time.
    ClientSilent = "client-silent",
    /// The client's first line is none of the protocol's.
    ClientMalformed = "client-malformed",
    /// The client names a class that the settings do not.
    ClientUnknownClass = "client-unknown-class",
    /// The client's id is that of another client's open request.
    ClientDuplicateId = "client-duplicate-id",
    /// The client had sent no whole first line when its place was needed for another.
    ClientShownOut = "client-shown-out",
    /// The client's line is longer than a line may be.
    ClientOverlong = "client-overlong",
    /// The client does not take what is sent to it.
    ClientStuck = "client-stuck",
    /// The node's decisions moved the client.
    Moved = "moved",
    /// The host sent the client away.
    HostMoved = "host-moved",
    /// The host's connection ended without a word.
    HostEnded = "host-ended",
    /// The host's connection broke.
    HostReset = "host-reset",
    /// The host's line is longer than a line may be.
    HostOverlong = "host-overlong",
    /// The client's lines brought nothing back; it was told to move.
    HostSilent = "host-silent",
    /// Refused: the client may come again.
    Refused = "refused",
    /// Refused: the node holds as many connections as it may.
    NodeFull = "node-full",
    /// Failed, nothing promised.
    Failed = "failed",
    /// The front's question was answered.
    Pinged = "pinged",
    /// Passed on to the process that takes over; goes on there.
    HandedOver = "handed-over",
    /// The node is leaving; the client was told to move.
    NodeLeaving = "node-leaving",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
