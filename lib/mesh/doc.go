// Package mesh carries messages between the system's own processes: yamux sessions over TCP with mutual TLS, and length-delimited protobuf
// messages on each stream.
//
// Every stream opens with one Hello in each direction. It determines the kind of the messages that follow and identifies the answering
// instance to the dialer, so that an instance replaced on the same address is noticed before any message is processed. Both ends dial
// their own session: a session carries only streams that its dialer opened.
//
// A Node dials on demand, fails fast while a peer is in backoff, and detects a stalled link by keepalive. A link is retired without
// interrupting streams: new streams go to a new session, and the old one closes when its last stream has ended.
package mesh
