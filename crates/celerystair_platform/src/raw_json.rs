//! Finds the parts of a JSON text without reading what is in them, so that one that can't be read takes
//! no other with it. Depth, numbers, escapes and bytes that aren't UTF-8 don't matter here; only quotes,
//! brackets, commas and colons do.
//!
//! A scan keeps no more than one byte for each open bracket, and its time is limited by the length of
//! the text.

use serde::de::DeserializeOwned;
use thiserror::Error;

/// The most bytes that are looked at for each byte of the text. A sound text needs one; the rest is for
/// finding the next element after one that is no JSON at all.
const SCANNED_BYTES_PER_BYTE: usize = 16;
/// The same for a text of any length, so that a short one with much to try is read as well.
const SCANNED_BYTES_MIN: usize = 4 << 20;
/// The longest text from the end of the array on that is looked for behind an element that is no JSON: a few
/// short members. Brackets inside such an element are many, and each may look like the array's end for as
/// long as this.
const TAIL_MAX_BYTES: usize = 4 << 10;

/// The text's outer form isn't JSON.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no JSON from byte {at} on")]
pub struct BrokenJson {
    /// Position of the first byte that doesn't fit.
    pub at: usize,
}

/// The name of a member, as written between its quotes, and its value's text.
pub type RawMember<'a> = (&'a [u8], &'a [u8]);

/// An object with a long array among its members.
#[derive(Clone, Debug, Default)]
pub struct RawList<'a> {
    /// The other members of the object.
    pub members: Vec<RawMember<'a>>,
    /// The elements of the array; `None` if the object doesn't have it. One that is no JSON has the text up to the
    /// next one that is.
    pub elements: Option<Vec<&'a [u8]>>,
}

impl RawList<'_> {
    /// Reads the last member with this name, as an element that is no JSON may look like members before
    /// it; `None` if there is none.
    ///
    /// # Errors
    /// The member isn't of this type.
    pub fn read<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, serde_json::Error> {
        let mut named = self.members.iter().rev();
        let member = named.find(|(known, _)| *known == name.as_bytes());
        member
            .map(|(_, value)| serde_json::from_slice(value))
            .transpose()
    }
}

/// The members of an object.
#[derive(Clone, Debug, Default)]
pub struct RawObject<'a> {
    /// The members, up to the first that is malformed.
    pub members: Vec<RawMember<'a>>,
    /// The first malformed member, with the text from its value on.
    pub broken: Option<RawMember<'a>>,
    /// Whether the object is well formed to its end.
    pub is_whole: bool,
}

impl<'a> RawObject<'a> {
    /// Returns the value of the first member with this name.
    pub fn member(&self, name: &str) -> Option<&'a [u8]> {
        let mut named = self.members.iter();
        let member = named.find(|(known, _)| *known == name.as_bytes());
        member.map(|(_, value)| *value)
    }

    /// Returns the value of the first member with this name, or the text from it on if it is malformed.
    pub fn member_or_broken(&self, name: &str) -> Option<&'a [u8]> {
        let broken = self.broken.filter(|(known, _)| *known == name.as_bytes());
        self.member(name).or(broken.map(|(_, text)| text))
    }
}

impl From<BrokenJson> for serde_json::Error {
    fn from(error: BrokenJson) -> Self {
        serde::de::Error::custom(error)
    }
}

/// Splits an object whose member `array_name` is an array. `is_element` tells an element of it by its
/// text; it is asked only about what follows an element that is no JSON.
///
/// An object in a member after the array may be an element that one before it makes look so: such a
/// member is taken for one only if the array has no other end.
///
/// # Errors
/// [`BrokenJson`] if the object, or the array but for its elements, is malformed.
pub fn split_list<'a>(
    text: &'a [u8],
    array_name: &str,
    is_element: impl Fn(&[u8]) -> bool,
) -> Result<RawList<'a>, BrokenJson> {
    let budget_bytes = text.len().saturating_mul(SCANNED_BYTES_PER_BYTE);
    let mut scan = Scan {
        text,
        budget_bytes: budget_bytes.saturating_add(SCANNED_BYTES_MIN),
        takes_objects_after_array: false,
    };
    let split = scan.split_list(array_name, &is_element);
    if split.is_ok() {
        return split;
    }
    scan.takes_objects_after_array = true;
    scan.split_list(array_name, &is_element)
}

