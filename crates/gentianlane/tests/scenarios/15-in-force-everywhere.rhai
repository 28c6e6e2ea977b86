// Nine nodes, five of them voters, in two regions: a note is in force at every
// node within the aim's 18 s, also while a voter dies and the leader changes,
// and a node that was cut off has it within 18 s of its return.
cell(5);
leader();
for n in 6..10 {
  learner(n);
}
advance(5000);
fn note_text(number) {
  `{ "number": ${number}, "base": ${number - 1}, "add": { "teams": { "team-${number}":
    { "size": { "cpu": 1000, "memory": 1000000 } } } } }`
}
for number in 1..21 {
  let told = note(number % 9 + 1, note_text(number));
  expect_ruling(told, "accepted " + number);
  advance(1000);
  for n in 1..10 {
    expect(revision(n) == number, "node " + n + " has revision " + number);
  }
}
isolate(8);
kill(leader());
leader();
expect_ruling(note(leader(), note_text(21)), "accepted 21");
advance(18000);
heal();
advance(18000);
let up = 0;
for n in 1..10 {
  if is_up(n) {
    up += 1;
    expect(revision(n) == 21, "node " + n + " has the last revision");
  }
}
expect(up == 8, "eight nodes are up");
