use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn bitmap_is_a_set_and_its_stored_form_fits_a_value(bits in proptest::collection::vec(0u32..8192, 0..300)) {
        let mut bitmap = Bitmap::default();
        let model: BTreeSet<u32> = bits.iter().copied().collect();
        for bit in &bits {
            bitmap.set(*bit);
        }
        let text = serde_json::to_string(&bitmap).expect("json");
        let back: Bitmap = serde_json::from_str(&text).expect("bitmap");
        prop_assert_eq!(&back, &bitmap);
        prop_assert_eq!(bitmap.count() as usize, model.len());
        prop_assert!((0..8192).all(|b| bitmap.get(b) == model.contains(&b)));
        prop_assert!(text.len() <= 8192 / 4 + 2);
        // If the hexadecimal digits do not fit, a shorter form is stored, which decodes to the same bitmap.
        for value_bytes in [8192, 2048, 1400] {
            let stored = bitmap.encode(value_bytes).expect("a form that fits");
            prop_assert!(stored.to_string().len() <= value_bytes);
            let back: Bitmap = serde_json::from_value(stored).expect("bitmap");
            prop_assert_eq!(&back, &bitmap);
        }
        prop_assert!(bitmap.encode(5).is_none() || bits.is_empty());
    }
}
