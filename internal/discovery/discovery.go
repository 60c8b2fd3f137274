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
	// maxStartMilliseconds is the last start of a server, in milliseconds, whose nanoseconds an int64 holds.
	maxStartMilliseconds = math.MaxInt64 / 1e6
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
func AppendFetch(to []byte, host string) []byte {
	return fmt.Appendf(to, "GET /discovery/hosts HTTP/1.1\r\nHost: %s\r\n\r\n", host)
}

// AppendWatch writes the call that waits, for hold nanoseconds at most, for something newer than a version.
func AppendWatch(to []byte, host string, version, hold int64) []byte {
	return fmt.Appendf(
		to,
		"GET /discovery/hosts?from=%d&hold_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		version,
		hold/1e6,
		host,
	)
}

// DecodeList reads a list and refuses one that cannot be used, whole.
func DecodeList(text []byte) (*List, error) {
	var f struct {
		Version *int64 `json:"generation"`
		Whole   bool   `json:"reset"`
		Entries []struct {
			ID      string  `json:"instanceId"`
			Address string  `json:"hostPort"`
			Zone    string  `json:"zone"`
			Cell    int64   `json:"cell"`
			State   string  `json:"lifecycle"`
			Weight  float64 `json:"weight"`
			Started float64 `json:"startedAtMs"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, &ListMalformedError{Cause: err}
	}
	if f.Version == nil {
		return nil, &ListRefusedError{Key: "generation", Why: "missing"}
	}
	if f.Whole && f.Entries == nil {
		// Taken at its word it would end all servers. A whole list of none is written [].
		return nil, &ListRefusedError{Key: "instances", Why: "missing in a whole list"}
	}
	list := &List{Version: *f.Version, Complete: f.Whole}
	for i, e := range f.Entries {
		listing, known := endpointStates[e.State]
		if !known {
			return nil, &ListRefusedError{
				Server: entryName(i, e.ID),
				Key:    "lifecycle",
				Why:    strconv.Quote(e.State) + " is not known",
			}
		}
		if e.ID == "" {
			return nil, &ListRefusedError{Server: entryName(i, ""), Key: "instanceId", Why: "missing"}
		}
		if _, _, err := net.SplitHostPort(e.Address); err != nil && listing == choice.EndpointReady {
			return nil, &ListRefusedError{Server: e.ID, Key: "hostPort", Cause: err}
		}
		if e.Weight < 0 {
			return nil, &ListRefusedError{Server: e.ID, Key: "weight", Why: fmt.Sprintf("is %v", e.Weight)}
		}
		if e.Started < 0 || e.Started > maxStartMilliseconds {
			return nil, &ListRefusedError{Server: e.ID, Key: "startedAtMs", Why: fmt.Sprintf("is %v", e.Started)}
		}
		list.Endpoints = append(
			list.Endpoints,
			Endpoint{Address: e.Address, Endpoint: choice.Endpoint{ID: e.ID, Zone: e.Zone,
				Cell: e.Cell, State: listing, Weight: e.Weight, StartedAt: int64(e.Started * 1e6)}},
		)
	}
	return list, nil
}

// entryName is how an error names an entry: by its id, or by its place in the list, from 0, where it has none.
func entryName(i int, id string) string {
	if id == "" {
		return strconv.Itoa(i)
	}
	return id
}
