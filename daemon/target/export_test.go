package target

// Ended is ended, for the tests.
var Ended = ended

// MaxControlAnswer is maxControlAnswer, for the tests.
const MaxControlAnswer = maxControlAnswer
