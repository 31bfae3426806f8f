//! The section `shadow`: settings of a second balancer that decides on the same events as the active one; its
//! decisions are only compared, never applied.

use alderstile::settings::{self, SettingValues, SettingsError, default_if_missing};
use alderstile::types::BalancerSettings;
use serde_json::Value;

use super::parse::adapted_to_subscription;
use super::values::{plain_text, setting_values};

/// Parses and validates the section; returns `None` if the instance is off.
///
/// # Errors
///
/// Fails if a key is unknown, missing or invalid.
pub fn parse(
    mut section: Value,
    active: &SettingValues,
    class_count: usize,
) -> Result<Option<BalancerSettings>, SettingsError> {
    let Some(fields) = section.as_object_mut() else {
        return Err(SettingValues::new("", []).invalid("shadow", &plain_text(&section), "an object"));
    };
    let section_settings = fields.remove("settings").unwrap_or_default();
    let (section_values, own_settings) =
        (setting_values("shadow.", &section), setting_values("shadow.settings.", &section_settings));
    if !section_settings.is_null() && !section_settings.is_object() {
        return Err(section_values.invalid("settings", &plain_text(&section_settings), "an object"));
    }
    let on = section_values.flag("on").or_else(default_if_missing(false))?;
    section_values.reject_unread(&section_values)?;
    let complete = own_settings.overlaid_on(active);
    let settings = adapted_to_subscription(settings::parse(&complete)?);
    own_settings.reject_unread(&complete)?;
    if settings.classes.len() != class_count {
        // Both instances receive the same requests.
        return Err(own_settings.invalid(
            "classes",
            &settings.classes.len().to_string(),
            "the number of classes of the active settings",
        ));
    }
    Ok(on.then_some(settings))
}
