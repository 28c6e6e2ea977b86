// Cancels before, during and after; nothing fits at first.
cell(3);
leader();
expect_ruling(note(1, `{
  "number": 1, "base": 0,
  "add": {
    "workloads": {
      "route-batch": { "kind": "batch", "size": { "cpu": 1000, "memory": 1000000 }, "idempotent": true },
      "notice": { "kind": "batch", "size": { "cpu": 100, "memory": 1000000 }, "idempotent": false }
    },
    "teams": { "town": { "size": { "cpu": 64000, "memory": 100000000000, "accelerators": 8 } } }
  }
}`), "accepted 1");
let waiting = submit(1, "notice", "sleep=10 waiting");
advance(1000);
cancel(waiting);
expect_answer(waiting, "not run", "cancelled");
worker("w1", 16, 32, 0);
let running = submit(1, "notice", "sleep=60000 running");
advance(2000);
expect_began("sleep=60000 running", 1);
cancel(running);
expect_answer(running, "may have run", "cancelled");
let done = submit(1, "notice", "sleep=10 done");
expect_answer(done, "ran", "done");
cancel(done);
insist(done);
advance(3000);
expect_began("sleep=10 waiting", 0);
expect_began("sleep=10 done", 1);
