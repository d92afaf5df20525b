//! Median of the last values.

/// The last three values. Their median ignores a single slow statement, and shows a
/// server that has become slow after two.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Recent {
    values: [f64; 3],
    len: usize,
}

impl Recent {
    pub(crate) fn push(&mut self, value: f64) {
        self.values.rotate_right(1);
        self.values[0] = value;
        self.len = (self.len + 1).min(self.values.len());
    }

    /// Median of the last three values, or the lowest of fewer.
    pub(crate) fn median(&self) -> Option<f64> {
        let mut values = self.values;
        let known = &mut values[..self.len];
        known.sort_unstable_by(f64::total_cmp);
        known.get(self.len / 3).copied()
    }
}