/// Splits an array into its elements.
///
/// # Errors
/// [`BrokenJson`] if the text is no array or one of its elements is malformed.
pub fn split_array(text: &[u8]) -> Result<Vec<&[u8]>, BrokenJson> {
    let mut elements = Vec::new();
    let mut at = skip_space(text, expect(text, skip_space(text, 0), b'[')?);
    if text.get(at) == Some(&b']') {
        return end_of_text(text, at + 1).map(|()| elements);
    }
    loop {
        at = skip_space(text, at);
        let end = skip_value(text, at)?;
        elements.push(&text[at..end]);
        at = skip_space(text, end);
        match text.get(at) {
            Some(b',') => at += 1,
            Some(b']') => return end_of_text(text, at + 1).map(|()| elements),
            _ => return Err(BrokenJson { at }),
        }
    }
}

/// A search for the elements of an array.
struct Scan<'a> {
    text: &'a [u8],
    /// The number of bytes that may still be looked at.
    budget_bytes: usize,
    /// Whether the members after the array may have objects in them.
    takes_objects_after_array: bool,
}

/// The elements of an array, and the members after it up to the end of the text.
type ArrayAndRest<'a> = (Vec<&'a [u8]>, Vec<RawMember<'a>>);

impl<'a> Scan<'a> {
    fn split_list(
        &mut self,
        array_name: &str,
        is_element: &impl Fn(&[u8]) -> bool,
    ) -> Result<RawList<'a>, BrokenJson> {
        let text = self.text;
        let mut list = RawList::default();
        let mut at = expect(text, skip_space(text, 0), b'{')?;
        at = skip_space(text, at);
        if text.get(at) == Some(&b'}') {
            return end_of_text(text, at + 1).map(|()| list);
        }
        loop {
            let (name, value_at) = read_name(text, at)?;
            let value_at = skip_space(text, value_at);
            if name == array_name.as_bytes() {
                let start = expect(text, value_at, b'[')?;
                let (elements, rest) = self.split_array(start, is_element)?;
                list.elements = Some(elements);
                list.members.extend(rest);
                return Ok(list);
            }
            let end = skip_value(text, value_at)?;
            list.members.push((name, &text[value_at..end]));
            at = skip_space(text, end);
            match text.get(at) {
                Some(b',') => at += 1,
                Some(b'}') => return end_of_text(text, at + 1).map(|()| list),
                _ => return Err(BrokenJson { at }),
            }
        }
    }

    fn split_array(
        &mut self,
        start: usize,
        is_element: &impl Fn(&[u8]) -> bool,
    ) -> Result<ArrayAndRest<'a>, BrokenJson> {
        let text = self.text;
        let mut elements = Vec::new();
        let mut at = skip_space(text, start);
        loop {
            if let Some(rest) = self.after_array(at, usize::MAX) {
                return Ok((elements, rest));
            }
            let end = match self.element_end(at, usize::MAX) {
                Some(end) => end,
                None => self.next_after_broken(at, is_element)?,
            };
            elements.push(&text[at..end]);
            let next = skip_space(text, end);
            at = match text.get(next) {
                Some(b',') => skip_space(text, next + 1),
                _ => next,
            };
        }
    }

    /// Returns the end of the element at `at`: an object that a comma or the array's end follows.
    fn element_end(&mut self, at: usize, tail_max_bytes: usize) -> Option<usize> {
        if self.text.get(at) != Some(&b'{') {
            return None;
        }
        let end = self.skip_value(at)?;
        let next = skip_space(self.text, end);
        let is_followed = match self.text.get(next) {
            Some(b',') => true,
            Some(b']') => self.after_array(next, tail_max_bytes).is_some(),
            _ => false,
        };
        is_followed.then_some(end)
    }

    /// Reads the end of the array at `at` and the members after it, up to the end of the text; `None`
    /// if anything else is there, or more than `tail_max_bytes`.
    fn after_array(&mut self, at: usize, tail_max_bytes: usize) -> Option<Vec<RawMember<'a>>> {
        let text = self.text;
        if text.len().saturating_sub(at) > tail_max_bytes {
            return None;
        }
        let mut at = skip_space(text, expect(text, at, b']').ok()?);
        let mut members = Vec::new();
        while text.get(at) == Some(&b',') {
            let named = read_name(text, at + 1);
            let looked_at = named.map_or_else(|error| error.at, |(_, value_at)| value_at);
            self.spend(at, looked_at);
            let (name, value_at) = named.ok()?;
            let value_at = skip_space(text, value_at);
            let value = &text[value_at..self.skip_value(value_at)?];
            if !self.takes_objects_after_array && has_object(value) {
                return None;
            }
            members.push((name, value));
            at = skip_space(text, value_at + value.len());
        }
        let end = expect(text, at, b'}').ok()?;
        end_of_text(text, end).ok()?;
        Some(members)
    }

    /// Returns where the array goes on after an element at `at` that is no JSON: the comma before the
    /// next element, or the array's end if no element follows.
    fn next_after_broken(
        &mut self,
        at: usize,
        is_element: &impl Fn(&[u8]) -> bool,
    ) -> Result<usize, BrokenJson> {
        let text = self.text;
        let mut array_end = None;
        for next in at..text.len() {
            if self.budget_bytes == 0 {
                return Err(BrokenJson { at });
            }
            match text[next] {
                b',' => {
                    let element_at = skip_space(text, next + 1);
                    let end = self.element_end(element_at, TAIL_MAX_BYTES);
                    if end.is_some_and(|end| is_element(&text[element_at..end])) {
                        return Ok(next);
                    }
                }
                b']' if self.after_array(next, TAIL_MAX_BYTES).is_some() => array_end = Some(next),
                _ => {}
            }
        }
        array_end.ok_or(BrokenJson { at })
    }

    /// Skips a value; returns where it ends. `None` if it is malformed or nothing is left to look at.
    fn skip_value(&mut self, start: usize) -> Option<usize> {
        if self.budget_bytes == 0 {
            return None;
        }
        let skipped = skip_value(self.text, start);
        self.spend(start, skipped.unwrap_or_else(|error| error.at));
        skipped.ok()
    }

    fn spend(&mut self, from: usize, to: usize) {
        let looked_at_bytes = to.saturating_sub(from).saturating_add(1);
        self.budget_bytes = self.budget_bytes.saturating_sub(looked_at_bytes);
    }
}

