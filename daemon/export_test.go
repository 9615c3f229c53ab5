package daemon

// MaxPlain is maxPlain, for the tests.
const MaxPlain = maxPlain
