//! The value of one setting.

/// The value of one setting.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingValue {
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// A Boolean value.
    Flag(bool),
}
