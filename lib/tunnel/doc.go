// Package tunnel carries connections to targets by way of a peer instance, over a stream of its mesh link.
//
// An instance that has lost its own links to targets still reaches its peers. The peer opens the connection and copies bytes; whom to
// send to, and whether a request may be repeated, is decided by the instance that holds the caller, as with any connection. A tunnel that
// breaks is a broken connection. A peer connects to targets over its own links only, so a tunnel has one hop.
package tunnel
