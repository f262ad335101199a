// Package schedlink puts the scheduler's decisions behind the mesh: an entry asks the owner of a shard for places, and
// serves the shards that it owns itself.
//
// Owners hold soft state only. When a shard's owner changes, every entry tells the new owner of its running generations
// and asks again for its queued ones, so the new owner knows all after one round. When an owner is silent, the entry
// decides alone, by two random choices over what it knows itself. Two owners of one shard at once, or an entry that
// decides alone beside an owner, cost speed only: attempts are numbered and every token checked by the entry.
//
// Link is the entry's side and implements placer.Placer. Host is the owner's side. One process has both; a Link talks
// to its own Host without the mesh.
package schedlink
