package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// store stands for one tile store. It is sound: it admits anybody, answers each statement after its work, tells its role and
// position, answers probes at once, and turns a write away if it is not the primary. What a case changes is in its hooks.
type store struct {
	lab     *lab
	name    string
	group   int
	primary bool
	address string

	work   func(statement) time.Duration // how long a statement takes
	value  func(statement) string        // what a read returns; nil = the id of the request
	greet  func() time.Duration          // how late a new connection comes up; nil = at once
	before func(statement) string        // "reset": the connection is reset after the work; "" = the statement is answered
	copies func(statement) time.Duration // how close behind its answer a second copy comes; 0 = none

	mu       sync.Mutex
	attempts int
	listener net.Listener
	conns    map[net.Conn]bool
}

func (l *lab) newStore(name string, group int, primary bool) *store {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannotRun("no port for a tile store: %v", err)
	}
	s := &store{lab: l, name: name, group: group, primary: primary, address: listener.Addr().String(), listener: listener,
		conns: map[net.Conn]bool{}, work: func(statement) time.Duration { return 40 * time.Millisecond }}
	l.stores = append(l.stores, s)
	go s.accept()
	return s
}

func (s *store) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *store) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	if s.greet != nil {
		time.Sleep(s.greet())
	}
	r := bufio.NewReader(conn)
	if readStartup(r) != nil {
		return
	}
	greeting := append(message('R', "\x00\x00\x00\x00"), s.status()...)
	if _, err := conn.Write(append(greeting, readyForQuery...)); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(r)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		text := string(body[:len(body)-1])
		out, ok := s.answer(text)
		if !ok {
			conn.(*net.TCPConn).SetLinger(0) // a reset
			return
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
		s.copyBehind(conn, r, text, out)
	}
}

// copyBehind sends a second copy of an answer if the case asks for it and nothing else waits on the connection.
func (s *store) copyBehind(conn net.Conn, r *bufio.Reader, text string, out []byte) {
	st, err := parseStatement(text)
	if err != nil || s.copies == nil {
		return
	}
	behind := s.copies(st)
	if behind == 0 {
		return
	}
	begin := time.Now()
	conn.SetReadDeadline(begin.Add(behind))
	_, err = r.Peek(1)
	conn.SetReadDeadline(time.Time{})
	if e, ok := err.(net.Error); ok && e.Timeout() {
		late := time.Since(begin)
		conn.Write(out)
		s.lab.record("store %s: a second copy of the answer to id=%s, %.2f ms behind it", s.name, st.id, late.Seconds()*1000)
	}
}

// status returns role and position. A replica stands 10 ms behind.
func (s *store) status() []byte {
	role, at := "primary", time.Now()
	if !s.primary {
		role, at = "replica", at.Add(-10*time.Millisecond)
	}
	return append(parameter("role", role), parameter("applied_ms", fmt.Sprint(at.UnixMilli()))...)
}

func (s *store) answer(text string) ([]byte, bool) {
	switch text {
	case "SHOW load":
		at, role := time.Now(), 1
		if !s.primary {
			at, role = at.Add(-10*time.Millisecond), 0
		}
		report := fmt.Sprintf("x0=%.3f,x1=%d,queue=0,util=0.30", float64(at.UnixMilli())/1000, role)
		return append(rowAnswer(report), readyForQuery...), true
	case "SELECT 1":
		return append(rowAnswer("1"), readyForQuery...), true
	}
	st, err := parseStatement(text)
	if err != nil {
		s.lab.record("store %s: 08P01 for %.80q", s.name, text)
		return append(errorMessage("08P01", err.Error()), readyForQuery...), true
	}
	s.lab.attempt(s, st)
	if st.write && !s.primary {
		out := append(errorMessage("25006", "not the primary"), s.status()...)
		return append(out, readyForQuery...), true
	}
	time.Sleep(s.work(st))
	if s.before != nil && s.before(st) == "reset" {
		s.lab.record("store %s: resets the connection under id=%s", s.name, st.id)
		return nil, false
	}
	value := st.id
	if s.value != nil {
		value = s.value(st)
	}
	out := append(rowAnswer(value), s.status()...)
	return append(out, readyForQuery...), true
}
