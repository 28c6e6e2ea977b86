// Two regions with five voters lose each other for minutes: the larger decides,
// the smaller answers truthfully and starts nothing.
cell(5);
worker("w1", 16, 32, 0);
worker("w2", 16, 32, 0);
leader();
expect_ruling(note(leader(), `{
  "number": 1, "base": 0,
  "add": {
    "workloads": {
      "route-batch": { "kind": "batch", "size": { "cpu": 1000, "memory": 1000000 }, "idempotent": true },
      "notice": { "kind": "batch", "size": { "cpu": 100, "memory": 1000000 }, "idempotent": false }
    },
    "teams": { "town": { "size": { "cpu": 64000, "memory": 100000000000, "accelerators": 8 } } }
  }
}`), "accepted 1");
for a in [1, 2, 3] {
  for b in [4, 5] {
    cut(a, b);
    cut(b, a);
  }
}
advance(5000);
expect(leader() <= 3, "the larger region decides");
let there = submit(4, "notice", "sleep=10 there");
let here = submit(1, "notice", "sleep=10 here");
expect_answer(here, "ran", "done");
advance(240000);
heal();
expect_answer(there, "ran", "done");
expect_began("sleep=10 there", 1);
expect_began("sleep=10 here", 1);
