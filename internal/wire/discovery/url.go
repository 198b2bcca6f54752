// Package discovery is what the service that lists the databases speaks, in JSON over HTTP. It reads and writes texts
// and does no input or output of its own.
package discovery

import (
	"fmt"
	"time"
)

// MaxBody bounds an answer: a list of some thousand databases.
const MaxBody = 4 << 20

// NoList stands for the generation where there is no list yet. Generations count from 0.
const NoList = -1

// URL names a call: for the whole list, or for what is newer than a generation, waiting so long for it.
func URL(host string, after int64, wait time.Duration) string {
	url := "http://" + host + "/v1/endpoints"
	if after == NoList {
		return url
	}
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", url, after, wait.Milliseconds())
}
