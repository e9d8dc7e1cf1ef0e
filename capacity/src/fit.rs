//! A line through points by least squares, its errors, and how far it is one.
//!
//! Guards against a figure at the target that no line bears out: sizes that leave the line are named, and where some
//! do, what is asked for is taken from the sizes' own means, and beyond them from the steeper of line and last step.

/// A departure of less than this part of the line's value is none, however little the runs spread.
const MIN_OFF: f64 = 0.01;
/// Sizes that differ by less than this part are one.
const SAME_SIZE: f64 = 0.1;

/// The runs at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// The size, in the mean of its runs.
    pub x: f64,
    /// Mean over its runs.
    pub mean: f64,
    /// How many.
    pub runs: usize,
}

/// A line through points, with what is known of its worth.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Rise for each unit of x.
    pub slope: f64,
    /// Its standard error.
    pub slope_error: f64,
    /// Value at nought.
    pub intercept: f64,
    /// Its standard error.
    pub intercept_error: f64,
    /// Mean of x over the runs; slope and value there are independent.
    pub mean_x: f64,
    /// Standard error of the value there.
    pub mean_error: f64,
    /// Standard deviation of the runs round the line.
    pub residual: f64,
    /// Part of the runs' variance that the line explains.
    pub r2: f64,
    /// Standard deviation of the runs round their size's mean, over all sizes and beside the line; `None` with one run a size.
    pub spread: Option<f64>,
    /// The sizes, ascending.
    pub sizes: Vec<Size>,
    /// Those whose mean is off the line by more than twice the spread.
    pub off: Vec<f64>,
    /// The largest size up to which a line holds; `None` where it is not known (one run a size) or none does.
    pub straight_to: Option<f64>,
    /// The term in x squared of a parabola through the same points, and its standard error, from four sizes on.
    pub curvature: Option<(f64, f64)>,
}

/// Why there is no line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// One size, or fewer than three runs.
    #[error("{sizes} sizes in {runs} runs: a line takes two sizes and three runs")]
    TooFew {
        /// Sizes.
        sizes: usize,
        /// Runs.
        runs: usize,
    },
}

fn sums(points: &[(f64, f64)]) -> (f64, f64, f64, f64) {
    let n = points.len() as f64;
    let (x, y) = (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let sxx = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let sxy = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    (x, y, sxx, sxy)
}

/// Runs by size: what a run measured as its size (changes that it came to, say) differs a little from the next.
fn by_size(points: &[(f64, f64)]) -> Vec<Vec<(f64, f64)>> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let groups = sorted.chunk_by(|a, b| b.0 - a.0 <= SAME_SIZE * b.0.abs());
    groups.map(<[_]>::to_vec).collect()
}

/// Standard deviation of a sum of squares with so many degrees of freedom left.
fn deviation(squares: f64, left: usize) -> f64 {
    if left == 0 { 0.0 } else { (squares.max(0.0) / left as f64).sqrt() }
}

/// Sizes off a line through the points up to `to`.
fn off(points: &[(f64, f64)], sizes: &[Size], spread: f64) -> Vec<f64> {
    let (x, y, sxx, sxy) = sums(points);
    let line = |at: f64| y + sxy / sxx * (at - x);
    // Rounding is no departure, also where the line passes through nought.
    let noise = 1e-9 * points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
    let is_off = |size: &&Size| {
        let bound = (2.0 * spread).max(MIN_OFF * line(size.x).abs()).max(noise);
        (size.mean - line(size.x)).abs() > bound
    };
    sizes.iter().filter(is_off).map(|size| size.x).collect()
}

/// The term in x squared, beyond the line: what is left of x squared, and of y, when a line is taken from each.
fn curvature(points: &[(f64, f64)], residuals: &[f64]) -> (f64, f64) {
    let squared: Vec<_> = points.iter().map(|p| (p.0, p.0 * p.0)).collect();
    let (x, y, sxx, sxy) = sums(&squared);
    let left: Vec<f64> = squared.iter().map(|p| p.1 - y - sxy / sxx * (p.0 - x)).collect();
    let of: f64 = left.iter().map(|z| z * z).sum();
    let c = left.iter().zip(residuals).map(|(z, r)| z * r).sum::<f64>() / of;
    let squares = left.iter().zip(residuals).map(|(z, r)| (r - c * z).powi(2)).sum();
    (c, deviation(squares, points.len() - 3) / of.sqrt())
}

