//! Why a connection ended, and the codes of these reasons in the log.
//!
//! The codes are what alerts are written against, and keep their words.

use std::fmt;

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal,)*) => {
        /// Why a connection ended.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum TerminationReason {
            $($(#[doc = $doc])* $name,)*
        }

        impl TerminationReason {
            /// All reasons, for the on-call page to be checked against.
            pub const ALL: &[TerminationReason] = &[$(TerminationReason::$name,)*];

            /// The code as logged.
            pub fn code(self) -> &'static str {
                match self {
                    $(TerminationReason::$name => $code,)*
                }
            }
        }
    };
}

reasons! {
    /// The host sent `BYE`: the connection was served to its end.
    Completed = "served",
    /// The client closed its connection.
    ClientClosed = "client-left",
    /// The client's connection broke.
    ClientReset = "client-reset",
    /// The client closed its connection while it waited for a host.
    ClientCancelled = "client-gave-up",
    /// The client sent no first line in time.
    ClientSilent = "client-silent",
    /// The client's first line is none of the protocol's.
    ClientMalformed = "client-malformed",
    /// The client names a class that the settings do not have.
    ClientUnknownClass = "client-unknown-class",
    /// The client's id is that of a request that is open or ended recently.
    ClientDuplicateId = "client-duplicate-id",
    /// The client had sent no complete first line when its slot was needed for another.
    ClientEvicted = "client-shown-out",
    /// The client's line is longer than a line may be.
    ClientLineTooLong = "client-overlong",
    /// The client does not receive what is sent to it.
    ClientStalled = "client-stuck",
    /// The policy migrated the client.
    Migrated = "moved",
    /// The host migrated the client.
    HostMigrated = "host-moved",
    /// The host closed its connection without a parting line.
    HostClosed = "host-ended",
    /// The host's connection broke.
    HostReset = "host-reset",
    /// The host's line is longer than a line may be.
    HostLineTooLong = "host-overlong",
    /// The client's lines were answered by nothing; it was migrated.
    HostSilent = "host-silent",
    /// The request was rejected: the client may retry.
    Rejected = "refused",
    /// The request was rejected: the node has no descriptor left.
    NodeAtCapacity = "node-full",
    /// The request failed: it may have run.
    Failed = "failed",
    /// A health check of the front was answered.
    HealthChecked = "pinged",
    /// The connection was handed over to the successor, and continues there.
    HandedOver = "handed-over",
    /// The node shuts down; the client was migrated.
    ShuttingDown = "node-leaving",
}

impl fmt::Display for TerminationReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
