// A worker is paused past its lease while the leader changes: its task starts
// elsewhere only when it is dead, and a notice starts nowhere else.
cell(3);
worker("w1", 16, 32, 0);
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
let batch = submit(1, "route-batch", "sleep=20000 route");
let notice = submit(2, "notice", "sleep=20000 notice");
advance(1000);
expect_began("sleep=20000 route", 1);
worker("w2", 16, 32, 0);
pause_worker("w1");
advance(500);
let old = leader();
pause(old);
advance(30000);
resume(old);
resume_worker("w1");
expect_answer(batch, "ran", "done");
expect_answer(notice, "may have run", "worker lost");
expect_began("sleep=20000 notice", 1);
