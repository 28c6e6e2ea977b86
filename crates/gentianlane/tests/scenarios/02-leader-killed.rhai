// The leader is killed while a notice runs; its caller gets the one answer.
cell(3);
worker("w1", 16, 32, 0);
worker("w2", 16, 32, 0);
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
let notice = submit(2, "notice", "sleep=3000 notice");
insist(notice);
advance(1500);
let old = leader();
kill(old);
expect_answer(notice, "ran", "done");
restart(old);
advance(10000);
expect_began("sleep=3000 notice", 1);
