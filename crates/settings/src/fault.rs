//! What can be wrong with the deployment's settings.

/// A fault, with its key where there is one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The text is no JSON, or a key is missing or of the wrong kind.
    #[error("settings: {key}: {cause}")]
    Form {
        /// Where, as far as it was read; `.` for the whole.
        key: String,
        /// What the reader says.
        cause: String,
    },
    /// A figure has to be above 0.
    #[error("settings: {key} is {value}, but must be above 0")]
    NotPositive {
        /// Its key.
        key: String,
        /// What it is.
        value: f64,
    },
    /// There are no classes.
    #[error("settings: classes is empty")]
    NoClasses,
    /// Two classes have one name.
    #[error("settings: classes[{at}].name '{name}' is there twice")]
    Twice {
        /// The place of the second one.
        at: usize,
        /// The name.
        name: String,
    },
    /// A list lacks a class's entry.
    #[error("settings: extra.{key} lacks class {at}")]
    Lacks {
        /// The list's key.
        key: &'static str,
        /// The class's place.
        at: usize,
    },
    /// A word that is none of those known.
    #[error("settings: {key} '{word}' is unknown")]
    Unknown {
        /// Its key.
        key: String,
        /// The word.
        word: String,
    },
    /// A key that others make necessary.
    #[error("settings: {key} is missing")]
    Missing {
        /// Its key.
        key: &'static str,
    },
}

impl Fault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Fault::Form { .. } => {
                "compare the key with the deployment's page; api/sample/config.json is a sound file"
            }
            Fault::NotPositive { .. } => "give a figure above 0; times are in seconds",
            Fault::NoClasses => "name at least one class of query",
            Fault::Twice { .. } => "give each class a name of its own",
            Fault::Lacks { .. } => "give this list one entry for each class, in the order of 'classes'",
            Fault::Unknown { .. } => {
                "effect: idempotent, deduplicated or at_most_once; registryMode: pushed or on_request"
            }
            Fault::Missing { .. } => "add the key: with lists on request it says how often one has to ask",
        }
    }
}
