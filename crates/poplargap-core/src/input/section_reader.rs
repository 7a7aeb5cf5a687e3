//! Validation of the values of one section against the descriptions of its keys.

use {
    super::{ByteSize, IniSection, KeyDefault, KeyDescription, ValueKind, parse_duration},
    crate::finding::{InputFinding, InputFindings, nearest_word},
    std::{fmt::Display, net::SocketAddr, str::FromStr, time::Duration},
};

/// Parses the values of one section and adds a finding for each invalid one.
///
/// Methods that read a key return `None` if they added a finding or if the key is absent and has no
/// default.
#[derive(Debug)]
pub struct SectionReader<'a> {
    descriptions: &'a [KeyDescription],
    file: &'a str,
    findings: &'a mut InputFindings,
    heading: &'a str,
    section: &'static str,
    values: &'a [(String, String)],
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of the keys that `descriptions` lists for `section`.
    ///
    /// Adds a finding for each unknown and each duplicate key.
    #[must_use]
    pub fn open(
        file: &'a str,
        ini: &'a IniSection,
        section: &'static str,
        descriptions: &'a [KeyDescription],
        findings: &'a mut InputFindings,
    ) -> Self {
        let mut reader = Self {
            descriptions,
            file,
            findings,
            heading: &ini.heading,
            section,
            values: &ini.values,
        };
        for (i, (key, _)) in reader.values.iter().enumerate() {
            if !reader.known_keys().any(|known| known == key) {
                reader.add_unknown_key(key);
            } else if reader.values[..i].iter().any(|(earlier, _)| earlier == key) {
                reader.add_finding(key, "the key stands twice in this section");
            }
        }
        reader
    }

    /// Adds a finding about a key, or about the whole section if `key` is empty.
    pub fn add_finding(&mut self, key: &str, message: impl Display) {
        self.findings.push(InputFinding {
            file: self.file.to_owned(),
            section: self.heading.to_owned(),
            key: key.to_owned(),
            message: message.to_string(),
        });
    }

    /// Reads an address and port; only listeners may have port 0.
    pub fn address(&mut self, key: &str) -> Option<SocketAddr> {
        let (text, kind) = self.value_text(key)?;
        let address = parse_address(text, kind == ValueKind::Listener);
        self.value_or_finding(key, address)
    }

    /// Reads addresses separated by commas; an absent key gives an empty list.
    pub fn address_list(&mut self, key: &str) -> Option<Vec<SocketAddr>> {
        if !self.contains_key(key) {
            return Some(Vec::new());
        }
        self.list(key, |part| parse_address(part, false))
    }

    /// Reads a size in bytes, within the bounds of the key.
    pub fn bytes(&mut self, key: &str) -> Option<ByteSize> {
        let (text, kind) = self.value_text(key)?;
        let size = self.value_or_finding(key, text.parse::<ByteSize>())?;
        let in_range = matches!(kind, ValueKind::Bytes { max, min } if (min..=max).contains(&size));
        self.value_in_range(key, text, kind, in_range.then_some(size))
    }

    /// Reads one of the words that the key allows.
    pub fn choice<T: FromStr>(&mut self, key: &str) -> Option<T> {
        let (text, kind) = self.value_text(key)?;
        if let Ok(choice) = text.parse() {
            return Some(choice);
        }
        let ValueKind::Choice(words) = kind else {
            unreachable!("`{key}` is described as a choice");
        };
        let hint = nearest_word(text, words.iter().copied())
            .map(|word| format!("; did you mean `{word}`?"))
            .unwrap_or_default();
        let words = words.join("`, `");
        self.add_finding(key, format!("`{text}` is none of `{words}`{hint}"));
        None
    }

    /// Reads a decimal number, within the bounds of the key.
    pub fn decimal(&mut self, key: &str) -> Option<f64> {
        let (text, kind) = self.value_text(key)?;
        let number = text.parse::<f64>().ok();
        let Some(number) = number.filter(|number| number.is_finite()) else {
            self.add_finding(
                key,
                format!("`{text}` is no decimal number, such as `1.25`"),
            );
            return None;
        };
        let in_range = matches!(kind, ValueKind::Decimal { max, min }
            if (f64::from(min)..=f64::from(max)).contains(&number));
        self.value_in_range(key, text, kind, in_range.then_some(number))
    }

    /// Reads a duration, within the bounds of the key.
    pub fn duration(&mut self, key: &str) -> Option<Duration> {
        let (text, kind) = self.value_text(key)?;
        let duration = self.value_or_finding(key, parse_duration(text))?;
        let in_range = matches!(kind, ValueKind::Duration { max, min }
            if (min..=max).contains(&duration));
        self.value_in_range(key, text, kind, in_range.then_some(duration))
    }

    /// Returns whether the section contains the key.
    #[must_use]
    pub fn contains_key(&self, key: &str) -> bool {
        self.values.iter().any(|(present, _)| present == key)
    }

    /// Reads a value that its type validates, such as a name.
    pub fn checked<T>(&mut self, key: &str) -> Option<T>
    where
        T: TryFrom<&'a str, Error: Display>,
    {
        let (text, _) = self.value_text(key)?;
        self.value_or_finding(key, T::try_from(text))
    }

    /// Reads values separated by commas that their type validates; an absent key gives an empty
    /// list.
    pub fn checked_list<T>(&mut self, key: &str) -> Option<Vec<T>>
    where
        T: TryFrom<&'a str, Error: Display> + PartialEq,
    {
        if !self.contains_key(key) {
            return Some(Vec::new());
        }
        self.list(key, T::try_from)
    }

    /// Reads a whole number, within the bounds of the key.
    pub fn number<T: TryFrom<u64>>(&mut self, key: &str) -> Option<T> {
        let (text, kind) = self.value_text(key)?;
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            self.add_finding(key, format!("`{text}` is no whole number"));
            return None;
        }
        let number = text.parse::<u64>().ok().filter(
            |number| matches!(kind, ValueKind::Number { max, min, .. } if (min..=max).contains(number)),
        );
        let number = number.and_then(|number| T::try_from(number).ok());
        self.value_in_range(key, text, kind, number)
    }

    /// Reads a secret; findings don't show its text.
    pub fn secret<T: From<String>>(&mut self, key: &str) -> Option<T> {
        let (text, kind) = self.value_text(key)?;
        let ValueKind::Secret { len_min } = kind else {
            unreachable!("`{key}` is described as a secret");
        };
        let len = text.chars().count();
        if len < len_min {
            self.add_finding(
                key,
                format!("the secret has {len} characters; it needs at least {len_min}"),
            );
            return None;
        }
        Some(T::from(text.to_owned()))
    }

    /// Reads `yes` or `no`.
    pub fn yes_no(&mut self, key: &str) -> Option<bool> {
        let (text, _) = self.value_text(key)?;
        match text {
            "no" => Some(false),
            "yes" => Some(true),
            _ => {
                self.add_finding(key, format!("`{text}` is neither `yes` nor `no`"));
                None
            }
        }
    }

    fn add_unknown_key(&mut self, key: &str) {
        let hint = nearest_word(key, self.known_keys())
            .map(|known| format!("; did you mean `{known}`?"))
            .unwrap_or_default();
        self.add_finding(key, format!("the key is unknown{hint}"));
    }

    fn description(&self, key: &str) -> &'a KeyDescription {
        self.descriptions
            .iter()
            .find(|description| description.section == self.section && description.key == key)
            .expect("every key that is read is described")
    }

    fn value_or_finding<T, E: Display>(&mut self, key: &str, value: Result<T, E>) -> Option<T> {
        value.map_err(|error| self.add_finding(key, error)).ok()
    }

    fn value_in_range<T>(
        &mut self,
        key: &str,
        text: &str,
        kind: ValueKind,
        value: Option<T>,
    ) -> Option<T> {
        if value.is_none() {
            let bounds = kind.bounds();
            self.add_finding(
                key,
                format!("`{text}` is out of range; the range is {bounds}"),
            );
        }
        value
    }

    fn known_keys(&self) -> impl Iterator<Item = &'static str> + use<'a> {
        let section = self.section;
        self.descriptions
            .iter()
            .filter(move |description| description.section == section)
            .map(|description| description.key)
    }

    fn list<T: PartialEq, E: Display>(
        &mut self,
        key: &str,
        parse: impl Fn(&'a str) -> Result<T, E>,
    ) -> Option<Vec<T>> {
        let (text, _) = self.value_text(key)?;
        let mut list = Vec::new();
        let mut is_valid = true;
        for part in text.split(',').map(str::trim) {
            match self.value_or_finding(key, parse(part)) {
                Some(value) if list.contains(&value) => {
                    self.add_finding(key, format!("`{part}` stands twice"));
                    is_valid = false;
                }
                Some(value) => list.push(value),
                None => is_valid = false,
            }
        }
        is_valid.then_some(list)
    }

    fn value_text(&mut self, key: &str) -> Option<(&'a str, ValueKind)> {
        let description = self.description(key);
        if let Some((_, value)) = self.values.iter().find(|(present, _)| present == key) {
            return Some((value, description.kind));
        }
        match description.default {
            KeyDefault::Absent(_) => None,
            KeyDefault::Required => {
                let unit = description.kind.unit();
                self.add_finding(key, format!("the key is missing; it takes: {unit}"));
                None
            }
            KeyDefault::Text(text) => Some((text, description.kind)),
        }
    }
}

fn parse_address(text: &str, allows_port_zero: bool) -> Result<SocketAddr, String> {
    if let Ok(address) = text.parse::<SocketAddr>() {
        if address.port() == 0 && !allows_port_zero {
            return Err("the port 0 is out of range; ports lie between 1 and 65535".to_owned());
        }
        return Ok(address);
    }
    let port = text.rsplit_once(':').map_or("", |(_, port)| port);
    if port.len() > 4 && port.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(format!(
            "the port {port} is out of range; ports lie between 1 and 65535"
        ));
    }
    Err(format!(
        "`{text}` is no IP address with a port, such as `10.0.0.7:8080`"
    ))
}
