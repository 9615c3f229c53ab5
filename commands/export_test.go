package commands

// MaxPageBytes exports maxPageBytes for tests.
const MaxPageBytes = maxPageBytes
