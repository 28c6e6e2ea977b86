// Links fail one way and come back, again and again; all work is answered.
cell(3);
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
let callers = [];
for round in 0..40 {
  let from = round % 3 + 1;
  let to = (round / 2 + round) % 3 + 1;
  if from != to {
    cut(from, to);
  }
  callers.push(submit(round % 3 + 1, "notice", "sleep=20 flap " + round));
  callers.push(submit(round % 3 + 1, "route-batch", "sleep=20 batch " + round));
  advance(700);
  heal();
  advance(100);
}
for caller in callers {
  expect_answer(caller, "ran", "done");
}
