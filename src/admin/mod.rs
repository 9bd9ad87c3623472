//! The operators' side: settings, status and counters over HTTP.

mod settings;

pub(crate) use settings::Settings;
