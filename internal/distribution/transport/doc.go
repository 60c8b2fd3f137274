// Package transport carries the messages of package distribution over HTTP/1.1 with JSON bodies: a server for the
// source and for relays, and a client that follows them by long polls.
//
// Calls of subscribers, at the source and at relays:
//
//	GET /v1/changes?epoch=&from=&seen_epoch=&seen=&hold_ms=&scope=    distribution.Delta
//	GET /v1/pieces?after_kind=&after_scope=&after_name=&max_bytes=&scope=    distribution.Piece
//	POST /v1/acknowledgements    distribution.Acknowledgement -> 204
//
// Calls at the source only; a relay answers them with 405 and read_only:
//
//	POST /v1/epochs    Opening -> distribution.Change
//	POST /v1/changes    Publication -> distribution.Change
//	POST /v1/summaries    distribution.Summary -> 204
//	GET /v1/overview    distribution.Overview
//
// epoch and from are the version that the subscriber has, seen_epoch and seen one that it has refused, hold_ms is how
// long the call may be held in milliseconds, up to MaxHold. Times in bodies are nanoseconds. An error has a status of
// 400 or above and a Failure as its body, from which the client makes the typed error again. docs/distribution.md
// lists them.
package transport
