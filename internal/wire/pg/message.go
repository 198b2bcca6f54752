// Package pg encodes and decodes the part of the PostgreSQL frontend/backend protocol, version 3, that the proxy
// supports: simple queries without password authentication. It works on byte slices and performs no I/O.
package pg

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// MaxMessage is the maximum length of a message, in bytes. A value of 64 KiB takes 128 KiB as hexadecimal text;
	// the rest is for the text around it.
	MaxMessage        = 160 << 10
	maxStartupMessage = 8 << 10 // in bytes; a startup message holds only a few short parameters

	readyForQueryBytes = 6 // size of a ReadyForQuery message

	protocolVersion3  = 3 << 16
	cancelRequestCode = 1234<<16 | 5678
	sslRequestCode    = 1234<<16 | 5679
	gssEncRequestCode = 1234<<16 | 5680
)

// Message types that the proxy reads or writes.
const (
	TypeQuery     = 'Q'
	TypeTerminate = 'X'

	typeAuthentication  = 'R'
	typeParameterStatus = 'S'
	typeBackendKeyData  = 'K'
	typeReadyForQuery   = 'Z'
	typeRowDescription  = 'T'
	typeDataRow         = 'D'
	typeCommandComplete = 'C'
	typeEmptyQuery      = 'I'
	typeErrorResponse   = 'E'
	typeNoticeResponse  = 'N'
)

// SQLSTATE codes that the proxy sends to clients or distinguishes in the errors of databases. The names are
// PostgreSQL's.
const (
	CodeProtocolViolation   = "08P01" // malformed input
	CodeTooManyConnections  = "53300" // refused before execution, safe to retry
	CodeCannotConnectNow    = "57P03" // the server accepts no queries now; refused before execution, safe to retry
	CodeReadOnlyTransaction = "25006" // a write was sent to a server that is not the primary
	CodeSnapshotTooOld      = "72000" // the server's data is too old for the read
	CodeSystemError         = "58000" // the proxy got no reply from any database
)

// ErrMalformed is returned for input that violates the protocol. Clients receive its text.
var ErrMalformed = errors.New("malformed message")

// ErrTooLong is returned for a message that is longer than MaxMessage. Clients receive its text.
var ErrTooLong = fmt.Errorf("message is longer than %d bytes", MaxMessage)

// Message is one protocol message. Body and Raw are slices of the buffer that it was decoded from.
type Message struct {
	Type byte
	Body []byte
	Raw  []byte // the complete message, including its type and length
}

// Next decodes the first message in buf and returns its size in bytes, or 0 if the message is still incomplete. The error
// is ErrTooLong or ErrMalformed.
func Next(buf []byte) (m Message, n int, err error) {
	if len(buf) < 5 {
		return m, 0, nil
	}
	if n = Size(buf); n == 0 {
		if size := int32(binary.BigEndian.Uint32(buf[1:])); size > MaxMessage {
			return m, 0, ErrTooLong
		}
		return m, 0, ErrMalformed
	}
	if len(buf) < n {
		return m, 0, nil
	}
	return Message{Type: buf[0], Body: buf[5:n], Raw: buf[:n]}, n, nil
}

// Size returns the size in bytes of the first message in buf, which may be incomplete, or 0 if its header is incomplete
// or invalid.
func Size(buf []byte) int {
	if len(buf) < 5 {
		return 0
	}
	size := binary.BigEndian.Uint32(buf[1:])
	if size < 4 || size > MaxMessage {
		return 0
	}
	return int(size) + 1
}

// StartupKind is the kind of the first message on a client's connection.
type StartupKind uint8

// The kinds of first message.
const (
	StartupSession    StartupKind = iota // the startup message, which opens a session
	StartupEncryption                    // a request for encryption; the startup message follows the response
	StartupCancel                        // a cancel request; the connection carries nothing else
)

// NextStartup decodes a client's first message, which has no type byte, and returns its size in bytes, or 0 if the
// message is still incomplete.
func NextStartup(buf []byte) (kind StartupKind, n int, err error) {
	if len(buf) < 4 {
		return kind, 0, nil
	}
	size := binary.BigEndian.Uint32(buf)
	if size < 8 || size > maxStartupMessage {
		return kind, 0, ErrMalformed
	}
	if len(buf) < int(size) {
		return kind, 0, nil
	}
	switch code := binary.BigEndian.Uint32(buf[4:]); {
	case code == sslRequestCode || code == gssEncRequestCode:
		kind = StartupEncryption
	case code == cancelRequestCode:
		kind = StartupCancel
	case code>>16 != protocolVersion3>>16:
		return kind, 0, ErrMalformed
	}
	return kind, int(size), nil
}

