package settingsync

// Test helpers exported to the external test package, which runs separate processes and can't be in this package because
// lib/localsite imports it.
var (
	TestTree   = tree
	TestChange = change
)
