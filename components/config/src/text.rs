//! The canonical text of declarations, as the control log carries it: JSON whose
//! declarations are sorted by name, and whose fields are in the order in which the
//! types of [`crate::model`] define them. Fields with a default value are written
//! out, except for `databases` and `teams`, `acknowledges` and `connections` of a group,
//! `public` of a database and `quota` of a team.

use crate::check::Violation;
use crate::model::Declarations;

impl Declarations {
    /// Parses and validates declarations from their canonical text.
    ///
    /// # Errors
    /// [`Violation::Syntax`] if the text can't be parsed, else all rules that the
    /// declarations violate.
    pub fn parse(text: &str) -> Result<Self, Vec<Violation>> {
        let read = serde_json::from_str::<Self>(text);
        let declarations =
            read.map_err(|error| vec![Violation::Syntax { text: error.to_string() }])?;
        let violations = declarations.violations();
        if violations.is_empty() { Ok(declarations) } else { Err(violations) }
    }

    /// The canonical text of the declarations.
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).expect("declarations can be represented as JSON")
    }
}
