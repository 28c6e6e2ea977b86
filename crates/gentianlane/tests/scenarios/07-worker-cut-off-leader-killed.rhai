// A worker is cut off while it runs a task, and the leader is killed: the new
// leader waits out the lease that it can't know before it starts the task
// elsewhere.
cell(3);
worker("w1", 16, 32, 0);
leader();
expect_ruling(note(1, `{
  "number": 1, "base": 0,
  "add": {
    "workloads": {
      "route-batch": { "kind": "batch", "size": { "cpu": 1000, "memory": 1000000 }, "idempotent": true },
      "large": { "kind": "batch", "size": { "cpu": 9000, "memory": 1000000 }, "idempotent": true },
      "image-run": { "kind": "gang", "size": { "cpu": 1000, "memory": 1000000, "accelerators": 4 },
                     "count": 4, "idempotent": true },
      "notice": { "kind": "batch", "size": { "cpu": 100, "memory": 1000000 }, "idempotent": false }
    },
    "teams": { "town": { "size": { "cpu": 64000, "memory": 100000000000, "accelerators": 8 } } }
  }
}`), "accepted 1");
let batch = submit(1, "route-batch", "sleep=60000 route");
advance(1000);
expect_began("sleep=60000 route", 1);
worker("w2", 16, 32, 0);
advance(600);
cut_worker("w1");
kill(leader());
advance(30000);
expect_began("sleep=60000 route", 2);
heal_worker("w1");
expect_answer(batch, "ran", "done");
