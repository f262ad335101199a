package settingsync

// Helpers of the tests in this package for those that run separate processes: these can't be in it, because
// lib/localsite imports it.
var (
	TestTree   = tree
	TestChange = change
)
