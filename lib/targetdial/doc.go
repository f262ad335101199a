// Package targetdial opens an instance's connections to targets: over its own links, or by way of a peer where these are lost.
//
// A connection over the own link is tried first. If it is refused or takes long, one by way of a peer is tried as well, and the first to
// succeed is used. Once a link is known to be lost, peers are tried first, and the own link now and then, while there are calls.
package targetdial
