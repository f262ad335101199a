// Package ownerlink carries lib/owner between instances by datagrams.
//
// An instance asks the owner of a shard and sends its ask again until it is answered; who does not answer is asked after
// the others. What it has on a shard's engines it reports to the first two in rank, so that the second can take over.
// For targets that take few requests a second an instance asks their owner for a permit, and owners tell all instances what such targets
// say of themselves. Datagrams may be lost, come twice or late, or hold anything: what is wrong in one makes a choice worse, and no more.
package ownerlink
