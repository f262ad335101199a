// Package resume lets a caller resume its stream through any instance, at the software version that began it.
//
// Before the first event of a resumable stream leaves for its caller, the version is recorded at two peers, which every instance finds by
// rendezvous hashing of the caller's attempt. While a service has several versions, records are written to the store as well, in groups and
// in the background, by one instance of each failure domain. A record that nobody has is not replaced by a guess, unless the service has had
// a single version for longer than any stream lasts.
//
// Records are bounded in number and kept until the caller's deadline: no caller resumes a stream after it.
package resume
