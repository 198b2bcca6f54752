package pg

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"
)

const (
	// maxReplyBytes is the maximum length of a whole reply, in bytes: the largest row, and ample room for the parameters
	// and notices that a database may add.
	maxReplyBytes = MaxMessage + 64<<10
	// maxLoadReportBytes is the maximum length of a load report, in bytes; it has a few short fields.
	maxLoadReportBytes = 4 << 10
	// maxKeptBodyBytes is the capacity of the largest Body that Reset keeps for the next reply.
	maxKeptBodyBytes = 16 << 10
)

// ErrReplyTooLong is returned for a reply that exceeds the limit on its whole length, as one that never ends does.
var ErrReplyTooLong = errors.New("reply is too long")

// zeroByte ends the strings in messages.
var zeroByte = []byte{0}

// Roles that databases report.
const (
	RolePrimary = "primary"
	RoleReplica = "replica"
)

// Reply collects the messages with which a database replies to one query, up to ReadyForQuery.
type Reply struct {
	Code       string // SQLSTATE of the error; empty if there was none
	Body       []byte // RowDescription, DataRow and CommandComplete, unchanged
	Role       string // RolePrimary, RoleReplica or empty
	Position   int64  // commits up to then are applied, Unix milliseconds; 0 = not reported
	LoadReport string // load report; see ParseLoadReport

	size     int    // total length of the messages so far
	row      []byte // value of the row; a slice of Body
	rowCount int
	complete bool // CommandComplete has arrived
	ready    bool // ReadyForQuery has arrived
}

// Reset clears the reply for the next query. It keeps the capacity of a small Body.
func (r *Reply) Reset() {
	body := r.Body[:0]
	if cap(body) > maxKeptBodyBytes {
		body = nil
	}
	*r = Reply{Body: body}
}

// Ready reports whether ReadyForQuery has arrived, which ends the reply.
func (r *Reply) Ready() bool { return r.ready }

// Served reports whether the reply has a complete result: one row and CommandComplete, and no error.
func (r *Reply) Served() bool { return r.Code == "" && r.rowCount == 1 && r.complete }

// Add processes the next message. It returns ErrMalformed for a message that violates the protocol or that the
// proxy doesn't support, and ErrReplyTooLong for one that makes the reply too long.
func (r *Reply) Add(m Message) error {
	if r.size += len(m.Raw); r.size > maxReplyBytes {
		return ErrReplyTooLong
	}
	switch m.Type {
	case typeAuthentication:
		if len(m.Body) != 4 || binary.BigEndian.Uint32(m.Body) != 0 {
			return ErrMalformed // the database requires a password, and the proxy has none
		}
	case typeBackendKeyData, typeNoticeResponse, typeEmptyQuery:
	case typeParameterStatus:
		return r.addParameter(m.Body)
	case typeRowDescription:
		if len(r.Body) > 0 {
			return ErrMalformed // one result per statement; without the limit a database could fill the memory
		}
		r.Body = append(r.Body, m.Raw...)
	case typeDataRow:
		value, ok := singleColumn(m.Body)
		if r.rowCount++; !ok || r.rowCount > 1 {
			return ErrMalformed
		}
		r.Body = append(r.Body, m.Raw...)
		r.row = r.Body[len(r.Body)-len(value):]
	case typeCommandComplete:
		if r.complete {
			return ErrMalformed
		}
		r.Body = append(r.Body, m.Raw...)
		r.complete = true
	case typeErrorResponse:
		if setText(&r.Code, sqlState(m.Body)); r.Code == "" {
			return ErrMalformed
		}
	case typeReadyForQuery:
		r.ready = true
	default:
		return ErrMalformed
	}
	return nil
}

// addParameter processes the body of a ParameterStatus message. Unknown parameters are ignored, and cost no memory.
func (r *Reply) addParameter(body []byte) error {
	name, rest, named := bytes.Cut(body, zeroByte)
	value, ended := bytes.CutSuffix(rest, zeroByte)
	if !named || !ended || bytes.IndexByte(value, 0) >= 0 {
		return ErrMalformed
	}
	switch string(name) {
	case "role":
		setText(&r.Role, value)
	case "applied_ms":
		ms, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(ms >= 0 && ms < 1<<53) {
			return ErrMalformed
		}
		r.Position = int64(ms)
	case "load":
		setText(&r.LoadReport, value)
	}
	return nil
}

// setText sets a string, without an allocation if it has that value already.
func setText(to *string, value []byte) {
	if string(value) != *to {
		*to = string(value)
	}
}

// singleColumn returns the value of a DataRow with exactly one column. NULL counts as an empty value.
func singleColumn(body []byte) ([]byte, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, false
	}
	n := int32(binary.BigEndian.Uint32(body[2:]))
	if n == -1 {
		n = 0
	}
	return body[6:], int(n) == len(body)-6
}

// IsStatementError reports whether an SQLSTATE says that the statement itself is at fault: a protocol violation, bad
// data (class 22) or bad syntax (class 42).
func IsStatementError(code string) bool {
	return code == CodeProtocolViolation || strings.HasPrefix(code, "22") || strings.HasPrefix(code, "42")
}

// sqlState returns the SQLSTATE of an ErrorResponse, or nothing if there is none.
func sqlState(body []byte) []byte {
	for len(body) > 1 {
		field, rest, ok := bytes.Cut(body[1:], zeroByte)
		if !ok {
			return nil
		}
		if body[0] == 'C' {
			return field
		}
		body = rest
	}
	return nil
}

// LoadReport is a decoded load report.
type LoadReport struct {
	Present  bool    // the text had at least one numeric field
	Position float64 // as in Reply.Position, but in Unix seconds; 0 = not reported
	Role     string  // as in Reply.Role
	Queue    float64 // queued requests; negative = not reported
}

// ParseLoadReport parses a load report of the form "x0=1767225600.123,x1=1,queue=7": x0 is the position, x1 is 1 on
// the primary, queue is the number of queued requests. Unknown fields are ignored, and so is a text that is longer than
// maxLoadReportBytes. Values are parsed as 64-bit floats, since a position has more digits than a 32-bit float holds.
func ParseLoadReport(text string) LoadReport {
	out := LoadReport{Queue: -1}
	if len(text) > maxLoadReportBytes {
		return out
	}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		out.Present = true
		switch name {
		case "x0":
			out.Position = v
		case "x1":
			if out.Role = RoleReplica; v == 1 {
				out.Role = RolePrimary
			}
		case "queue":
			out.Queue = v
		}
	}
	return out
}

// Row returns a copy of the row's value.
func (r *Reply) Row() string { return string(r.row) }
