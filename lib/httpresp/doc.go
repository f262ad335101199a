// Package httpresp decides which HTTP/1.1 responses are sound: whether the end of a connection ends a body.
//
// net/http takes the end of a connection for the end of a body even where the request could not be written.
package httpresp
