use super::*;

#[test]
fn a_compressed_body_round_trips_and_a_malformed_one_is_refused() {
    let body: Vec<u8> =
        (0..20_000u32).flat_map(|number| format!("\"r{}\":1,", number % 700).into_bytes()).collect();
    let compressed = compress(&body).expect("compression succeeds");
    assert!(compressed.len() * 4 < body.len(), "compressed to {} of {} bytes", compressed.len(), body.len());
    assert_eq!(decompress(&compressed).expect("decompression succeeds"), body);
    assert!(
        decompress(&compressed[..compressed.len() / 2]).is_none() && decompress(b"no such thing").is_none()
    );
}
