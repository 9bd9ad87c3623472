//! The error type for settings files.

/// The reason why a settings file was rejected. Its `Display` text is one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The path of the file, as the caller passed it.
        path: String,
        /// The error that the operating system returned.
        source: std::io::Error,
    },
    /// The file is not JSON, lacks a field or has a field of the wrong type.
    #[error("settings file: {0}")]
    Parse(#[from] serde_json::Error),
    /// A field's value is out of range or contradicts another field.
    #[error("settings field `{field}`: {problem}")]
    Invalid {
        /// The field's path in the file, such as `params.workers.lease_s` or `others[0].addr`.
        field: String,
        /// The requirement that the value violates.
        problem: &'static str,
    },
}
