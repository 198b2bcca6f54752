package main

import (
	"io"
	"net"
	"time"
)

// startFront starts a front that passes the connections of clients on to the proxy, with the given delay for each direction.
func (l *lab) startFront(delay time.Duration) string { return l.startRelay(&l.listen, delay) }

// startRelay starts a relay that passes connections on to an address, with the given delay for each direction. It passes on
// the end of a connection as TCP does: a close after what was sent before it, a reset at once.
func (l *lab) startRelay(target *string, delay time.Duration) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannotRun("%v", err)
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				time.Sleep(delay)
				proxy, err := net.Dial("tcp", *target)
				if err != nil {
					client.Close()
					return
				}
				go pass(client.(*net.TCPConn), proxy.(*net.TCPConn), delay)
				pass(proxy.(*net.TCPConn), client.(*net.TCPConn), delay)
			}()
		}
	}()
	return listener.Addr().String()
}

// pass copies from one connection to another. Reading never waits for the writing.
func pass(from, to *net.TCPConn, delay time.Duration) {
	type piece struct {
		bytes []byte
		at    time.Time
		err   error
	}
	pieces := make(chan piece, 1<<16)
	go func() {
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if err != nil && err != io.EOF { // a reset is passed on at once, before what was sent
				time.Sleep(delay)
				to.SetLinger(0)
				to.Close()
			}
			pieces <- piece{b[:n], time.Now().Add(delay), err}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if _, err := to.Write(p.bytes); err != nil { // the other side is gone: this one learns it a delay later
			time.Sleep(delay)
			from.SetLinger(0)
			from.Close()
			to.Close()
			return
		}
		if p.err == io.EOF {
			to.CloseWrite()
			return
		}
		if p.err != nil {
			return
		}
	}
}
