// Package discovery encodes the requests to the discovery service and decodes its responses: HTTP/1.1 with JSON lists
// of servers.
package discovery

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strconv"

	"ospreycroft/choice"
)

const (
	maxHeadBytes = 16 << 10
	maxBodyBytes = 4 << 20
	// maxStartedMs is the latest start time of a server, in milliseconds, whose nanoseconds fit into an int64.
	maxStartedMs = math.MaxInt64 / 1e6
)

var endpointStates = map[string]choice.EndpointState{
	"in_service": choice.EndpointReady, "terminating": choice.EndpointDraining, "terminated": choice.EndpointGone,
}

// Endpoint is one server of a list.
type Endpoint struct {
	choice.Endpoint
	Address string // host:port at which limiters connect to it; may be empty if the server is not ready
}

// List is the endpoint list, or the changes to it.
type List struct {
	Version   int64
	Complete  bool // Endpoints is the complete list, not only changes
	Endpoints []Endpoint
}

// AppendFetch appends the request for the complete list to dst.
func AppendFetch(dst []byte, host string) []byte {
	return fmt.Appendf(dst, "GET /discovery/hosts HTTP/1.1\r\nHost: %s\r\n\r\n", host)
}

// AppendWatch appends to dst the request for the changes after version. Discovery holds it for up to hold nanoseconds
// until there are any.
func AppendWatch(dst []byte, host string, version, hold int64) []byte {
	return fmt.Appendf(
		dst,
		"GET /discovery/hosts?from=%d&hold_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		version,
		hold/1e6,
		host,
	)
}

// wireList is a list as encoded in JSON.
type wireList struct {
	Version   *int64         `json:"generation"`
	Complete  bool           `json:"reset"`
	Endpoints []wireEndpoint `json:"instances"`
}

// wireEndpoint is one entry of a list as encoded in JSON.
type wireEndpoint struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int64   `json:"cell"`
	State     string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"startedAtMs"`
}

// DecodeList decodes a list. It rejects the complete list if any part of it is invalid. Errors: *ListMalformedError,
// *ListRefusedError.
func DecodeList(text []byte) (*List, error) {
	var w wireList
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, &ListMalformedError{Cause: err}
	}
	if w.Version == nil {
		return nil, &ListRefusedError{Key: "generation", Why: "missing"}
	}
	if w.Complete && w.Endpoints == nil {
		// It would remove all servers. An intended empty list has the value [].
		return nil, &ListRefusedError{Key: "instances", Why: "missing in a complete list"}
	}
	list := &List{Version: *w.Version, Complete: w.Complete}
	for i := range w.Endpoints {
		endpoint, err := w.Endpoints[i].decode(i)
		if err != nil {
			return nil, err
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// decode checks and converts an entry. index is its index in the list. Errors: *ListRefusedError.
func (w *wireEndpoint) decode(index int) (Endpoint, error) {
	state, known := endpointStates[w.State]
	if !known {
		name := entryName(index, w.ID)
		return Endpoint{}, &ListRefusedError{
			Server: name,
			Key:    "lifecycle",
			Why:    strconv.Quote(w.State) + " is not known",
		}
	}
	if w.ID == "" {
		return Endpoint{}, &ListRefusedError{Server: entryName(index, ""), Key: "instanceId", Why: "missing"}
	}
	if _, _, err := net.SplitHostPort(w.Address); err != nil && state == choice.EndpointReady {
		return Endpoint{}, &ListRefusedError{Server: w.ID, Key: "hostPort", Cause: err}
	}
	if w.Weight < 0 {
		return Endpoint{}, &ListRefusedError{Server: w.ID, Key: "weight", Why: fmt.Sprintf("is %v", w.Weight)}
	}
	if w.StartedMs < 0 || w.StartedMs > maxStartedMs {
		return Endpoint{}, &ListRefusedError{Server: w.ID, Key: "startedAtMs", Why: fmt.Sprintf("is %v", w.StartedMs)}
	}
	return Endpoint{Address: w.Address, Endpoint: choice.Endpoint{
		ID: w.ID, Zone: w.Zone, Cell: w.Cell, State: state, Weight: w.Weight, StartedAt: int64(w.StartedMs * 1e6),
	}}, nil
}

// entryName returns the name of an entry in errors: its ID, or its index in the list if it has none.
func entryName(index int, id string) string {
	if id == "" {
		return strconv.Itoa(index)
	}
	return id
}
