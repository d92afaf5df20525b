//! Declarations as the canonical text that the control log carries: JSON with
//! sorted keys and every default written out.

use crate::check::Violation;
use crate::model::Declarations;

impl Declarations {
    /// Reads and checks a canonical text.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse(text: &str) -> Result<Self, Vec<Violation>> {
        let read = serde_json::from_str::<Self>(text);
        let declarations =
            read.map_err(|error| vec![Violation::Syntax { text: error.to_string() }])?;
        let violations = declarations.violations();
        if violations.is_empty() { Ok(declarations) } else { Err(violations) }
    }

    /// The canonical text.
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).expect("declarations hold nothing that JSON can't")
    }
}