impl Line {
    /// The value at x, its derivative there, and what each independent parameter's standard error moves it by.
    pub fn at(&self, x: f64) -> (f64, f64, Vec<(usize, f64)>) {
        if self.off.is_empty() {
            let away = x - self.mean_x;
            let value = self.intercept + self.slope * x;
            return (value, self.slope, vec![(0, self.mean_error), (1, self.slope_error * away)]);
        }
        // Between two sizes, or beyond the first or last two.
        let last = self.sizes.len() - 1;
        let upper = self.sizes.iter().position(|size| size.x >= x).unwrap_or(last).max(1);
        let (a, b) = (&self.sizes[upper - 1], &self.sizes[upper]);
        let step = (b.mean - a.mean) / (b.x - a.x);
        let error = |size: &Size| self.spread.unwrap_or(self.residual) / (size.runs as f64).sqrt();
        if x > b.x && self.slope > step {
            let moved = vec![(2 + upper, error(b)), (1, self.slope_error * (x - b.x))];
            return (b.mean + self.slope * (x - b.x), self.slope, moved);
        }
        let part = (x - a.x) / (b.x - a.x);
        let moved = vec![(1 + upper, error(a) * (1.0 - part)), (2 + upper, error(b) * part)];
        (a.mean + step * (x - a.x), step, moved)
    }

    /// How many times beyond the measured sizes x lies; 1 within them.
    pub fn beyond(&self, x: f64) -> f64 {
        let (from, to) = (self.sizes[0].x, self.sizes[self.sizes.len() - 1].x);
        if x > to && to > 0.0 {
            x / to
        } else if x < from && x > 0.0 {
            from / x
        } else {
            1.0
        }
    }

    /// The line through points (x, y).
    ///
    /// # Errors
    /// Too few of them.
    pub fn through(points: &[(f64, f64)]) -> Result<Self, FitError> {
        let groups = by_size(points);
        let size = |runs: &Vec<(f64, f64)>| {
            let (x, mean, ..) = sums(runs);
            // The mean of equal sizes is that size, to the last bit.
            let x = if runs.iter().all(|run| run.0 == runs[0].0) { runs[0].0 } else { x };
            Size { x, mean, runs: runs.len() }
        };
        let sizes: Vec<Size> = groups.iter().map(size).collect();
        if sizes.len() < 2 || points.len() < 3 {
            return Err(FitError::TooFew { sizes: sizes.len(), runs: points.len() });
        }
        let n = points.len();
        let (mean_x, mean_y, sxx, sxy) = sums(points);
        let slope = sxy / sxx;
        let residuals: Vec<f64> = points.iter().map(|p| p.1 - mean_y - slope * (p.0 - mean_x)).collect();
        let squares: f64 = residuals.iter().map(|r| r * r).sum();
        let all: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        let residual = deviation(squares, n - 2);
        let round_their_mean = |(runs, size): (&Vec<(f64, f64)>, &Size)| {
            let left = runs.iter().map(|p| p.1 - size.mean - slope * (p.0 - size.x));
            left.map(|left| left * left).sum::<f64>()
        };
        let within = groups.iter().zip(&sizes).map(round_their_mean).sum();
        let spread = (n > sizes.len()).then(|| deviation(within, n - sizes.len()));
        let up_to = |count: usize| groups[..count].concat();
        // Two sizes always lie on a line: only from three on is anything seen.
        let holds = |spread, count: usize| off(&up_to(count), &sizes[..count], spread).is_empty();
        let straight_to = spread.and_then(|spread| {
            if sizes.len() >= 3 && holds(spread, sizes.len()) {
                return sizes.last().map(|size| size.x);
            }
            let held = (3..sizes.len()).take_while(|&count| holds(spread, count)).last();
            held.map(|count| sizes[count - 1].x)
        });
        Ok(Line {
            slope,
            slope_error: residual / sxx.sqrt(),
            intercept: mean_y - slope * mean_x,
            intercept_error: residual * (1.0 / n as f64 + mean_x * mean_x / sxx).sqrt(),
            mean_x,
            mean_error: residual / (n as f64).sqrt(),
            residual,
            r2: if all > 0.0 { 1.0 - squares / all } else { 1.0 },
            spread,
            off: spread.map(|spread| off(points, &sizes, spread)).unwrap_or_default(),
            straight_to,
            curvature: (sizes.len() >= 4).then(|| curvature(points, &residuals)),
            sizes,
        })
    }
}
