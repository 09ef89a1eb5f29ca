use crate::{
    event::{End, Event},
    world::World,
};

/// A way to give tasks to targets.
pub trait Policy {
    /// Prepares the first timers.
    fn begin(&mut self, world: &mut World);

    /// Handles a task that arrives at its entry.
    fn arrives(&mut self, world: &mut World, task: usize);

    /// Handles what becomes known of a start.
    fn seen(&mut self, world: &mut World, task: usize, target: usize, end: End);

    /// Handles the arrival of a message of its own.
    fn message(&mut self, world: &mut World, number: usize);

    /// Handles a timer of its own.
    fn timer(&mut self, world: &mut World, number: usize);
}

/// Runs a policy until `end` microseconds, or until nothing more happens.
pub fn run<P>(policy: &mut P, world: &mut World, end: u64)
where
    P: Policy,
{
    policy.begin(world);
    while let Some((at, event)) = world.events.pop() {
        if at > end {
            return;
        }
        world.now = at;
        match event {
            Event::Arrives(task) => policy.arrives(world, task),
            Event::StartArrives { task, target } => world.start_arrives(task, target),
            Event::Ends { task, target } => world.ends(task, target),
            Event::Seen { task, target, end } => policy.seen(world, task, target, end),
            Event::Message(number) => policy.message(world, number),
            Event::Timer(number) => policy.timer(world, number),
        }
    }
}
