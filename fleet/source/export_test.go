package source

// MaxResponse exports maxResponse for the tests.
const MaxResponse = maxResponse
