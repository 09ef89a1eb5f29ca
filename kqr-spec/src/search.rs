use std::{cell::Cell, fmt, hash::Hash};

use pathfinding::directed::bfs::bfs;

/// A step of a model: what happens, and the state that it leads to.
#[derive(Clone, Debug)]
pub struct Step<State> {
    /// What happens, for a person.
    pub label: String,
    /// The state after it.
    pub state: State,
}

impl<State> Step<State> {
    /// Creates the step.
    pub fn new(label: String, state: State) -> Self {
        Self { label, state }
    }
}

/// A specification.
pub trait Model {
    /// A state of the whole system.
    type State: Clone + Eq + Hash;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Returns each step that is possible in `state`.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::State>>;

    /// Returns the invariant that `state` violates.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No reachable state violates an invariant.
    Holds {
        /// Number of states that were visited.
        states: usize,
    },
    /// An invariant is violated.
    Violated {
        /// The invariant.
        invariant: String,
        /// Labels of the fewest steps that lead to the violation.
        trace: Vec<String>,
        /// Number of states that were visited before.
        states: usize,
    },
    /// The search was given up.
    TooLarge {
        /// Number of states that were visited.
        states: usize,
    },
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Holds { states } => write!(f, "holds, {states} states"),
            Self::TooLarge { states } => write!(f, "given up after {states} states"),
            Self::Violated {
                invariant,
                trace,
                states,
            } => {
                writeln!(f, "violated after {states} states: {invariant}")?;
                for (index, label) in trace.iter().enumerate() {
                    writeln!(f, "{:4}. {label}", index + 1)?;
                }
                Ok(())
            }
        }
    }
}

/// Visits the reachable states of `model` breadth first, `most` of them at most.
pub fn search<Spec>(model: &Spec, most: usize) -> Verdict
where
    Spec: Model,
{
    let visited = Cell::new(0);
    let successors = |state: &Spec::State| {
        visited.set(visited.get() + 1);
        if visited.get() > most {
            return Vec::new();
        }
        model.steps(state).into_iter().map(|step| step.state).collect()
    };
    let path = bfs(&model.initial(), successors, |state| {
        model.violation(state).is_some()
    });
    let states = visited.get();
    let Some(path) = path else {
        return if states > most {
            Verdict::TooLarge { states: most }
        } else {
            Verdict::Holds { states }
        };
    };
    let last = path.last().and_then(|state| model.violation(state));
    Verdict::Violated {
        invariant: last.unwrap_or_default(),
        trace: labels(model, &path),
        states,
    }
}

/// Returns the labels of the steps between the states of `path`.
fn labels<Spec>(model: &Spec, path: &[Spec::State]) -> Vec<String>
where
    Spec: Model,
{
    let mut labels = Vec::with_capacity(path.len());
    for pair in path.windows(2) {
        let [from, to] = pair else { continue };
        let step = model.steps(from).into_iter().find(|step| step.state == *to);
        labels.extend(step.map(|step| step.label));
    }
    labels
}
