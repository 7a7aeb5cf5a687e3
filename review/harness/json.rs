//! A small JSON reader and base64, as far as the calls to the store need them.

pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars
        .get(*at)
        .is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':')
    {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match *chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(chars, at);
                if *chars.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                let key = string(chars, at)?;
                fields.push((key, value(chars, at)?));
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(chars, at);
                if *chars.get(*at)? == ']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(value(chars, at)?);
            }
        }
        '"' => string(chars, at).map(Json::Text),
        _ => {
            let start = *at;
            while chars
                .get(*at)
                .is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c))
            {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            if word.is_empty() {
                return None;
            }
            Some(word.parse().map_or(Json::Other, Json::Number))
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    let mut text = String::new();
    *at += 1;
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                text.push(match escaped {
                    'n' => '\n',
                    't' => '\t',
                    'r' => '\r',
                    other => other,
                });
            }
            other => text.push(other),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(ALPHABET[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|known| *known == byte) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}
