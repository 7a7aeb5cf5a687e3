//! Reads single fields of flat JSON texts, as the daemons write them.

/// Returns the text after `"name":`.
fn after<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mark = format!("\"{name}\":");
    let start = text.find(&mark)? + mark.len();
    Some(text[start..].trim_start())
}

/// Returns a number.
pub fn number(text: &str, name: &str) -> Option<u64> {
    let rest = after(text, name)?;
    let end = rest.find(|sign: char| !sign.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}

/// Returns a text without escapes.
pub fn text<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let rest = after(text, name)?.strip_prefix('"')?;
    Some(&rest[..rest.find('"')?])
}
