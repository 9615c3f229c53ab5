package daemon

// MaxPlainResponse exports maxPlainResponse for tests.
const MaxPlainResponse = maxPlainResponse
