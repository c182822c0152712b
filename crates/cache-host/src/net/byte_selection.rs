//! Conditional and range requests (RFC 9110, sections 13 and 14): which bytes of a body are sent.
use pointspindle_protocol::http::matches_validator;
use pointspindle_protocol::range::{Range, ResolvedRange};
use pointspindle_protocol::{RequestHead, ResponseHead};

/// The bytes of the body that are sent.
pub(super) struct ByteSelection {
    pub from: u64,
    pub len: u64,
    /// Whether `len` is the exact length; if not, the body is sent up to its end.
    pub is_exact: bool,
}

impl ByteSelection {
    /// Returns the offset after the last selected byte.
    pub fn end(&self) -> u64 {
        self.from.saturating_add(self.len)
    }

    /// Whether all selected bytes lie before `position`.
    pub fn ends_before(&self, position: u64) -> bool {
        self.is_exact && position >= self.end()
    }
}

/// Applies the validators and the range of a request to the head of a complete response.
pub(super) fn select_bytes(
    mut head: ResponseHead,
    request: &RequestHead,
) -> (ResponseHead, ByteSelection) {
    let mut selection = ByteSelection {
        from: 0,
        len: head.size.unwrap_or(u64::MAX),
        is_exact: head.size.is_some(),
    };
    if head.origin_status == 0 && validator_matches(&head, request) {
        head.not_modified = true;
    }
    match (requested_range(&head, request), head.size) {
        (Some(range), Some(complete_size)) => {
            apply_range(&range, complete_size, &mut head, &mut selection);
        }
        _ if head.not_modified => head.size = None,
        _ => {}
    }
    if head.not_modified || request.head_only {
        selection.len = 0;
        selection.is_exact = true;
    }
    (head, selection)
}

fn validator_matches(head: &ResponseHead, request: &RequestHead) -> bool {
    !head.validator.is_empty() && matches_validator(&request.if_none_match, &head.validator)
}

/// Returns the requested range if it applies to this response.
fn requested_range(head: &ResponseHead, request: &RequestHead) -> Option<Range> {
    if request.range.is_empty() || head.origin_status != 0 || head.not_modified {
        return None;
    }
    // If-Range needs a strong validator (13.1.5).
    let is_strong = !head.validator.starts_with("W/");
    let same_version = is_strong && request.if_range == head.validator;
    if !request.if_range.is_empty() && !same_version {
        return None;
    }
    Range::parse(&request.range)
}

fn apply_range(
    range: &Range,
    complete_size: u64,
    head: &mut ResponseHead,
    selection: &mut ByteSelection,
) {
    head.complete_size = Some(complete_size);
    match range.resolve(complete_size) {
        ResolvedRange::Part(first, last) => {
            selection.from = first;
            selection.len = last + 1 - first;
            head.size = Some(selection.len);
            head.range_first = Some(first);
        }
        ResolvedRange::Unsatisfiable => {
            selection.len = 0;
            head.size = Some(0);
            head.unsatisfiable = true;
        }
    }
}
