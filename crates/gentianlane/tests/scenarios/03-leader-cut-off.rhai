// The leader sits on the far side of a cut for minutes and acts no more.
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
let old = leader();
isolate(old);
advance(3000);
let notice = submit(old, "notice", "sleep=100 notice");
insist(notice);
advance(180000);
expect_answer(notice, "ran", "done");
heal();
advance(5000);
expect(leader() != old || revision(old) == 1, "the old leader has caught up");
expect_began("sleep=100 notice", 1);
