// Far more work than fits, and a worker that comes back smaller: no VM ever
// runs more than it has, and gangs begin whole.
cell(3);
worker("w1", 16, 32, 0);
worker("g1", 16, 32, 8);
worker("g2", 16, 32, 8);
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
let last = 0;
for i in 0..12 {
  submit(i % 3 + 1, "large", "sleep=900 large " + i);
  submit(i % 3 + 1, "image-run", "sleep=900 image " + i);
  last = submit(i % 3 + 1, "notice", "sleep=100 notice " + i);
}
advance(1500);
restart_worker("w1");
advance(4000);
kill(leader());
for i in 0..12 {
  expect_answer(3 * i, "ran", "done");
  expect_answer(3 * i + 1, "ran", "done");
}
