//! The operators' side: settings, status and counters over HTTP.

mod settings;

pub use settings::Settings;
