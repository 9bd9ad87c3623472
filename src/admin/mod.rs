//! The operators' side: settings that can be changed while the controllers run.

mod settings;

pub(crate) use settings::Settings;
