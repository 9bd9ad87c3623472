//! Administration: settings that operators can change while the controllers run.

mod settings;

pub(crate) use settings::Settings;
