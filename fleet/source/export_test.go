package source

// MaxAnswer is maxAnswer, for the tests.
const MaxAnswer = maxAnswer
