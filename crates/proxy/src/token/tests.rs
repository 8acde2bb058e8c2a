use super::*;

#[test]
fn a_token_maps_back_to_its_source_for_any_instance_number() {
    let sources = [
        Source::Listener,
        Source::ReportStream,
        Source::TableFiles,
        Source::TableStream,
        Source::Client(0),
        Source::Client(20_000),
        Source::Upstream(0),
        Source::Upstream(20_000),
    ];
    for instance in [0, 1, 4000] {
        let tokens = TokenSpace::new(instance);
        for source in sources {
            let token = tokens.token(source);
            assert_eq!(TokenSpace::source(token), source);
            assert_eq!(token.0 >> INSTANCE_BITS, u64::from(instance));
            let is_upstream = matches!(source, Source::Upstream(_));
            assert_eq!(is_upstream_token(token), is_upstream, "{source:?}");
        }
    }
}
