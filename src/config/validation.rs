//! Checks for single values of the settings file. Each error names the invalid field.

use super::ConfigError;
use std::net::SocketAddr;

const MAX_NAME_BYTES: usize = 100;
/// The exclusive upper bound for numbers, far above any real rate, time or amount.
const NUMBER_LIMIT: f64 = 1e9;

/// Returns the error for an invalid value of a field.
pub(super) fn invalid<T>(field: &str, problem: &'static str) -> Result<T, ConfigError> {
    Err(ConfigError::Invalid {
        field: field.to_owned(),
        problem,
    })
}

/// Checks the name of a controller, a zone or a team.
pub(super) fn check_name(field: &str, name: &str) -> Result<(), ConfigError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        return invalid(
            field,
            "must be a name of 1 to 100 letters, digits, '-', '_' or '.'",
        );
    }
    Ok(())
}

/// Parses an IP address with its port.
pub(super) fn parse_address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().or_else(|_| {
        invalid(
            field,
            "must be an IP address and a port, such as 10.0.0.1:8080",
        )
    })
}

/// Returns the value if it is above 0 and below [`NUMBER_LIMIT`].
pub(super) fn check_positive(field: &str, value: f64) -> Result<f64, ConfigError> {
    if value.is_finite() && value > 0.0 && value < NUMBER_LIMIT {
        Ok(value)
    } else {
        invalid(field, "must be above 0")
    }
}

/// Returns the value if it is at least 0 and below [`NUMBER_LIMIT`].
pub(super) fn check_not_negative(field: &str, value: f64) -> Result<f64, ConfigError> {
    if value.is_finite() && (0.0..NUMBER_LIMIT).contains(&value) {
        Ok(value)
    } else {
        invalid(field, "must not be negative")
    }
}
