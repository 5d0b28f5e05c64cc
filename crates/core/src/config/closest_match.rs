//! Suggestions for mistyped words.

/// The minimum similarity of a suggestion; 1 means that both words are equal.
const MIN_SIMILARITY: f64 = 0.5;

/// Returns the known word that is most similar to `word`, if one is similar enough.
pub fn closest_match<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut best: Option<(f64, &str)> = None;
    for candidate in known {
        let similarity = strsim::normalized_damerau_levenshtein(word, candidate);
        if similarity < MIN_SIMILARITY || best.is_some_and(|(most, _)| similarity <= most) {
            continue;
        }
        best = Some((similarity, candidate));
    }
    best.map(|(_, candidate)| candidate)
}
