// Package fleetsim runs a whole fleet of instances in one process and in virtual time. It measures how the state, the traffic and the
// work of an instance, and the time until an update reaches all instances, change as the fleet grows.
//
// The instances are real (gatewayproc.Member), with their feeds, owners and links; the network between them and
// the platform's store are modelled. Callers are not: a stream is only a placement request. The package needs
// testing/synctest, so only tests can use it.
package fleetsim
