// Hundreds of requests wait, and all are cancelled at once while a new one
// comes: it starts without delay.
cell(3);
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
let callers = [];
for i in 0..400 {
  callers.push(submit(i % 3 + 1, "notice", "sleep=10 wave " + i));
}
advance(2000);
for caller in callers {
  cancel(caller);
}
worker("w1", 16, 32, 0);
let after = submit(1, "notice", "sleep=10 after");
expect_answer(after, "ran", "done");
for caller in callers {
  insist(caller);
}
advance(5000);
