// Package record lets a caller resume its stream through another entry after its own entry died.
//
// The entry that runs a keyed generation replicates a record of it to two peers in different failure domains, chosen by
// rendezvous hashing of workspace and key. Each update sends only what was delivered since the previous one. Any entry
// finds the same peers by the same hash. Records are soft state: bounded in memory and time, and lost if both peers are
// lost. Losing one prevents the caller from resuming but never causes a second run: claims prevent that.
package record
