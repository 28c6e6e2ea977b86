// A node comes back hundreds of notes and jobs late, after the others have put
// a snapshot in place of their logs, and reverts nothing.
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
let away = leader() % 3 + 1;
kill(away);
for i in 1..501 {
  let text = `{ "number": ${i + 1}, "base": ${i}, "change": { "teams": { "town":
    { "size": { "cpu": ${1000 * i}, "memory": 1000000000, "accelerators": 8 } } } } }`;
  expect_ruling(note(leader(), text), "accepted " + (i + 1));
}
let last = 0;
for i in 0..300 {
  last = submit(leader(), "route-batch", "sleep=5 route " + i);
}
expect_answer(last, "ran", "done");
for n in 1..4 {
  compact(n);
}
advance(1000);
restart(away);
advance(5000);
expect(revision(away) == 501, "the node has every note");
kill(leader());
advance(5000);
let l = leader();
expect(revision(l) == 501 && revision(away) == 501, "nothing reverts");
expect_answer(submit(l, "notice", "sleep=5 after"), "ran", "done");
