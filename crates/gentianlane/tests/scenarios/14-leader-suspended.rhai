// The leader's whole VM is suspended, its clock too, while a start order waits
// for a worker that reaches no other entry. When it wakes it takes itself for
// leader still; the new leader has given the worker up. The order must not
// leave, or the task would run in two places.
cell(3);
worker("w1", 16, 32, 0);
let l = leader();
expect_ruling(note(l, `{ "number": 1, "base": 0, "add": {
  "workloads": { "route-batch":
    { "kind": "batch", "size": { "cpu": 1000, "memory": 1000000 }, "idempotent": true } },
  "teams": { "town": { "size": { "cpu": 64000, "memory": 100000000000, "accelerators": 8 } } }
} }`), "accepted 1");
advance(2000);
bind_worker("w1", l);
cut_worker("w1");
let batch = submit(l, "route-batch", "sleep=60000 route");
advance(1500);
expect_began("sleep=60000 route", 0);
expect(running("route-batch") == 1, "the start is in the log");
suspend(l);
isolate(l);
heal_worker("w1");
advance(3000);
worker("w2", 16, 32, 0);
advance(9000);
resume(l);
advance(20000);
heal();
bind_worker("w1", leader());
expect_answer(batch, "ran", "done");
