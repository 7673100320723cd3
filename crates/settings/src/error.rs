//! The error type of [`parse`](crate::parse()).

/// The reason why a deployment's settings are rejected, with the faulty key where one is known.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, or a key is missing or has the wrong type.
    #[error("settings: {key}: {cause}")]
    Malformed {
        /// Path of the key at which parsing stopped; `.` for the document itself.
        key: String,
        /// The JSON parser's message.
        cause: String,
    },
    /// A number that must be positive is zero, negative or not finite.
    #[error("settings: {key} is {value}, expected a finite number above 0")]
    NotPositive {
        /// Path of the key.
        key: String,
        /// The value found.
        value: f64,
    },
    /// The list of query classes is empty.
    #[error("settings: classes is empty, expected at least one class")]
    NoClasses,
    /// Two query classes have the same name.
    #[error("settings: classes[{index}].name: duplicate class name '{name}'")]
    DuplicateClass {
        /// Index of the second class with this name.
        index: usize,
        /// The name that both classes have.
        name: String,
    },
    /// A per-class list has fewer entries than there are classes.
    #[error("settings: extra.{key} has no entry for classes[{index}]")]
    MissingClassEntry {
        /// Key of the list within `extra`.
        key: &'static str,
        /// Index of the first class without an entry.
        index: usize,
    },
    /// A value is not one of the keywords that its key accepts.
    #[error("settings: {key}: unknown keyword '{keyword}'")]
    UnknownKeyword {
        /// Path of the key.
        key: String,
        /// The keyword found.
        keyword: String,
    },
    /// A key is missing that another key's value makes mandatory.
    #[error("settings: {key} is missing")]
    MissingKey {
        /// Path of the key.
        key: &'static str,
    },
}

impl SettingsError {
    /// Returns advice for the operator on how to correct the settings.
    pub fn help(&self) -> &'static str {
        match self {
            SettingsError::Malformed { .. } => {
                "compare the key with the deployment's documentation; api/sample/config.json is a valid example"
            }
            SettingsError::NotPositive { .. } => "set a number above 0; times are in seconds",
            SettingsError::NoClasses => "define at least one query class",
            SettingsError::DuplicateClass { .. } => "give each class a unique name",
            SettingsError::MissingClassEntry { .. } => {
                "give the list one entry for each class, in the order of 'classes'"
            }
            SettingsError::UnknownKeyword { .. } => {
                "effect accepts idempotent, deduplicated and at_most_once; registryMode accepts pushed and on_request"
            }
            SettingsError::MissingKey { .. } => {
                "add the key: with registryMode on_request it sets the longest time between two polls, in seconds"
            }
        }
    }
}
