//! Small formulas over named figures: `+ - * / ( )`, numbers, names and calls. A figure carries its error with it, by
//! the measured parameter that each part comes from, so that one parameter used twice counts once.

use std::collections::BTreeMap;

/// A measured parameter: a fit's name and which of its parameters.
pub type Parameter = (String, usize);

/// A figure and what each measured parameter's standard error moves it by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figure {
    /// Its value.
    pub value: f64,
    /// By parameter: derivative times standard error.
    pub moved: BTreeMap<Parameter, f64>,
}

impl From<f64> for Figure {
    fn from(value: f64) -> Self {
        Figure { value, moved: BTreeMap::new() }
    }
}

impl Figure {
    /// The standard error; parameters are taken as independent of one another.
    pub fn error(&self) -> f64 {
        self.moved.values().map(|moved| moved * moved).sum::<f64>().sqrt()
    }

    /// `value`, where this one moves by `mine` and the other by `theirs` times as much.
    fn join(self, value: f64, mine: f64, other: Figure, theirs: f64) -> Figure {
        let mut moved: BTreeMap<_, _> = self.moved.into_iter().map(|(key, by)| (key, by * mine)).collect();
        for (key, by) in other.moved {
            *moved.entry(key).or_default() += by * theirs;
        }
        Figure { value, moved }
    }

    fn through(self, value: f64, slope: f64) -> Figure {
        self.join(value, slope, Figure::default(), 0.0)
    }
}

/// A formula, read.
#[derive(Clone, Debug, PartialEq)]
pub enum Formula {
    /// A number.
    Number(f64),
    /// A name.
    Name(String),
    /// A call: of `min`, `max`, `exp`, `sqrt`, or of what the scope knows.
    Call(String, Vec<Formula>),
    /// Two figures with a sign between.
    Joined(char, Box<Formula>, Box<Formula>),
}

/// Why a formula has no figure.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FormulaError {
    /// It cannot be read.
    #[error("at {at}: {wanted}")]
    Syntax {
        /// How many characters stand before.
        at: usize,
        /// What was wanted.
        wanted: &'static str,
    },
    /// A name that nothing has.
    #[error("{0}: no such target, fit or function")]
    Unknown(String),
    /// A call with a wrong number of figures.
    #[error("{0}: wanted {1} figures in brackets")]
    Count(String, usize),
    /// What it names was not measured.
    #[error("{0}: not measured")]
    NotMeasured(String),
    /// A division by nought, or the root of a figure below it.
    #[error("no number comes of it")]
    NoNumber,
}

/// What a formula's names and calls mean.
pub trait Scope {
    /// The figure of a name.
    ///
    /// # Errors
    /// Nothing has the name, or it was not measured.
    fn name(&mut self, name: &str) -> Result<Figure, FormulaError>;

    /// The figure of a call.
    ///
    /// # Errors
    /// Nothing has the name, or it was not measured.
    fn call(&mut self, name: &str, with: Vec<Figure>) -> Result<Figure, FormulaError> {
        let _ = with;
        Err(FormulaError::Unknown(name.to_owned()))
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, signs: &[u8]) -> Option<char> {
        let sign = self.next().filter(|sign| signs.contains(sign))?;
        self.at += 1;
        Some(char::from(sign))
    }

    fn wanted(&self, wanted: &'static str) -> FormulaError {
        FormulaError::Syntax { at: self.at, wanted }
    }

    fn sum(&mut self) -> Result<Formula, FormulaError> {
        let mut left = self.product()?;
        while let Some(sign) = self.take(b"+-") {
            left = Formula::Joined(sign, Box::new(left), Box::new(self.product()?));
        }
        Ok(left)
    }

    fn product(&mut self) -> Result<Formula, FormulaError> {
        let mut left = self.single()?;
        while let Some(sign) = self.take(b"*/") {
            left = Formula::Joined(sign, Box::new(left), Box::new(self.single()?));
        }
        Ok(left)
    }

