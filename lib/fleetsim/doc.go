// Package fleetsim runs a whole fleet of instances in one process and in virtual time, to measure what one of them holds, sends,
// receives and works out, and how long news takes to reach all of them, as the fleet grows.
//
// The instances are the product's own (gatewayproc.Member), with their feeds, owners, links and judges; the network between them and
// the platform's store are modelled. Callers are not: a stream is no more than an ask for an engine. It runs within
// testing/synctest, so that only tests can use it.
package fleetsim
