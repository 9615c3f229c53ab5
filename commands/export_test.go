package commands

// MaxPage is maxPage, for the tests.
const MaxPage = maxPage
