use super::*;

#[test]
fn what_is_packed_is_unpacked_whole_and_what_is_no_packing_is_refused() {
    let body: Vec<u8> = (0..20_000u32).flat_map(|no| format!("\"r{}\":1,", no % 700).into_bytes()).collect();
    let small = packed(&body).expect("it can be packed");
    assert!(small.len() * 4 < body.len(), "{} of {}", small.len(), body.len());
    assert_eq!(unpacked(&small).expect("whole"), body);
    assert!(unpacked(&small[..small.len() / 2]).is_none() && unpacked(b"no such thing").is_none());
}
