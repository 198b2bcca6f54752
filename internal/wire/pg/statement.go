package pg

import (
	"errors"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// Statement is one request: its text and the fields of the routing comment at its end.
type Statement struct {
	Text        string
	ID          string        // chosen by the client, unique to the request
	Session     uint64        // derived from the statement's first quoted text; never 0
	Class       string        // name of the request class
	Timeout     time.Duration // how long the client waits, from the time it sent the request
	Group       int           // number of the replicated group that holds the data
	TokenMillis int64         // time of the session's last commit, Unix milliseconds; 0 = none
	Retry       bool          // the client marked the request as a repeat

	timeoutStart, timeoutEnd int // byte range of the value of d (Timeout) in Text
}

// ErrInvalidStatement is returned for a query without a valid routing comment or quoted key. Clients receive its
// text.
var ErrInvalidStatement = errors.New("not a statement with a routing comment")

// ParseStatement parses a statement such as
//
//	SELECT val FROM state WHERE uid = 'KEY' /* id=9b1f03aa,c=basket,d=480,cluster=2,after=1767225600123 */
//
// Unknown names in the comment are ignored. The text is kept unchanged.
func ParseStatement(text string) (Statement, error) {
	s := Statement{Text: text}
	commentStart, commentEnd := strings.LastIndex(text, "/*"), strings.LastIndex(text, "*/")
	if commentStart < 0 || commentEnd < commentStart+2 || strings.Trim(text[commentEnd+2:], " \t\r\n;") != "" {
		return s, ErrInvalidStatement
	}
	key, ok := firstQuoted(text[:commentStart])
	if !ok {
		return s, ErrInvalidStatement
	}
	s.Session = sessionFromKey(key)
	hasGroup := false
	for start := commentStart + 2; start < commentEnd; {
		end := commentEnd
		if length := strings.IndexByte(text[start:commentEnd], ','); length >= 0 {
			end = start + length
		}
		name, value, _ := strings.Cut(strings.TrimSpace(text[start:end]), "=")
		var err error
		switch name {
		case "id":
			s.ID = value
		case "c":
			s.Class = value
		case "d":
			var ms int64
			ms, err = strconv.ParseInt(value, 10, 64)
			// A client with less than a millisecond left sends 0; it must still get a response.
			if ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
				return s, ErrInvalidStatement
			}
			s.Timeout = time.Duration(ms) * time.Millisecond
			s.timeoutStart = start + strings.Index(text[start:end], value)
			s.timeoutEnd = s.timeoutStart + len(value)
		case "cluster":
			s.Group, err = strconv.Atoi(value)
			hasGroup = true
		case "after":
			s.TokenMillis, err = strconv.ParseInt(value, 10, 64)
		case "r":
			s.Retry = value == "1"
		}
		if err != nil {
			return s, ErrInvalidStatement
		}
		start = end + 1
	}
	if s.ID == "" || s.Class == "" || s.timeoutEnd == 0 || !hasGroup {
		return s, ErrInvalidStatement
	}
	return s, nil
}

// firstQuoted returns the first quoted text of a statement.
func firstQuoted(text string) (string, bool) {
	_, rest, ok := strings.Cut(text, "'")
	if !ok {
		return "", false
	}
	key, _, ok := strings.Cut(rest, "'")
	return key, ok
}

// sessionFromKey returns the session ID of a key: the number itself if the key is 16 hexadecimal digits, otherwise
// a hash. It never returns 0.
func sessionFromKey(key string) uint64 {
	if n, err := strconv.ParseUint(key, 16, 64); err == nil && n != 0 && len(key) == 16 {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return max(h.Sum64(), 1)
}

// AppendTo appends the statement as a Query message for a database that has the given time to reply. Only the value
// of d is replaced. It is rounded down to milliseconds (but is at least 1), so that the database doesn't work on a
// request whose client has stopped waiting.
func (s *Statement) AppendTo(dst []byte, timeout time.Duration) []byte {
	dst, at := beginMessage(dst, TypeQuery)
	dst = append(dst, s.Text[:s.timeoutStart]...)
	dst = strconv.AppendInt(dst, max(int64(timeout/time.Millisecond), 1), 10)
	return endMessage(appendCString(dst, s.Text[s.timeoutEnd:]), at)
}