/// Returns whether a value has an object in it.
fn has_object(value: &[u8]) -> bool {
    let mut at = 0;
    while let Some(byte) = value.get(at) {
        match byte {
            b'{' => return true,
            b'"' => at = skip_string(value, at).unwrap_or(value.len()),
            _ => at += 1,
        }
    }
    false
}

/// Splits an object into its members, up to the first that is malformed.
pub fn split_object(text: &[u8]) -> RawObject<'_> {
    let mut object = RawObject::default();
    let Ok(mut at) = expect(text, skip_space(text, 0), b'{') else {
        return object;
    };
    if text.get(skip_space(text, at)) == Some(&b'}') {
        object.is_whole = end_of_text(text, skip_space(text, at) + 1).is_ok();
        return object;
    }
    while let Ok((name, value_at)) = read_name(text, at) {
        let value_at = skip_space(text, value_at);
        let Ok(end) = skip_value(text, value_at) else {
            object.broken = Some((name, &text[value_at.min(text.len())..]));
            break;
        };
        object.members.push((name, &text[value_at..end]));
        at = skip_space(text, end);
        if text.get(at) != Some(&b',') {
            let end = expect(text, at, b'}').and_then(|end| end_of_text(text, end));
            object.is_whole = end.is_ok();
            break;
        }
        at += 1;
    }
    object
}

/// Returns the bytes that a JSON string stands for; `None` if the text is no string. A lone surrogate
/// and bytes that aren't UTF-8 stay in them, so that two different strings never become one.
pub fn string_bytes(text: &[u8]) -> Option<Vec<u8>> {
    let inner = text.strip_prefix(b"\"")?.strip_suffix(b"\"")?;
    let mut bytes = Vec::with_capacity(inner.len());
    let mut at = 0;
    while let Some(byte) = inner.get(at) {
        if *byte != b'\\' {
            bytes.push(*byte);
            at += 1;
            continue;
        }
        let escaped = *inner.get(at + 1)?;
        at += 2;
        match escaped {
            b'"' | b'\\' | b'/' => bytes.push(escaped),
            b'b' => bytes.push(8),
            b'f' => bytes.push(12),
            b'n' => bytes.push(b'\n'),
            b'r' => bytes.push(b'\r'),
            b't' => bytes.push(b'\t'),
            b'u' => {
                let (code_point, end) = code_point(inner, at)?;
                push_code_point(&mut bytes, code_point);
                at = end;
            }
            _ => return None,
        }
    }
    Some(bytes)
}

