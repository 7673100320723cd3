//! The error type of [`parse`](crate::parse()).

/// Why a deployment's settings are rejected, with the key at fault where there is one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, or a key is missing or has the wrong type.
    #[error("settings: {key}: {cause}")]
    Malformed {
        /// Path of the key, as far as the text was read; `.` for the whole document.
        key: String,
        /// The JSON reader's message.
        cause: String,
    },
    /// A number that has to be above 0 is not.
    #[error("settings: {key} is {value}, but must be above 0")]
    NotPositive {
        /// Path of the key.
        key: String,
        /// The value found.
        value: f64,
    },
    /// The list of query classes is empty.
    #[error("settings: classes is empty")]
    NoClasses,
    /// Two query classes share a name.
    #[error("settings: classes[{index}].name '{name}' is there twice")]
    DuplicateClass {
        /// Index of the second class of this name.
        index: usize,
        /// The shared name.
        name: String,
    },
    /// A list with one entry for each class is too short.
    #[error("settings: extra.{key} lacks class {index}")]
    MissingClassEntry {
        /// Key of the list, below `extra`.
        key: &'static str,
        /// Index of the first class without an entry.
        index: usize,
    },
    /// A keyword that is none of the known ones.
    #[error("settings: {key} '{keyword}' is unknown")]
    UnknownKeyword {
        /// Path of the key.
        key: String,
        /// The keyword found.
        keyword: String,
    },
    /// A key that another key's value makes mandatory is missing.
    #[error("settings: {key} is missing")]
    MissingKey {
        /// Path of the key.
        key: &'static str,
    },
}

impl SettingsError {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            SettingsError::Malformed { .. } => {
                "compare the key with the deployment's page; api/sample/config.json is a valid file"
            }
            SettingsError::NotPositive { .. } => "give a figure above 0; times are in seconds",
            SettingsError::NoClasses => "name at least one class of query",
            SettingsError::DuplicateClass { .. } => "give each class a name of its own",
            SettingsError::MissingClassEntry { .. } => {
                "give this list one entry for each class, in the order of 'classes'"
            }
            SettingsError::UnknownKeyword { .. } => {
                "effect: idempotent, deduplicated or at_most_once; registryMode: pushed or on_request"
            }
            SettingsError::MissingKey { .. } => {
                "add the key: with lists on request it says how often one has to ask"
            }
        }
    }
}
