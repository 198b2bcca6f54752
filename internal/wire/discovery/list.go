package discovery

import (
	"encoding/json"
	"fmt"
)

// List is the full list of databases (if Full is set) or the changes since an earlier generation.
type List struct {
	Generation int64    `json:"generation"` // version of the list; requests for changes refer to it
	Full       bool     `json:"reset"`
	Members    []Member `json:"instances"`
}

// Member describes one database.
type Member struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Group     int     `json:"cell"` // number of its replicated group
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`      // relative capacity
	StartedMs int64   `json:"startedAtMs"` // Unix milliseconds; 0 = long ago
}

// Values of Member.Lifecycle.
const (
	InService   = "in_service"
	Terminating = "terminating" // draining: it accepts no new requests
	Terminated  = "terminated"
)

// ParseList parses a list. Unknown JSON names are ignored. An unknown lifecycle is an error, since it doesn't tell
// whether requests may be sent to the database, and either guess could be wrong.
func ParseList(data []byte) (List, error) {
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return list, fmt.Errorf("list of databases: %w", err)
	}
	for _, entry := range list.Members {
		if entry.ID == "" {
			return list, fmt.Errorf("list of databases: an entry has no instanceId")
		}
		switch entry.Lifecycle {
		case InService, Terminating, Terminated:
		default:
			return list, fmt.Errorf("list of databases: %s: unknown lifecycle %q", entry.ID, entry.Lifecycle)
		}
	}
	return list, nil
}
