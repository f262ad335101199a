// Package ownerlink exchanges the messages of lib/owner between instances by datagrams.
//
// An instance sends a request to the owner of a shard and retransmits it until it is answered; candidates that do not answer are queried
// after the others. It reports what it has on a shard's engines to the first two candidates, so that the second can take over.
// For targets with a rate limit an instance requests permits from their owner, and owners inform all instances of the limits that
// such targets state. Datagrams may be lost, duplicated, late, or contain anything: a bad one makes a choice worse, and nothing else.
package ownerlink
