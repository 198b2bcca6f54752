// Package discovery builds the requests and parses the responses of the discovery service, which lists the databases
// as JSON over HTTP. It performs no I/O.
package discovery

import (
	"fmt"
	"time"
)

// MaxResponseBytes is the maximum size of a response body, in bytes: enough for a list of several thousand databases.
const MaxResponseBytes = 4 << 20

// NoGeneration is the generation to use while there is no list, or to request the full list. Real generations start
// at 0.
const NoGeneration = -1

// EndpointsURL returns the URL that requests the full list, if after is NoGeneration, or else the changes since
// generation after, for which the service waits up to the given time.
func EndpointsURL(host string, after int64, wait time.Duration) string {
	url := "http://" + host + "/v1/endpoints"
	if after == NoGeneration {
		return url
	}
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", url, after, wait.Milliseconds())
}
