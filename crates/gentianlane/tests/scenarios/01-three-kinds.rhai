// A service, batch work, a gang and a notice go through three entries.
cell(3);
worker("w1", 16, 32, 0);
worker("w2", 16, 32, 0);
worker("g1", 32, 128, 8);
leader();
let told = note(1, `{
  "number": 1, "base": 0,
  "add": {
    "workloads": {
      "listener": { "kind": "service", "size": { "cpu": 500, "memory": 1000000 },
                    "count": 2, "idempotent": true, "team": "town", "payload": "forever" },
      "route-batch": { "kind": "batch", "size": { "cpu": 1000, "memory": 1000000 }, "idempotent": true },
      "image-run": { "kind": "gang", "size": { "cpu": 1000, "memory": 1000000, "accelerators": 2 },
                     "count": 4, "idempotent": true },
      "notice": { "kind": "batch", "size": { "cpu": 100, "memory": 1000000 }, "idempotent": false }
    },
    "teams": { "town": { "size": { "cpu": 64000, "memory": 100000000000, "accelerators": 8 } } }
  }
}`);
expect_ruling(told, "accepted 1");
advance(3000);
expect(running("listener") == 2, "two listeners stand");
let batch = submit(1, "route-batch", "sleep=200 route");
let gang = submit(2, "image-run", "sleep=200 image");
let notice = submit(3, "notice", "sleep=50 notice");
insist(notice);
expect_answer(batch, "ran", "done");
expect_answer(gang, "ran", "done");
expect_answer(notice, "ran", "done");
advance(10000);
expect_began("sleep=50 notice", 1);
