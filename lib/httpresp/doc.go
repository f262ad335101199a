// Package httpresp decides which HTTP/1.1 responses are sound: what their heads may hold (RFC 9110, 9112), and whether the end of a connection ends a body.
//
// net/http is lenient: it passes on statuses and names of fields that no response may have, and takes the end of a connection for the end of a body even where
// the request could not be written. All readers of responses, lib/wirehttp and users of Transport, check them here.
package httpresp
