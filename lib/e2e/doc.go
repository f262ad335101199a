// Package e2e holds end-to-end tests: they run the real binaries as separate processes on loopback, under SIGKILL, SIGSTOP,
// SIGTERM and platform faults. It has no code outside its tests.
package e2e
