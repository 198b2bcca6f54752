package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// This file holds the part of PostgreSQL's protocol that clients and tile stores need.

// message returns one message with its type and length.
func message(kind byte, body string) []byte {
	out := make([]byte, 5, 5+len(body))
	out[0] = kind
	binary.BigEndian.PutUint32(out[1:], uint32(len(body)+4))
	return append(out, body...)
}

// startupMessage returns what a client sends first.
func startupMessage() []byte {
	body := "\x00\x03\x00\x00user\x00client\x00database\x00core\x00\x00"
	out := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)+4))
	return append(out, body...)
}

// readStartup reads a startup message.
func readStartup(r io.Reader) error {
	head := make([]byte, 4)
	if _, err := io.ReadFull(r, head); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head)
	if size < 8 || size > 10000 {
		return errors.New("startup message of a wrong length")
	}
	_, err := io.ReadFull(r, make([]byte, size-4))
	return err
}

// readMessage reads one message after the startup.
func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err = io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if size < 4 || size > 1<<20 {
		return 0, nil, errors.New("message of a wrong length")
	}
	body = make([]byte, size-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

const readyForQuery = "Z\x00\x00\x00\x05I"

// rowAnswer returns RowDescription, one DataRow of one column and CommandComplete.
func rowAnswer(value string) []byte {
	out := message('T', "\x00\x01val\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	size := make([]byte, 4)
	binary.BigEndian.PutUint32(size, uint32(len(value)))
	out = append(out, message('D', "\x00\x01"+string(size)+value)...)
	return append(out, message('C', "SELECT 1\x00")...)
}

func parameter(name, value string) []byte { return message('S', name+"\x00"+value+"\x00") }

func errorMessage(code, text string) []byte {
	return message('E', "SERROR\x00C"+code+"\x00M"+text+"\x00\x00")
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

// rowValue returns the value of a DataRow of one column.
func rowValue(body []byte) string {
	if len(body) < 6 {
		return ""
	}
	return string(body[6:])
}

// statement is a query of a client, as a tile store reads it.
type statement struct {
	text, id, class, key string
	d                    int
	write                bool
}

// parseStatement reads the key and the comment of a query.
func parseStatement(text string) (statement, error) {
	s := statement{text: text, write: strings.HasPrefix(text, "INSERT")}
	parts := strings.Split(text, "'")
	open, end := strings.LastIndex(text, "/*"), strings.LastIndex(text, "*/")
	if len(parts) < 3 || open < 0 || end < open {
		return s, errors.New("not a statement of a client")
	}
	s.key = parts[1]
	for _, pair := range strings.Split(text[open+2:end], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		switch name {
		case "id":
			s.id = value
		case "c":
			s.class = value
		case "d":
			if _, err := fmt.Sscanf(value, "%d", &s.d); err != nil {
				return s, err
			}
		}
	}
	if s.id == "" || s.class == "" {
		return s, errors.New("statement without an id or a class")
	}
	return s, nil
}
