// Package e2e holds tests of the whole path as separate processes: real binaries on loopback, under SIGKILL, SIGSTOP,
// SIGTERM and faults of the platform. It has no code outside its tests.
package e2e
