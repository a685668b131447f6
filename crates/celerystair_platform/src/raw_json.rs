//! Finds the parts of a JSON text without reading what is in them, so that one that can't be read takes
//! no other with it. Depth, numbers, escapes and bytes that aren't UTF-8 don't matter here; only quotes,
//! brackets, commas and colons do.
//!
//! A scan keeps no more than one byte for each open bracket, and its time is limited by the length of
//! the text.

use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

/// The most bytes that are looked at for each byte of the text. A sound text needs one; the rest is for
/// finding the next element after one that is no JSON at all.
const SCANNED_BYTES_PER_BYTE: usize = 16;
/// The same for a text of any length, so that a short one with much to try is read as well.
const SCANNED_BYTES_MIN: usize = 4 << 20;
/// The longest text from the end of the array on: a few short members. Brackets inside an element that is
/// no JSON are many, and each may look like the array's end for as long as this.
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
    /// Reads a member; `None` if it isn't there.
    ///
    /// # Errors
    /// The member isn't of this type.
    pub fn read<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, serde_json::Error> {
        find(&self.members, name)
            .map(serde_json::from_slice)
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
        find(&self.members, name)
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
/// # Errors
/// [`BrokenJson`] if the object, or the array but for its elements, is malformed.
pub fn split_list<'a>(
    text: &'a [u8],
    array_name: &str,
    is_element: impl Fn(&[u8]) -> bool,
) -> Result<RawList<'a>, BrokenJson> {
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
            let (elements, end, rest) = split_array(text, start, &is_element)?;
            list.elements = Some(elements);
            list.members.extend(rest);
            return end_of_text(text, end).map(|()| list);
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

/// The elements of an array, the end of the object that it is in, and the members after it.
type ArrayAndRest<'a> = (Vec<&'a [u8]>, usize, Vec<RawMember<'a>>);

fn split_array<'a>(
    text: &'a [u8],
    start: usize,
    is_element: &impl Fn(&[u8]) -> bool,
) -> Result<ArrayAndRest<'a>, BrokenJson> {
    let mut elements = Vec::new();
    let budget_bytes = text.len().saturating_mul(SCANNED_BYTES_PER_BYTE);
    let mut budget_bytes = budget_bytes.saturating_add(SCANNED_BYTES_MIN);
    let mut at = skip_space(text, start);
    loop {
        if let Some((end, rest)) = array_end(text, at, &mut budget_bytes) {
            return Ok((elements, end, rest));
        }
        let next = match element_end(text, at, &mut budget_bytes) {
            Some(end) => {
                elements.push(&text[at..end]);
                skip_space(text, end)
            }
            None => {
                let next = recover(text, at, is_element, &mut budget_bytes)?;
                elements.push(&text[at..next]);
                next
            }
        };
        at = match text.get(next) {
            Some(b',') => skip_space(text, next + 1),
            _ => next,
        };
    }
}

/// Returns the end of the element at `at`: an object that a comma or the array's end follows.
fn element_end(text: &[u8], at: usize, budget_bytes: &mut usize) -> Option<usize> {
    if text.get(at) != Some(&b'{') {
        return None;
    }
    let end = skip_value_within(text, at, budget_bytes).ok()?;
    let next = skip_space(text, end);
    let is_followed = match text.get(next) {
        Some(b',') => true,
        Some(b']') => array_end(text, next, budget_bytes).is_some(),
        _ => false,
    };
    is_followed.then_some(end)
}

/// Reads the end of the array at `at` and the members after it, up to the end of the text; `None` if
/// anything else is there.
fn array_end<'a>(
    text: &'a [u8],
    at: usize,
    budget_bytes: &mut usize,
) -> Option<(usize, Vec<RawMember<'a>>)> {
    if text.len().saturating_sub(at) > TAIL_MAX_BYTES {
        return None;
    }
    let mut at = skip_space(text, expect(text, at, b']').ok()?);
    let mut members = Vec::new();
    while text.get(at) == Some(&b',') {
        let named = read_name(text, at + 1);
        let looked_at = named.map_or_else(|error| error.at, |(_, value_at)| value_at);
        spend(budget_bytes, at, looked_at);
        let (name, value_at) = named.ok()?;
        let value_at = skip_space(text, value_at);
        let end = skip_value_within(text, value_at, budget_bytes).ok()?;
        members.push((name, &text[value_at..end]));
        at = skip_space(text, end);
    }
    let end = expect(text, at, b'}').ok()?;
    end_of_text(text, end).ok()?;
    Some((end, members))
}

/// Returns where the array goes on after an element at `at` that is no JSON: the comma before the next
/// element, or the array's end.
fn recover(
    text: &[u8],
    at: usize,
    is_element: &impl Fn(&[u8]) -> bool,
    budget_bytes: &mut usize,
) -> Result<usize, BrokenJson> {
    for next in at..text.len() {
        let goes_on = match text[next] {
            b',' => {
                let element_at = skip_space(text, next + 1);
                let end = element_end(text, element_at, budget_bytes);
                end.is_some_and(|end| is_element(&text[element_at..end]))
            }
            b']' => array_end(text, next, budget_bytes).is_some(),
            _ => false,
        };
        if goes_on {
            return Ok(next);
        }
        if *budget_bytes == 0 {
            break;
        }
    }
    Err(BrokenJson { at })
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

/// Returns the value of the first member with this name.
fn find<'a>(members: &[RawMember<'a>], name: &str) -> Option<&'a [u8]> {
    let mut named = members
        .iter()
        .filter(|(known, _)| *known == name.as_bytes());
    named.next().map(|(_, value)| *value)
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

/// Reads a value. Bytes that aren't UTF-8 damage only the strings that they are in.
///
/// # Errors
/// The parser's, for a text that it can't read, for instance one that is too deep or has too large a
/// number.
pub fn read_value(text: &[u8]) -> Result<Value, serde_json::Error> {
    match std::str::from_utf8(text) {
        Ok(text) => serde_json::from_str(text),
        Err(_) => serde_json::from_str(&String::from_utf8_lossy(text)),
    }
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

/// Skips a value, unless nothing is left of `budget_bytes`, which falls by what it looks at.
fn skip_value_within(
    text: &[u8],
    start: usize,
    budget_bytes: &mut usize,
) -> Result<usize, BrokenJson> {
    if *budget_bytes == 0 {
        return Err(BrokenJson { at: start });
    }
    let skipped = skip_value(text, start);
    spend(
        budget_bytes,
        start,
        skipped.unwrap_or_else(|error| error.at),
    );
    skipped
}

fn spend(budget_bytes: &mut usize, from: usize, to: usize) {
    *budget_bytes = budget_bytes.saturating_sub(to.saturating_sub(from).saturating_add(1));
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