    fn word(&mut self, of: impl Fn(u8) -> bool) -> String {
        let from = self.at;
        while self.text.get(self.at).copied().is_some_and(&of) {
            self.at += 1;
        }
        String::from_utf8_lossy(&self.text[from..self.at]).into_owned()
    }

    fn single(&mut self) -> Result<Formula, FormulaError> {
        const WANTED: &str = "wanted a number, a name or a bracket";
        if self.take(b"-").is_some() {
            return Ok(Formula::Joined('-', Box::new(Formula::Number(0.0)), Box::new(self.single()?)));
        }
        if self.take(b"(").is_some() {
            let inner = self.sum()?;
            return self.take(b")").map(|_| inner).ok_or_else(|| self.wanted("wanted a closing bracket"));
        }
        match self.next() {
            Some(b'0'..=b'9') => {
                let text = self.word(|c| c.is_ascii_digit() || c == b'.' || c == b'_').replace('_', "");
                text.parse().map(Formula::Number).map_err(|_| self.wanted("wanted a number"))
            }
            Some(b'a'..=b'z') => {
                let of = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'_' || c == b'.';
                let name = self.word(of);
                if self.take(b"(").is_none() {
                    return Ok(Formula::Name(name));
                }
                let mut with = vec![self.sum()?];
                while self.take(b",").is_some() {
                    with.push(self.sum()?);
                }
                self.take(b")").ok_or_else(|| self.wanted("wanted a comma or a closing bracket"))?;
                Ok(Formula::Call(name, with))
            }
            _ => Err(self.wanted(WANTED)),
        }
    }
}

impl Formula {
    /// Reads a formula.
    ///
    /// # Errors
    /// Where it cannot be read, and what was wanted there.
    pub fn parse(text: &str) -> Result<Self, FormulaError> {
        let mut reader = Reader { text: text.as_bytes(), at: 0 };
        let formula = reader.sum()?;
        match reader.next() {
            None => Ok(formula),
            Some(_) => Err(reader.wanted("wanted a sign or the end")),
        }
    }

    /// Its figure.
    ///
    /// # Errors
    /// What has no figure.
    pub fn figure(&self, scope: &mut dyn Scope) -> Result<Figure, FormulaError> {
        let figure = match self {
            Formula::Number(number) => Figure::from(*number),
            Formula::Name(name) => scope.name(name)?,
            Formula::Call(name, with) => {
                let with = with.iter().map(|part| part.figure(scope)).collect::<Result<Vec<_>, _>>()?;
                called(name, with, scope)?
            }
            Formula::Joined(sign, left, right) => {
                let (left, right) = (left.figure(scope)?, right.figure(scope)?);
                let (a, b) = (left.value, right.value);
                match sign {
                    '+' => left.join(a + b, 1.0, right, 1.0),
                    '-' => left.join(a - b, 1.0, right, -1.0),
                    '*' => left.join(a * b, b, right, a),
                    _ => left.join(a / b, 1.0 / b, right, -a / (b * b)),
                }
            }
        };
        figure.value.is_finite().then_some(figure).ok_or(FormulaError::NoNumber)
    }
}

fn called(name: &str, mut with: Vec<Figure>, scope: &mut dyn Scope) -> Result<Figure, FormulaError> {
    let larger = match name {
        "exp" | "sqrt" => {
            let (1, Some(figure)) = (with.len(), with.pop()) else {
                return Err(FormulaError::Count(name.into(), 1));
            };
            let value = if name == "exp" { figure.value.exp() } else { figure.value.sqrt() };
            return Ok(figure.through(value, if name == "exp" { value } else { 0.5 / value }));
        }
        "max" => true,
        "min" => false,
        _ => return scope.call(name, with),
    };
    let chosen = with.into_iter().reduce(|a, b| if (a.value >= b.value) == larger { a } else { b });
    chosen.ok_or_else(|| FormulaError::Count(name.into(), 1))
}
