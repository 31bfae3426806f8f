//! The codes of termination reasons in the log, each of which the on-call page explains.

#[test]
fn the_on_call_page_explains_every_reason_code() {
    let page = include_str!("../../../docs/on-call.md");
    for reason in alderstile_node::proxy::termination_reason::TerminationReason::ALL {
        assert!(page.contains(&format!("| `{reason}` |")), "{reason}");
    }
}
