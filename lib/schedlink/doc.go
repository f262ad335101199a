// Package schedlink connects entries with the scheduler over the mesh. An entry requests placements from the owner of a
// shard, and serves the shards that it owns itself.
//
// Owners hold soft state only. When a shard's owner changes, every entry reports its running generations to the new owner
// and submits its queued ones again, so the new owner has complete state after one round. When an owner is silent, the
// entry places by itself: it picks the better of two random targets by its local state. Two concurrent owners of one
// shard, or an entry that places beside an owner, cost performance only: attempts are numbered, and the entry checks every
// token against the current attempt.
//
// Link is the entry's side and implements placer.Placer. Host is the owner's side. One process has both; a Link calls
// its own Host without the mesh.
package schedlink
