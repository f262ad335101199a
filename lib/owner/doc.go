// Package owner decides, for all instances, which engine a stream goes to.
//
// The engines of a service are split into shards. Each shard has an owner, one of the instances. All other instances report to
// it what they run on its engines, and request placements from it. A placement thus rests on one account whose lag is the transit time
// of a datagram, and an instance's traffic grows with its streams and engines, not with the number of instances: when each
// instance sent updates to all others, 295 instances sent 172,000 datagrams a second, most of them without a request.
//
// Safety does not depend on owners. Every instance computes them from the lists of targets and instances (Layout). The second
// candidate receives the same reports as the first and takes over with that state; an instance that reaches neither decides
// alone by its own sends.
//
// The package does no I/O and reads no clock; lib/ownerlink exchanges its messages by datagrams.
package owner
