package main

import (
	"net"
	"time"
)

// relay passes connections on to a target and delivers what is sent, in both directions, after a constant delay, as a
// network does.
type relay struct {
	address string
	delay   time.Duration
}

// parcel is what one read returned; it is delivered at a time.
type parcel struct {
	bytes     []byte
	deliverAt time.Time
}

func startRelay(target string, delay time.Duration) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{address: listener.Addr().String(), delay: delay}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			go r.pass(in, out)
			go r.pass(out, in)
		}
	}()
	return r, nil
}

// pass delivers to one side what the other sends, until that ends, and then closes both.
func (r *relay) pass(from, to net.Conn) {
	parcels := make(chan parcel, 1024)
	go func() {
		defer from.Close()
		defer to.Close()
		for p := range parcels {
			time.Sleep(time.Until(p.deliverAt))
			if _, err := to.Write(p.bytes); err != nil {
				break
			}
		}
		for range parcels { // nobody takes them any more
		}
	}()
	defer close(parcels)
	for {
		buffer := make([]byte, 32<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			parcels <- parcel{buffer[:n], time.Now().Add(r.delay)}
		}
		if err != nil {
			return
		}
	}
}
