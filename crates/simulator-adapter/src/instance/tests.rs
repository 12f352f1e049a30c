use super::{BalancerPanic, catch_panic};

#[test]
fn a_panic_is_returned_as_its_message() {
    let panic = |message: &str| Err(BalancerPanic(message.to_owned()));
    assert_eq!(catch_panic(|| ()), Ok(()));
    assert_eq!(catch_panic(|| panic!("plain")), panic("plain"));
    assert_eq!(catch_panic(|| panic!("number {}", 7)), panic("number 7"));
}
