//! Reading and writing of proxy statuses.

use super::*;

#[test]
fn a_status_of_the_published_form_is_read_and_written_again() {
    let text = r#"{"node": {"id": "g1"}, "genericXdsConfigs": [{
          "typeUrl": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
          "versionInfo": "41", "clientStatus": "NACKED",
          "errorState": {"versionInfo": "42", "details": "no route"}}]}"#;
    let status = read(text).expect("the status has the published form");
    assert_eq!(status.version, Version(41));
    assert_eq!(status.rejected, Some((Version(42), "no route".to_string())));
    assert_eq!(read(&write(&status).expect("written")), Ok(status));
    assert!(read("{}").is_err() && read(&text.replace("\"41\"", "\"x\"")).is_err());
}
