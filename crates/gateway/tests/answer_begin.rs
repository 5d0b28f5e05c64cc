//! The first byte of an answer after the comments of an event stream.

use bulrushhall_gateway::crashes::AnswerBegin;
use rstest::rstest;

// Guards against a crash that counts for nothing since comments, sent before the prompt was read, are taken for the answer.
#[rstest]
#[case::comment(&[": queued\n\n"], false)]
#[case::comment_in_parts(&[": que", "ued\n", "\n:", " data\n"], false)]
#[case::blank_lines(&["\r\n", "\n"], false)]
#[case::event(&["data: a\n\n"], true)]
#[case::event_after_comment(&[": queued\n", "\nid: 1\n"], true)]
#[case::plain(&["{\"a\": 1}"], true)]
fn begins(#[case] frames: &[&str], #[case] has_begun: bool) {
    let mut begin = AnswerBegin::default();
    let mut begun = false;
    for frame in frames {
        begun = begin.note(frame.as_bytes());
    }
    assert_eq!(begun, has_begun);
}
