package state

import (
	"log/slog"
	"time"

	"havenproxy/logic"
)

// Counters holds the counters of the proxy since its start. Package net counts client connections and malformed
// replies in it.
type Counters struct {
	Accepted, Served, Refused, Failed, Abandoned                 uint64 // requests accepted, and how they ended
	Late                                                         uint64 // requests that ended more than lateTolerance after their deadline
	RefusedForSize                                               uint64 // refusals for lack of memory
	FailedAsRepeated                                             uint64 // requests with the id of one that may have been executed
	NoTime, NoPrimary, Overload                                  uint64 // refusals by reason
	Sent                                                         uint64 // attempts started
	OK, Miss, Error, Full, TimedOut, ConnectFailed               uint64 // attempts by result
	Reset, Cancelled, NotSent                                    uint64
	Probes, ProbesOK                                             uint64
	Opened, ClosedIdle, ConnectionLimitReached, MalformedReplies uint64 // database connections
	ListCalls, ListFailures                                      uint64
	Clients, ClientsEvicted, ClientsRejected, Malformed          uint64 // client connections
	ClientsNotReading                                            uint64 // client connections that were closed because nothing more could be sent
	ClientsLeftAtOnce                                            uint64 // client connections that were closed by their clients before they were accepted
	ClientsShut                                                  uint64 // client connections that were closed unread, as there was no descriptor for them
	BusyWaits                                                    uint64 // how often a busy client connection had to wait for others
	AcceptErrors                                                 uint64 // calls of accept that failed
	Panics                                                       uint64 // contained panics, each of which ended a connection

	LongestStall time.Duration // the longest time that the event loop was blocked
}

// countAttempt counts an attempt by its result.
func (c *Counters) countAttempt(r logic.Result) {
	switch r {
	case logic.OK:
		c.OK++
	case logic.Miss:
		c.Miss++
	case logic.Failed:
		c.Error++
	case logic.Full:
		c.Full++
	case logic.TimedOut:
		c.TimedOut++
	case logic.ConnectFailed:
		c.ConnectFailed++
	case logic.Reset:
		c.Reset++
	case logic.Cancelled:
		c.Cancelled++
	case logic.NotSent:
		c.NotSent++
	}
}

// countRefusal counts a refusal by its reason.
func (c *Counters) countRefusal(reason logic.Refusal) {
	switch reason {
	case logic.RefusedNoTime:
		c.NoTime++
	case logic.RefusedNoPrimary:
		c.NoPrimary++
	case logic.RefusedOverload:
		c.Overload++
	}
}

// LogValue implements slog.LogValuer.
func (c *Counters) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Uint64("taken", c.Accepted), slog.Uint64("served", c.Served), slog.Uint64("refused", c.Refused),
		slog.Uint64("failed", c.Failed), slog.Uint64("abandoned", c.Abandoned), slog.Uint64("late", c.Late),
		slog.Uint64("refused_no_time", c.NoTime), slog.Uint64("refused_no_primary", c.NoPrimary),
		slog.Uint64("refused_crowded", c.Overload), slog.Uint64("refused_size", c.RefusedForSize),
		slog.Uint64("failed_repeated", c.FailedAsRepeated),
		slog.Uint64("sent", c.Sent), slog.Uint64("ok", c.OK), slog.Uint64("miss", c.Miss),
		slog.Uint64("error", c.Error), slog.Uint64("full", c.Full), slog.Uint64("timed_out", c.TimedOut),
		slog.Uint64("connect_failed", c.ConnectFailed), slog.Uint64("reset", c.Reset),
		slog.Uint64("cancelled", c.Cancelled), slog.Uint64("not_sent", c.NotSent),
		slog.Uint64("probes", c.Probes), slog.Uint64("probes_ok", c.ProbesOK),
		slog.Uint64("opened", c.Opened), slog.Uint64("closed_idle", c.ClosedIdle),
		slog.Uint64("no_room", c.ConnectionLimitReached), slog.Uint64("spoilt", c.MalformedReplies),
		slog.Uint64("list_calls", c.ListCalls), slog.Uint64("list_failures", c.ListFailures),
		slog.Uint64("clients", c.Clients), slog.Uint64("made_room", c.ClientsEvicted),
		slog.Uint64("turned_away", c.ClientsRejected), slog.Uint64("malformed", c.Malformed),
		slog.Uint64("left_at_once", c.ClientsLeftAtOnce), slog.Uint64("shut_unread", c.ClientsShut),
		slog.Uint64("accept_errors", c.AcceptErrors), slog.Uint64("busy_waits", c.BusyWaits),
		slog.Uint64("not_reading", c.ClientsNotReading), slog.Uint64("panics", c.Panics),
		slog.Duration("longest_hold", c.LongestStall))
}
