//! The section `shadow`: settings of a second instance that decides beside the active one and changes nothing.

use alderstile::settings::{self, SettingValues, SettingsError, default_if_missing};
use alderstile::types::BalancerSettings;
use serde_json::Value;

use super::parse::adapted_to_sockets;
use super::values::{plain_text, setting_values};

/// Parses the section; none where the instance is off. The section is checked all the same.
///
/// # Errors
///
/// A key is unknown, or has a value that can't be used.
pub fn parse(
    mut section: Value,
    active: &SettingValues,
    class_count: usize,
) -> Result<Option<BalancerSettings>, SettingsError> {
    let Some(fields) = section.as_object_mut() else {
        return Err(SettingValues::new("", []).invalid("shadow", &plain_text(&section), "an object"));
    };
    let section_settings = fields.remove("settings").unwrap_or_default();
    let (keys, own) =
        (setting_values("shadow.", &section), setting_values("shadow.settings.", &section_settings));
    if !section_settings.is_null() && !section_settings.is_object() {
        return Err(keys.invalid("settings", &plain_text(&section_settings), "an object"));
    }
    let on = keys.flag("on").or_else(default_if_missing(false))?;
    keys.reject_unread(&keys)?;
    let complete = own.overlaid_on(active);
    let settings = adapted_to_sockets(settings::parse(&complete)?);
    own.reject_unread(&complete)?;
    if settings.classes.len() != class_count {
        // Both instances get the same requests.
        return Err(own.invalid(
            "classes",
            &settings.classes.len().to_string(),
            "as many classes as are served",
        ));
    }
    Ok(on.then_some(settings))
}