/// Reads the digits of an escaped code point, and those of the surrogate that completes it; returns it
/// and where it ends.
fn code_point(text: &[u8], at: usize) -> Option<(u32, usize)> {
    let unit = |at: usize| {
        let digits = std::str::from_utf8(text.get(at..at + 4)?).ok()?;
        u32::from_str_radix(digits, 16).ok()
    };
    let first = unit(at)?;
    let end = at + 4;
    if (0xD800..0xDC00).contains(&first)
        && text.get(end..end + 2) == Some(b"\\u")
        && let Some(second @ 0xDC00..0xE000) = unit(end + 2)
    {
        let code_point = 0x10000 + ((first - 0xD800) << 10) + (second - 0xDC00);
        return Some((code_point, end + 6));
    }
    Some((first, end))
}

/// Encodes a code point as UTF-8 would, also a lone surrogate.
fn push_code_point(bytes: &mut Vec<u8>, code_point: u32) {
    if let Some(character) = char::from_u32(code_point) {
        let mut buffer = [0; 4];
        bytes.extend_from_slice(character.encode_utf8(&mut buffer).as_bytes());
        return;
    }
    let low_bits = |shift: u32| 0x80 | (code_point >> shift & 0x3F) as u8;
    bytes.extend_from_slice(&[0xE0 | (code_point >> 12) as u8, low_bits(6), low_bits(0)]);
}

fn expect(text: &[u8], at: usize, byte: u8) -> Result<usize, BrokenJson> {
    match text.get(at) {
        Some(found) if *found == byte => Ok(at + 1),
        _ => Err(BrokenJson { at }),
    }
}

fn end_of_text(text: &[u8], at: usize) -> Result<(), BrokenJson> {
    let at = skip_space(text, at);
    if at == text.len() {
        Ok(())
    } else {
        Err(BrokenJson { at })
    }
}

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while matches!(text.get(at), Some(b' ' | b'\t' | b'\n' | b'\r')) {
        at += 1;
    }
    at
}

/// Reads a member's name and the colon after it; returns the name and where the colon ends.
fn read_name(text: &[u8], at: usize) -> Result<(&[u8], usize), BrokenJson> {
    let at = skip_space(text, at);
    let end = skip_string(text, at)?;
    let value_at = expect(text, skip_space(text, end), b':')?;
    Ok((&text[at + 1..end - 1], value_at))
}

fn skip_string(text: &[u8], start: usize) -> Result<usize, BrokenJson> {
    let mut at = expect(text, start, b'"')?;
    loop {
        match text.get(at) {
            Some(b'"') => return Ok(at + 1),
            Some(b'\\') => at += 2,
            Some(_) => at += 1,
            None => return Err(BrokenJson { at: text.len() }),
        }
    }
}

/// Skips a value; returns where it ends.
fn skip_value(text: &[u8], start: usize) -> Result<usize, BrokenJson> {
    let mut open = Vec::new();
    let mut at = start;
    loop {
        at = skip_space(text, at);
        match text.get(at) {
            Some(b'"') => at = skip_string(text, at)?,
            Some(bracket @ (b'{' | b'[')) => {
                let is_object = *bracket == b'{';
                let first = skip_space(text, at + 1);
                if text.get(first) != Some(if is_object { &b'}' } else { &b']' }) {
                    open.push(is_object);
                    at = if is_object {
                        read_name(text, first)?.1
                    } else {
                        first
                    };
                    continue;
                }
                at = first + 1;
            }
            _ => at = skip_word(text, at)?,
        }
        loop {
            let Some(is_object) = open.last() else {
                return Ok(at);
            };
            at = skip_space(text, at);
            match (text.get(at), is_object) {
                (Some(b','), true) => at = read_name(text, at + 1)?.1,
                (Some(b','), false) => at += 1,
                (Some(b'}'), true) | (Some(b']'), false) => {
                    open.pop();
                    at += 1;
                    continue;
                }
                _ => return Err(BrokenJson { at }),
            }
            break;
        }
    }
}

/// Skips a number, a literal or another word without quotes.
fn skip_word(text: &[u8], start: usize) -> Result<usize, BrokenJson> {
    let is_word = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'+' | b'-' | b'.');
    let length = text[start.min(text.len())..]
        .iter()
        .take_while(|byte| is_word(byte));
    match length.count() {
        0 => Err(BrokenJson { at: start }),
        length => Ok(start + length),
    }
}
