// Two operators hand in notes with equal numbers at two entries, and resend.
cell(3);
let l = leader();
let one = `{ "number": 1, "base": 0, "add": { "teams": { "one": { "size": { "cpu": 1, "memory": 1 } } } } }`;
let two = `{ "number": 1, "base": 0, "add": { "teams": { "two": { "size": { "cpu": 1, "memory": 1 } } } } }`;
let first = note(1, one);
let second = note(2, two);
expect_ruling(first, "accepted 1");
expect_ruling(second, "taken 1");
expect_ruling(note(3, two), "taken 1");
expect_ruling(note(3, one), "accepted 1");
kill(l);
advance(5000);
restart(l);
advance(5000);
expect_ruling(note(l, one), "accepted 1");
expect(revision(1) == 1 && revision(2) == 1 && revision(3) == 1, "one revision everywhere");
