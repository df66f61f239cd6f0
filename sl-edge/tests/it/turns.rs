use std::{cell::Cell, rc::Rc};

use sl_edge::turns::Turns;
use tokio::task::{LocalSet, spawn_local};

const TURN: u32 = 8;

/// Guards against a burst of connections that are all accepted, and their requests read, before the tick runs
/// that would find the instance late: in a trial of issue 54 it waited behind a thousand of them for five seconds.
#[tokio::test]
async fn what_a_busy_task_starts_in_one_turn_runs_before_its_next_one() {
    let waiting = Rc::new(Cell::new(0_u32));
    let longest = Rc::new(Cell::new(0_u32));
    let most_waiting = longest.clone();
    let accept_all = async move {
        let mut turns = Turns::new(TURN);
        for _ in 0..1_000 {
            turns.take().await;
            waiting.set(waiting.get() + 1);
            most_waiting.set(most_waiting.get().max(waiting.get()));
            let waiting = waiting.clone();
            spawn_local(async move { waiting.set(waiting.get() - 1) });
        }
    };
    let tasks = LocalSet::new();
    tasks.spawn_local(accept_all);
    tasks.await;
    assert_eq!(longest.get(), TURN);
}
