// Package discovery reads and writes discovery's calls: HTTP/1.1 with JSON lists of servers.
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
	// maxStartedMs is the last start of a server, in milliseconds, whose nanoseconds an int64 holds.
	maxStartedMs = math.MaxInt64 / 1e6
)

var endpointStates = map[string]choice.EndpointState{
	"in_service": choice.EndpointReady, "terminating": choice.EndpointDraining, "terminated": choice.EndpointGone,
}

// Endpoint is one server of a list, with the address at which this limiter reaches it.
type Endpoint struct {
	choice.Endpoint
	Address string
}

// List is the whole list or its changes.
type List struct {
	Version   int64
	Complete  bool
	Endpoints []Endpoint
}

// AppendFetch writes the call for the whole list.
func AppendFetch(dst []byte, host string) []byte {
	return fmt.Appendf(dst, "GET /discovery/hosts HTTP/1.1\r\nHost: %s\r\n\r\n", host)
}

// AppendWatch writes the call that waits, for hold nanoseconds at most, for something newer than a version.
func AppendWatch(dst []byte, host string, version, hold int64) []byte {
	return fmt.Appendf(
		dst,
		"GET /discovery/hosts?from=%d&hold_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		version,
		hold/1e6,
		host,
	)
}

// wireList is a list by the keys of the wire.
type wireList struct {
	Version   *int64         `json:"generation"`
	Complete  bool           `json:"reset"`
	Endpoints []wireEndpoint `json:"instances"`
}

// wireEndpoint is one entry of a list by the keys of the wire.
type wireEndpoint struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Cell      int64   `json:"cell"`
	State     string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"startedAtMs"`
}

// DecodeList reads a list and refuses one that cannot be used, whole. Errors: *ListMalformedError, *ListRefusedError.
func DecodeList(text []byte) (*List, error) {
	var w wireList
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, &ListMalformedError{Cause: err}
	}
	if w.Version == nil {
		return nil, &ListRefusedError{Key: "generation", Why: "missing"}
	}
	if w.Complete && w.Endpoints == nil {
		// Taken at its word it would end all servers. A complete list of none is written [].
		return nil, &ListRefusedError{Key: "instances", Why: "missing in a whole list"}
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

// decode checks an entry, which stands at a place in the list.
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

// entryName is how an error names an entry: by its id, or by its place in the list, from 0, where it has none.
func entryName(index int, id string) string {
	if id == "" {
		return strconv.Itoa(index)
	}
	return id
}
