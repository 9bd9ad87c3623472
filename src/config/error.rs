//! Why a settings file was not accepted.

/// Why a settings file was not accepted. Its `Display` text is one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file's path as it was given.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON, lacks a field, or has one of the wrong type.
    #[error("settings file: {0}")]
    Parse(#[from] serde_json::Error),
    /// A field's value is out of its range or contradicts another one.
    #[error("settings field `{field}`: {problem}")]
    Invalid {
        /// The field's path in the file, such as `params.workers.lease_s` or `others[0].addr`.
        field: String,
        /// What its value must be.
        problem: &'static str,
    },
}
