//! The text of an object's value. A parsed value takes up to a hundred times the memory of its text, so only
//! the members that a reader wants are read from it, and the others are skipped.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{DeserializeOwned, Error as _, MapAccess, SeqAccess, Visitor},
    ser::Error as _,
};
use serde_json::value::RawValue;

/// A JSON value as text that can be read to its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValueText(Box<str>);

impl ValueText {
    /// Checks a text and keeps a copy of it. Bytes that aren't UTF-8 damage only the strings that they are in.
    ///
    /// # Errors
    /// The parser's, for a text that it can't read, for instance one that is too deep or has too large a
    /// number, also in a member that nobody reads.
    pub fn from_bytes(text: &[u8]) -> Result<Self, serde_json::Error> {
        let text = String::from_utf8_lossy(text);
        check_value(&text)?;
        Ok(Self(text.into()))
    }

    /// Writes a value as text.
    ///
    /// # Errors
    /// The value has no form in JSON.
    pub fn from_serialize(value: &impl Serialize) -> Result<Self, serde_json::Error> {
        Ok(Self(serde_json::to_string(value)?.into()))
    }

    /// Reads the members that `T` wants.
    ///
    /// # Errors
    /// The value isn't of this type; the error names the member.
    pub fn read<T: DeserializeOwned>(
        &self,
    ) -> Result<T, serde_path_to_error::Error<serde_json::Error>> {
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(&self.0))
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for ValueText {
    /// Returns the text of a null.
    fn default() -> Self {
        Self("null".into())
    }
}

impl<'de> Deserialize<'de> for ValueText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let raw = Box::<RawValue>::deserialize(deserializer)?;
        Self::from_bytes(raw.get().as_bytes()).map_err(D::Error::custom)
    }
}

impl Serialize for ValueText {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let raw: &RawValue = serde_json::from_str(&self.0).map_err(S::Error::custom)?;
        raw.serialize(serializer)
    }
}

/// Reads a value to its end and keeps nothing of it.
///
/// # Errors
/// As [`ValueText::from_bytes`].
pub fn check_value(text: &str) -> Result<(), serde_json::Error> {
    serde_json::from_str::<Checked>(text).map(|Checked| ())
}

/// A value that is read to its end and not kept.
struct Checked;

impl<'de> Deserialize<'de> for Checked {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Unlike `IgnoredAny`, this looks at depth, numbers and escapes.
        deserializer.deserialize_any(CheckedVisitor)
    }
}

struct CheckedVisitor;

impl<'de> Visitor<'de> for CheckedVisitor {
    type Value = Checked;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_str<E>(self, _: &str) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_unit<E>(self) -> Result<Checked, E> {
        Ok(Checked)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Checked, A::Error> {
        while elements.next_element::<Checked>()?.is_some() {}
        Ok(Checked)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut members: A) -> Result<Checked, A::Error> {
        while members.next_entry::<Checked, Checked>()?.is_some() {}
        Ok(Checked)
    }
}
