package target

// Exited is exited, for the tests.
var Exited = exited

// MaxControlAnswer is maxControlAnswer, for the tests.
const MaxControlAnswer = maxControlAnswer
