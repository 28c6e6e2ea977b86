// A voter loses its disk; a spare learner takes its place; then a second voter
// is lost. What was answered stays answered.
cell(3);
worker("w1", 16, 32, 0);
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
let notice = submit(1, "notice", "sleep=100 notice");
expect_answer(notice, "ran", "done");
learner(4);
advance(5000);
let l = leader();
let lost = l % 3 + 1;
wipe(lost);
advance(30000);
expect(!is_voter(lost), "the wiped node votes no more");
expect(is_voter(4), "the spare votes in its place");
let second = lost % 3 + 1;
kill(second);
advance(10000);
expect(leader() != 0, "the cell goes on");
insist(notice);
let again = submit(4, "notice", "sleep=100 again");
expect_answer(again, "ran", "done");
advance(5000);
expect_began("sleep=100 notice", 1);
