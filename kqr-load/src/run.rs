use std::sync::Arc;

use indicatif::{ProgressBar, ProgressStyle};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{
    Experiment, Report,
    arrivals::{Arrival, Work, arrivals},
    caller::Caller,
    check::Starts,
    ended::Ended,
    job::Job,
    request, submit,
    tally::Tally,
};

/// Form of the progress line.
const PROGRESS: &str = "{elapsed} [{bar:40}] {pos}/{len} {msg}";

/// Runs an experiment and reports. Arrivals follow their schedule, whether or not earlier ones were answered.
///
/// # Errors
///
/// Fails if the experiment makes no sense or a stand-in does not tell its starts.
pub async fn run(experiment: Experiment) -> eyre::Result<Report> {
    experiment.check()?;
    let mut rng = ChaCha8Rng::seed_from_u64(experiment.seed);
    let schedule = arrivals(&experiment, &mut rng);
    let bar = ProgressBar::new(schedule.len() as u64);
    bar.set_style(ProgressStyle::with_template(PROGRESS)?);
    let (tx, rx) = unbounded_channel();
    let caller = Arc::new(Caller::new(experiment));
    let tallied = tokio::spawn(tally(Arc::clone(&caller), rx, bar.clone()));
    let cancels = tokio::spawn(cancel_waves(Arc::clone(&caller)));
    for (number, arrival) in schedule.into_iter().enumerate() {
        caller.wait_until(arrival.at).await;
        start(&caller, arrival, number as u64, &mut rng, &tx);
    }
    drop(tx);
    let tally = tallied.await?;
    cancels.abort();
    bar.finish_and_clear();
    let starts = Starts::collect(&caller.experiment.standins).await?;
    Ok(tally.report(&starts))
}

fn start(
    caller: &Arc<Caller>,
    arrival: Arrival,
    number: u64,
    rng: &mut ChaCha8Rng,
    tx: &UnboundedSender<Ended>,
) {
    let (caller, tx) = (Arc::clone(caller), tx.clone());
    let entry = rng.random_range(0..caller.experiment.entries.len());
    match arrival.work {
        Work::Job(kind) => {
            let key = format!("{}-{number}", caller.experiment.key_prefix);
            let job = Job::new(&caller.experiment.jobs[kind], key, rng);
            let is_doubled = rng.random_bool(caller.experiment.resubmit.doubled);
            tokio::spawn(async move {
                let _ = tx.send(submit::submit(&caller, arrival, &job, entry, is_doubled).await);
            });
        }
        Work::Request(kind) => {
            tokio::spawn(async move {
                let mix = &caller.experiment.requests[kind];
                let _ = tx.send(request::request(&caller, arrival, mix, number, entry).await);
            });
        }
    }
}

async fn cancel_waves(caller: Arc<Caller>) {
    let mut rng = ChaCha8Rng::seed_from_u64(caller.experiment.seed);
    let mut waves = caller.experiment.cancels.clone();
    waves.sort_by_key(|wave| wave.at);
    for wave in waves {
        caller.wait_until(wave.at.0).await;
        for key in caller.cancel_part(wave.part, &mut rng) {
            let caller = Arc::clone(&caller);
            let entry = rng.random_range(0..caller.experiment.entries.len());
            tokio::spawn(async move { submit::cancel(&caller, &key, entry).await });
        }
    }
}

async fn tally(caller: Arc<Caller>, mut rx: UnboundedReceiver<Ended>, bar: ProgressBar) -> Tally {
    let mut tally = Tally::new(&caller.experiment);
    while let Some(ended) = rx.recv().await {
        tally.add(&ended);
        bar.set_message(tally.progress());
        bar.inc(1);
    }
    tally
}
