//! The reasons for which connections end, and their codes in the log.
//!
//! The codes never change, since operators' alerts match them.

use std::fmt;

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal,)*) => {
        /// Why a connection ended.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum TerminationReason {
            $($(#[doc = $doc])* $name,)*
        }

        impl TerminationReason {
            /// All reasons. A test checks that the on-call page explains each of them.
            pub const ALL: &[TerminationReason] = &[$(TerminationReason::$name,)*];

            /// Returns the code in the log.
            pub fn code(self) -> &'static str {
                match self {
                    $(TerminationReason::$name => $code,)*
                }
            }
        }
    };
}

reasons! {
    /// The host sent `BYE` and closed its connection: the request was served to its end.
    Completed = "served",
    /// The client closed its connection.
    ClientClosed = "client-left",
    /// The client's connection failed.
    ClientReset = "client-reset",
    /// The client closed its connection while it waited for a host.
    ClientCancelled = "client-gave-up",
    /// The client sent no complete first line within the timeout.
    ClientSilent = "client-silent",
    /// The client's first line is malformed.
    ClientMalformed = "client-malformed",
    /// The client named a class that the settings do not contain.
    ClientUnknownClass = "client-unknown-class",
    /// The client used the id of a request that is open or has ended recently.
    ClientDuplicateId = "client-duplicate-id",
    /// The client had sent no complete first line when its slot was needed for another client.
    ClientEvicted = "client-shown-out",
    /// The client sent a line that exceeds the maximum length.
    ClientLineTooLong = "client-overlong",
    /// The client did not read the lines sent to it.
    ClientStalled = "client-stuck",
    /// The policy migrated the client.
    Migrated = "moved",
    /// The host migrated the client.
    HostMigrated = "host-moved",
    /// The host closed its connection without a final `BYE` or `MOVE`.
    HostClosed = "host-ended",
    /// The host's connection failed.
    HostReset = "host-reset",
    /// The host sent a line that exceeds the maximum length.
    HostLineTooLong = "host-overlong",
    /// The host did not answer the client's lines within the timeout; the client was migrated.
    HostSilent = "host-silent",
    /// The request was rejected; the client may retry.
    Rejected = "refused",
    /// The request was rejected because the node has no descriptor available.
    NodeAtCapacity = "node-full",
    /// Another version of the replicated configuration may be in force than this process knows.
    ConfigNotCurrent = "settings-unknown",
    /// The predecessor did not confirm in time that the id of the request is new.
    IdUnconfirmed = "id-unconfirmed",
    /// The node has no memory for the client's or the host's long line.
    NodeOutOfMemory = "node-memory",
    /// The request failed; it may have run.
    Failed = "failed",
    /// The connection carried only health checks, which the load balancer in front of the node sends.
    HealthChecked = "pinged",
    /// The connection was handed over to the successor, which continues it.
    HandedOver = "handed-over",
    /// The node is shutting down; the client was migrated.
    ShuttingDown = "node-leaving",
}

impl fmt::Display for TerminationReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
