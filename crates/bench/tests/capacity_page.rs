//! The tables of the capacity page match the recorded slopes.

use std::{collections::BTreeMap, fs, path::PathBuf};

use bulrushhall_bench::capacity::{PageError, Point, Slope, Slopes, Target, fill, tables};

fn docs(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    fs::read_to_string(path).expect("a readable page")
}

fn recorded() -> Slopes {
    serde_json::from_str(&docs("capacity/slopes.json")).expect("recorded slopes")
}

// A value on the page is changed by hand, or new slopes are recorded without an update of the page.
// An operator would then plan with values that were not measured.
#[test]
fn page_matches_slopes() {
    let page = docs("CAPACITY.md");
    let filled = fill(&page, &tables(&recorded(), &Target::default())).expect("a whole page");
    assert!(filled == page, "run: cargo run --release --bin capacity -- --tables-only");
}

#[test]
fn changed_slope_changes_page() {
    let page = docs("CAPACITY.md");
    let mut slopes = recorded();
    let slope = slopes.slopes.get_mut("relay_processor").expect("a slope");
    slope.each *= 2.0;
    let filled = fill(&page, &tables(&slopes, &Target::default())).expect("a whole page");
    assert!(filled != page);
}

#[test]
fn slopes_have_at_least_three_sizes() {
    for (name, slope) in recorded().slopes {
        assert!(3 <= slope.points.len(), "{name}");
        let again = Slope::through(&slope.value, &slope.size, slope.points.clone());
        assert!((again.each - slope.each).abs() < 1e-3, "{name}");
    }
}

#[test]
fn fit_of_linear_points_is_exact() {
    let points = [1.0, 2.0, 5.0].map(|size| Point { size, value: 3.0 + 0.5 * size });
    let slope = Slope::through("µs", "things", points.to_vec());
    assert_eq!((slope.each, slope.fixed, slope.fit), (0.5, 3.0, 1.0));
    assert_eq!(slope.range(), (1.0, 5.0));
    assert!(slope.is_extrapolated(6.0) && !slope.is_extrapolated(5.0));
}

#[test]
fn invalid_pages_are_rejected() {
    let tables = BTreeMap::from([("load", "rows".to_owned())]);
    let filled = fill("a\n<!-- table: load -->\nold\n<!-- end -->\nb", &tables);
    assert_eq!(filled.as_deref(), Ok("a\n<!-- table: load -->\n\nrows\n<!-- end -->\nb"));
    let unknown = fill("<!-- table: other -->\n<!-- end -->", &tables);
    assert_eq!(unknown, Err(PageError::UnknownTable("other".to_owned())));
    let open = fill("<!-- table: load -->\nrows", &tables);
    assert_eq!(open, Err(PageError::NotClosed("load".to_owned())));
    assert_eq!(fill("no table", &tables), Err(PageError::NoPlace("load".to_owned())));
}
