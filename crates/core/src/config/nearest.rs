//! The known word that a mistyped one was probably meant to be.

/// The likeness below which two words have nothing to do with each other; 1 is equal.
const LIKENESS_MIN: f64 = 0.5;

/// Returns the known word that is most like `word`, if one is like it at all.
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut best: Option<(f64, &str)> = None;
    for candidate in known {
        let likeness = strsim::normalized_damerau_levenshtein(word, candidate);
        if likeness < LIKENESS_MIN || best.is_some_and(|(most, _)| likeness <= most) {
            continue;
        }
        best = Some((likeness, candidate));
    }
    best.map(|(_, candidate)| candidate)
}