// QueryText returns the text of a Query message without its terminating zero byte.
func QueryText(m Message) ([]byte, error) {
	if len(m.Body) == 0 || bytes.IndexByte(m.Body, 0) != len(m.Body)-1 {
		return nil, ErrMalformed
	}
	return m.Body[:len(m.Body)-1], nil
}

// beginMessage appends a message's type and a placeholder for its length. It returns the offset of the length,
// which endMessage fills in.
func beginMessage(dst []byte, messageType byte) ([]byte, int) {
	dst = append(dst, messageType, 0, 0, 0, 0)
	return dst, len(dst) - 4
}

// endMessage writes the length of the message whose length field is at offset at.
func endMessage(dst []byte, at int) []byte {
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at))
	return dst
}

// appendCString appends s and a terminating zero byte.
func appendCString(dst []byte, s string) []byte { return append(append(dst, s...), 0) }

// AppendStartup appends the startup message that opens a session on a database server.
func AppendStartup(dst []byte, user, database string) []byte {
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.BigEndian.AppendUint32(dst, protocolVersion3)
	for _, s := range []string{"user", user, "database", database, ""} {
		dst = appendCString(dst, s)
	}
	return endMessage(dst, at)
}

// AppendQuery appends a simple query.
func AppendQuery(dst []byte, text string) []byte {
	dst, at := beginMessage(dst, TypeQuery)
	return endMessage(appendCString(dst, text), at)
}

// AppendEncryptionRefusal appends the response to a request for encryption: the client may continue unencrypted.
func AppendEncryptionRefusal(dst []byte) []byte { return append(dst, 'N') }

// AppendStartupResponse appends the response to a client's startup message: AuthenticationOk, the server's parameters
// and ReadyForQuery.
func AppendStartupResponse(dst []byte) []byte {
	dst, at := beginMessage(dst, typeAuthentication)
	dst = endMessage(binary.BigEndian.AppendUint32(dst, 0), at)
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		dst, at = beginMessage(dst, typeParameterStatus)
		dst = endMessage(appendCString(appendCString(dst, p[0]), p[1]), at)
	}
	return AppendReadyForQuery(dst)
}

// AppendReadyForQuery appends ReadyForQuery: the client may send its next query.
func AppendReadyForQuery(dst []byte) []byte {
	dst, at := beginMessage(dst, typeReadyForQuery)
	return endMessage(append(dst, 'I'), at)
}

// AppendEmptyQueryResponse appends the response to an empty query.
func AppendEmptyQueryResponse(dst []byte) []byte {
	dst, at := beginMessage(dst, typeEmptyQuery)
	return AppendReadyForQuery(endMessage(dst, at))
}

// AppendResult appends the response to a served request: body, which is the Body of a database's Reply, followed by
// ReadyForQuery.
func AppendResult(dst, body []byte) []byte {
	return AppendReadyForQuery(append(slices.Grow(dst, len(body)+readyForQueryBytes), body...))
}

// AppendRefusal appends the error response to a refused request. A positive retryAfter is sent as the detail field,
// in milliseconds; it is rounded up so that no client retries too early.
func AppendRefusal(dst []byte, retryAfter time.Duration) []byte {
	detail := ""
	if retryAfter > 0 {
		detail = strconv.FormatInt(int64((retryAfter+time.Millisecond-1)/time.Millisecond), 10)
	}
	return AppendReadyForQuery(appendError(dst, "ERROR", CodeTooManyConnections, "no member can take this now", detail))
}

// AppendFailure appends the error response to a failed request. It is unknown whether the request took effect.
func AppendFailure(dst []byte) []byte {
	return AppendReadyForQuery(appendError(dst, "ERROR", CodeSystemError, "no member answered in time", ""))
}

// AppendFatal appends a fatal error, the last message before the connection is closed.
func AppendFatal(dst []byte, code, text string) []byte {
	return appendError(dst, "FATAL", code, text, "")
}

func appendError(dst []byte, severity, code, text, detail string) []byte {
	dst, at := beginMessage(dst, typeErrorResponse)
	dst = appendCString(append(dst, 'S'), severity)
	dst = appendCString(append(dst, 'V'), severity)
	dst = appendCString(append(dst, 'C'), code)
	dst = appendCString(append(dst, 'M'), text)
	if detail != "" {
		dst = appendCString(append(dst, 'D'), detail)
	}
	return endMessage(append(dst, 0), at)
}
