// Package transport carries the messages of package distribution over HTTP/1.1 with JSON bodies. It has a server for
// the source and for relays, and a client and a follower that keep a subscriber up to date by long polling.
//
// Calls of subscribers, served by the source and by relays:
//
//	GET /v1/changes?epoch=&from=&seen_epoch=&seen=&hold_ms=&scope=    distribution.Delta
//	GET /v1/pieces?after_kind=&after_scope=&after_name=&max_bytes=&scope=    distribution.Piece
//	POST /v1/acknowledgements    distribution.Acknowledgement -> 204
//
// Calls served by the source only; a relay answers them with status 405 and code read_only:
//
//	POST /v1/epochs    EpochOpening -> distribution.Change
//	POST /v1/changes    Publication -> distribution.Change
//	POST /v1/summaries    distribution.Summary -> 204
//	GET /v1/overview    distribution.Overview
//
// epoch and from give the version that the subscriber has in force, seen_epoch and seen a version that it has refused.
// hold_ms is how long the server may hold the call, in milliseconds, up to MaxHold. Times in bodies are in
// nanoseconds. An error response has a status of 400 or above and a Failure as its body, from which the client
// restores the typed error. docs/distribution.md lists the errors.
package transport
