//! Parties of a run (nodes, hosts, discovery, clients) and the selectors that name them in a schedule.

use std::collections::BTreeSet;
use std::fmt;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::errors::PartyError;

/// A party of a run: the target of a fault, or one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Party {
    /// A node, by its number from 0.
    Node(usize),
    /// A host, by its number from 0.
    Host(usize),
    /// The discovery service, which sends host lists to the nodes.
    Discovery,
    /// All clients together.
    Clients,
}

impl fmt::Display for Party {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Party::Node(n) => write!(f, "n{n}"),
            Party::Host(h) => write!(f, "h{h}"),
            Party::Discovery => f.write_str("discovery"),
            Party::Clients => f.write_str("clients"),
        }
    }
}

impl From<Party> for String {
    fn from(party: Party) -> Self {
        party.to_string()
    }
}

impl TryFrom<String> for Party {
    type Error = PartyError;
    fn try_from(text: String) -> Result<Self, PartyError> {
        let number = |rest: &str| rest.parse().ok();
        let parse = |text: &str| match text {
            "discovery" => Some(Party::Discovery),
            "clients" => Some(Party::Clients),
            _ => {
                let node = text.strip_prefix('n').and_then(number).map(Party::Node);
                node.or_else(|| text.strip_prefix('h').and_then(number).map(Party::Host))
            }
        };
        parse(&text).ok_or(PartyError::Unknown(text))
    }
}

/// The parties that a schedule defines.
pub(super) struct Parties<'a> {
    pub(super) nodes: usize,
    pub(super) hosts: usize,
    pub(super) zones: &'a [String],
}

impl Parties<'_> {
    /// Returns the parties that one selector names; draws those of `share:`.
    fn select(&self, word: &str, rng: &mut Pcg64Mcg) -> Result<Vec<Party>, PartyError> {
        let nodes = || (0..self.nodes).map(Party::Node);
        let hosts = || (0..self.hosts).map(Party::Host);
        match word.split_once(':') {
            Some(("zone", zone)) => {
                let zone = self.zones.iter().position(|name| name == zone);
                let zone = zone.ok_or_else(|| PartyError::Zone(word.to_owned()))?;
                let within = |n: usize| n % self.zones.len() == zone;
                Ok(nodes()
                    .chain(hosts())
                    .filter(|party| matches!(party, Party::Node(n) | Party::Host(n) if within(*n)))
                    .collect())
            }
            Some(("share", share)) => {
                let share: Option<f64> = share.parse().ok().filter(|share| (0.0..=1.0).contains(share));
                let share = share.ok_or_else(|| PartyError::Share(word.to_owned()))?;
                let mut drawn: Vec<Party> = nodes().collect();
                drawn.shuffle(rng);
                drawn.truncate((share * self.nodes as f64).round() as usize);
                Ok(drawn)
            }
            Some(_) => Err(PartyError::Selector(word.to_owned())),
            None if word == "nodes" => Ok(nodes().collect()),
            None if word == "hosts" => Ok(hosts().collect()),
            None => match Party::try_from(word.to_owned())? {
                Party::Node(n) if n >= self.nodes => Err(PartyError::Node { last: self.nodes - 1 }),
                Party::Host(h) if h >= self.hosts => Err(PartyError::Host { count: self.hosts }),
                party => Ok(vec![party]),
            },
        }
    }

    /// Returns the parties that any of the selectors names.
    pub(super) fn select_all(
        &self,
        words: &[String],
        rng: &mut Pcg64Mcg,
    ) -> Result<BTreeSet<Party>, PartyError> {
        words.iter().try_fold(BTreeSet::new(), |mut set, word| {
            set.extend(self.select(word, rng)?);
            Ok(set)
        })
    }

    /// Returns all parties.
    pub(super) fn all(&self) -> BTreeSet<Party> {
        let nodes = (0..self.nodes).map(Party::Node);
        nodes.chain((0..self.hosts).map(Party::Host)).chain([Party::Discovery, Party::Clients]).collect()
    }
}
