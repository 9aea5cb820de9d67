//! Maps the names of classes, plans and zones, which the settings and the wire use, to the indexes that
//! `limiter-core` uses.

use std::collections::BTreeMap;
use std::fmt;

use thiserror::Error;

/// The kind of thing that a name denotes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameKind {
    /// A request class.
    Class,
    /// A plan.
    Plan,
    /// A zone.
    Zone,
}

impl fmt::Display for NameKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NameKind::Class => "class",
            NameKind::Plan => "plan",
            NameKind::Zone => "zone",
        })
    }
}

/// A name that the settings do not contain.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown {kind} '{name}'")]
pub struct UnknownName {
    /// The kind of thing that the name was expected to denote.
    pub kind: NameKind,
    /// The name.
    pub name: String,
}

/// Maps the names in the settings of one instance to indexes.
pub struct NameIndex {
    classes: BTreeMap<String, usize>,
    plans: BTreeMap<String, usize>,
    zones: BTreeMap<String, u32>,
}

impl NameIndex {
    /// Numbers the names of each kind from 0 in the given order. A name that occurs more than once maps to
    /// its last position.
    pub(crate) fn new<'a>(
        classes: impl Iterator<Item = &'a str>,
        plans: impl Iterator<Item = &'a str>,
        zones: impl Iterator<Item = &'a str>,
    ) -> NameIndex {
        NameIndex {
            classes: classes.map(str::to_string).zip(0..).collect(),
            plans: plans.map(str::to_string).zip(0..).collect(),
            zones: zones.map(str::to_string).zip(0..).collect(),
        }
    }

    /// Returns the index of a class in [`limiter_core::Settings::classes`].
    ///
    /// # Errors
    /// The settings contain no such class.
    pub fn class(&self, name: &str) -> Result<usize, UnknownName> {
        find_index(&self.classes, NameKind::Class, name)
    }

    /// Returns the index of a plan in [`limiter_core::Settings::plans`].
    ///
    /// # Errors
    /// The settings contain no such plan.
    pub fn plan(&self, name: &str) -> Result<usize, UnknownName> {
        find_index(&self.plans, NameKind::Plan, name)
    }

    /// Returns the index of a zone.
    ///
    /// # Errors
    /// The settings contain no such zone.
    pub fn zone(&self, name: &str) -> Result<u32, UnknownName> {
        find_index(&self.zones, NameKind::Zone, name)
    }
}

fn find_index<T: Copy>(index: &BTreeMap<String, T>, kind: NameKind, name: &str) -> Result<T, UnknownName> {
    index.get(name).copied().ok_or_else(|| UnknownName { kind, name: name.to_string() })
}
