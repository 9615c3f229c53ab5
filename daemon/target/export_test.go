package target

// Exited exports exited for tests.
var Exited = exited

// MaxControlResponse exports maxControlResponse for tests.
const MaxControlResponse = maxControlResponse
