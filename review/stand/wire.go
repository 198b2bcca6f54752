package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// message is one message of PostgreSQL's protocol after the startup message.
type message struct {
	kind byte
	body []byte
}

func readStartup(r *bufio.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 8 || size > 8192 {
		return fmt.Errorf("startup message of %d bytes", size)
	}
	_, err := io.CopyN(io.Discard, r, int64(size-4))
	return err
}

func readMessage(r *bufio.Reader) (message, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return message{}, err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if size < 4 || size > 1<<20 {
		return message{}, fmt.Errorf("message of %d bytes", size)
	}
	m := message{kind: head[0], body: make([]byte, size-4)}
	_, err := io.ReadFull(r, m.body)
	return m, err
}

func appendMessage(dst []byte, kind byte, body string) []byte {
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

func startupMessage() []byte {
	body := "\x00\x03\x00\x00user\x00client\x00database\x00core\x00\x00"
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

func queryMessage(text string) []byte { return appendMessage(nil, 'Q', text+"\x00") }

func appendReady(dst []byte) []byte { return appendMessage(dst, 'Z', "I") }

func greeting() []byte {
	out := appendMessage(nil, 'R', "\x00\x00\x00\x00")
	out = appendMessage(out, 'S', "server_version\x0015.0\x00")
	return appendReady(out)
}

func appendRow(dst []byte, value, tag string) []byte {
	dst = appendMessage(dst, 'T', "\x00\x01val\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	size := binary.BigEndian.AppendUint32(nil, uint32(len(value)))
	dst = appendMessage(dst, 'D', "\x00\x01"+string(size)+value)
	return appendMessage(dst, 'C', tag+"\x00")
}

func appendError(dst []byte, code, text string) []byte {
	return appendMessage(dst, 'E', "SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00")
}

func appendStatus(dst []byte, name, value string) []byte {
	return appendMessage(dst, 'S', name+"\x00"+value+"\x00")
}

// errorCode returns the SQLSTATE of an ErrorResponse.
func errorCode(body []byte) string {
	for _, field := range strings.Split(string(body), "\x00") {
		if strings.HasPrefix(field, "C") {
			return field[1:]
		}
	}
	return "?"
}

// statement is a request as the pages describe it.
type statement struct {
	text  string
	id    string
	class string
	d     int
	group int
	key   string
	write bool
}

var commentPattern = regexp.MustCompile(`/\* (.*) \*/$`)

func parseStatement(text string) (s statement, ok bool) {
	found := commentPattern.FindStringSubmatch(text)
	if found == nil {
		return s, false
	}
	s.text, s.write = text, strings.HasPrefix(text, "INSERT")
	for _, part := range strings.Split(found[1], ",") {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "id":
			s.id = value
		case "c":
			s.class = value
		case "d":
			s.d, _ = strconv.Atoi(value)
		case "cluster":
			s.group, _ = strconv.Atoi(value)
		}
	}
	if parts := strings.SplitN(text, "'", 3); len(parts) == 3 {
		s.key = parts[1]
	}
	return s, s.id != "" && s.class != ""
}

func readText(key, id, class string, d, group int) string {
	return fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%s,c=%s,d=%d,cluster=%d */", key, id, class, d, group)
}

func writeText(key, id, class, value string, d, group int) string {
	return fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%s', '\\x%s') RETURNING val /* id=%s,c=%s,d=%d,cluster=%d */",
		key, value, id, class, d, group)
}
