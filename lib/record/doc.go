// Package record lets a caller go on with its stream through another entry after its own entry died.
//
// The entry that runs a keyed generation puts a record with two peers, in different failure domains, found by
// rendezvous hashing of workspace and key. Only what was delivered since the last time is sent. Any entry finds the
// same peers by the same hash. Records are soft state: bounded in memory and time, and lost with both peers. Losing
// one costs the caller its resume, never a second run: that is what claims are for.
package record
