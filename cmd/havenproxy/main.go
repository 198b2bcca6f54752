// Command havenproxy is a proxy that routes its clients' reads and writes to replicated databases.
package main

import (
	"log/slog"
	"os"
	"time"

	"havenproxy/internal/logqueue"
	"havenproxy/internal/run"
)

// logFlushTimeout is how long the program waits at its end until its log is written.
const logFlushTimeout = 100 * time.Millisecond

func main() {
	logs := logqueue.New(os.Stderr)
	slog.SetDefault(slog.New(slog.NewTextHandler(logs, nil)))
	err := run.Main(logs.Dropped)
	if err != nil {
		slog.Error("can't run", "error", err)
	}
	logs.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}
