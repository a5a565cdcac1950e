/// The length from which a run of hex digits is masked as possible key material.
const MINIMUM_SECRET_DIGITS: usize = 16;

/// Replaces everything in `text` that may be key material by `*`, byte for byte.
///
/// The text need not be well-formed: the value after each field whose name ends in `key` is masked,
/// and so is each long run of hex digits.
pub(super) fn mask(text: &str) -> String {
    let mut masked: Vec<char> = text.chars().collect();
    mask_fields(&mut masked);
    mask_hex_runs(&mut masked);
    text.chars()
        .zip(masked)
        .flat_map(|(old, new)| {
            // A masked character keeps its length in bytes, so that spans stay valid.
            let count = if old == new { 1 } else { old.len_utf8() };
            std::iter::repeat_n(new, count)
        })
        .collect()
}

fn mask_fields(text: &mut [char]) {
    for start in 0..text.len().saturating_sub(3) {
        if text[start..start + 3] != ['k', 'e', 'y'] {
            continue;
        }
        let is_separator = |c: &char| c.is_whitespace() || matches!(c, '"' | '\'' | ':');
        let begin = start + 3 + text[start + 3..].iter().take_while(|c| is_separator(c)).count();
        if !text[start + 3..begin].contains(&':') {
            continue;
        }
        text[begin..]
            .iter_mut()
            .take_while(|c| !matches!(**c, '"' | '\'' | '\n' | ',' | '}'))
            .for_each(|c| *c = '*');
    }
}

fn mask_hex_runs(text: &mut [char]) {
    for run in text.chunk_by_mut(|a, b| a.is_ascii_hexdigit() == b.is_ascii_hexdigit()) {
        if run.len() >= MINIMUM_SECRET_DIGITS && run[0].is_ascii_hexdigit() {
            run.fill('*');
        }
    }
}
