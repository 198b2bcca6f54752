// Package sim encodes and decodes the simulator's binary protocol. It converts event frames to values of package
// logic and the router's actions to frames; it contains no decision logic.
package sim

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"havenproxy/logic"
)

// Event codes.
const (
	codeDefineList    = 16 // defines a numbered member list, which codeMemberList refers to
	codeMemberList    = 17 // an update of the member list, by the number of a defined list
	codeTimer         = 18
	codeInstanceStart = 19
	codeProbeResult   = 20
	codeAttemptEnd    = 21
	codeInstanceStop  = 22
	codeRequest       = 23
	codeAnswerStarted = 24
	codeAbandoned     = 25
	codeDatagram      = 26 // bytes from another instance
)

// Action codes.
const (
	actionSend      = 16
	actionRefuse    = 17
	actionFail      = 18
	actionCancel    = 19
	actionSetTimer  = 20
	actionProbe     = 21
	actionCloseIdle = 22
	actionDatagram  = 23 // send bytes to another instance
	actionLog       = 24
	actionAbort     = 25 // the instance can't continue
	actionWatch     = 26 // start or stop watching the member list
	actionFetch     = 27 // request the full member list
)

// Sizes and limits. Sizes are in bytes.
const (
	eventHeaderSize, eventRecordSize   = 16, 48
	actionHeaderSize, actionRecordSize = 8, 24
	listEntrySize                      = 29
	maxFrameSize                       = 1 << 30 // far larger than any batch; a larger length means a corrupt frame
	maxLists                           = 16      // number of member lists that can be defined
)

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events that router instances receive.
const (
	InstanceStarted Kind = iota // an instance starts; sets Seed and Settings
	InstanceStopped             // an instance stops
	MemberList                  // an update of the member list; sets List
	RequestReceived             // a client sent a request; sets Request
	AnswerStarted               // the first part of a streamed answer has arrived; sets ID and Attempt
	Outcome                     // an attempt ended; sets Outcome
	ProbeResult                 // a probe ended; sets ProbeResult
	Timer                       // a timer expired; sets Timer
	Abandoned                   // the client disconnected and expects no answer; sets ID
	Datagram                    // bytes from another instance, which are not decoded
)

// Event is one decoded event. Apart from Kind and Instance, only the fields of its Kind are set.
type Event struct {
	Kind        Kind
	Instance    uint32 // number of the router instance that receives the event
	Seed        uint64 // for the router's random numbers
	Settings    []byte // JSON; see settings.Parse
	List        logic.List
	Request     logic.Request
	ID          logic.RequestID
	Attempt     int
	Outcome     logic.Outcome
	ProbeResult logic.ProbeResult
	Timer       logic.TimerID
}

// ReportFormat holds the settings of an instance that are needed to decode positions and load reports. The same values
// are part of settings.Settings.
type ReportFormat struct {
	Origin time.Duration // the time that positions are relative to
	Fields []string      // names of the values in a load report, in order
}

// Decoder reads and decodes batches. It keeps the numbered member lists, which all instances share.
type Decoder struct {
	reader *bufio.Reader
	buf    []byte
	lists  [maxLists][]logic.Member // the member lists by their numbers
}

// NewDecoder returns a Decoder that reads from reader.
func NewDecoder(reader io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(reader, 1<<16)}
}

// Batch is one frame of events.
type Batch struct {
	Now   time.Duration // the clock at the time of the events
	Count int           // number of records
	body  []byte        // the records, each of eventRecordSize bytes
	tail  []byte        // data of variable length that records refer to by offset and length
}

// Next reads one batch, which is valid until the next call. It returns io.EOF if the input ends between two frames.
func (d *Decoder) Next() (Batch, error) {
	var header [eventHeaderSize]byte
	if _, err := io.ReadFull(d.reader, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errors.New("frame: input ends within the 16-byte header")
		}
		return Batch{}, err
	}
	size := binary.LittleEndian.Uint32(header[:])
	count := binary.LittleEndian.Uint32(header[12:])
	if size < eventHeaderSize || size > maxFrameSize || uint64(count)*eventRecordSize > uint64(size)-eventHeaderSize {
		return Batch{}, fmt.Errorf("frame: length %d at byte 0 can't hold %d records", size, count)
	}
	if err := d.readBody(int(size) - eventHeaderSize); err != nil {
		return Batch{}, err
	}
	recordsSize := int(count) * eventRecordSize
	return Batch{Now: micros64(binary.LittleEndian.Uint64(header[4:])), Count: int(count),
		body: d.buf[:recordsSize], tail: d.buf[recordsSize:]}, nil
}

// readBody reads n bytes into buf. The buffer grows only as data arrives, so that a false length in the header
// doesn't cause a large allocation.
func (d *Decoder) readBody(n int) error {
	d.buf = d.buf[:0]
	for len(d.buf) < n {
		chunk := min(n-len(d.buf), 1<<16)
		at := len(d.buf)
		for cap(d.buf) < at+chunk {
			d.buf = append(d.buf[:cap(d.buf)], 0)
		}
		d.buf = d.buf[:at+chunk]
		if got, err := io.ReadFull(d.reader, d.buf[at:]); err != nil {
			return fmt.Errorf("frame: input ends after %d of %d bytes", eventHeaderSize+at+got, eventHeaderSize+n)
		}
	}
	return nil
}

// micros64 converts a number of microseconds.
func micros64(v uint64) time.Duration { return time.Duration(v) * time.Microsecond }

// record is one record of an event, a member list or an action. Its methods read and write the field at an offset;
// numbers are little-endian.
type record []byte

func (r record) u8(at int) uint8   { return r[at] }
func (r record) u16(at int) uint16 { return binary.LittleEndian.Uint16(r[at:]) }
func (r record) u32(at int) uint32 { return binary.LittleEndian.Uint32(r[at:]) }
func (r record) u64(at int) uint64 { return binary.LittleEndian.Uint64(r[at:]) }
func (r record) f32(at int) float32 {
	return math.Float32frombits(binary.LittleEndian.Uint32(r[at:]))
}

func (r record) micros(at int) time.Duration { return time.Duration(r.u32(at)) * time.Microsecond }

// memberID packs a four-byte address (big-endian) and a port into one opaque ID.
func (r record) memberID(at int) logic.MemberID {
	return logic.MemberID(uint64(binary.BigEndian.Uint32(r[at:]))<<16 | uint64(r.u16(at+4)))
}

// tailSpan returns length units of unit bytes each from the tail, starting at byte offset.
func (b Batch) tailSpan(offset, length uint32, unit uint64) ([]byte, error) {
	end := uint64(offset) + uint64(length)*unit
	if end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("offset %d with length %d lies outside the tail of %d bytes", offset, length, len(b.tail))
	}
	return b.tail[offset:end], nil
}

// Each decodes the records of a batch in order. It stores list definitions in d and calls f for each other event.
// formatOf returns the ReportFormat of an instance, or false if the instance is unknown.
func (d *Decoder) Each(b Batch, formatOf func(instance uint32) (ReportFormat, bool), f func(Event) error) error {
	for i := 0; i < b.Count; i++ {
		rec := record(b.body[i*eventRecordSize : (i+1)*eventRecordSize])
		if rec.u8(0) == codeDefineList {
			if err := d.defineList(b, rec); err != nil {
				return fmt.Errorf("record %d (code %d): %w", i, rec.u8(0), err)
			}
			continue
		}
		e := Event{Instance: rec.u32(1)}
		format, known := formatOf(e.Instance)
		if !known && rec.u8(0) != codeInstanceStart {
			return fmt.Errorf("record %d (code %d): instance %d is unknown", i, rec.u8(0), e.Instance)
		}
		if err := d.decode(b, rec, format, &e); err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, rec.u8(0), err)
		}
		if err := f(e); err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, rec.u8(0), err)
		}
	}
	return nil
}

// defineList decodes a member list and stores it under its number, replacing an earlier one.
func (d *Decoder) defineList(b Batch, rec record) error {
	number := rec.u8(1)
	if number >= maxLists {
		return fmt.Errorf("list number %d is above %d", number, maxLists-1)
	}
	raw, err := b.tailSpan(rec.u32(2), rec.u32(6), listEntrySize)
	if err != nil {
		return err
	}
	list := make([]logic.Member, 0, len(raw)/listEntrySize)
	for ; len(raw) > 0; raw = raw[listEntrySize:] {
		e := record(raw[:listEntrySize])
		m := logic.Member{ID: e.memberID(0), Zone: int(e.u16(6)), Group: logic.GroupID(e.u16(10)),
			Primary: e.f32(13) == 1, Weight: float64(e.f32(17)), StartedAt: micros64(e.u64(21))}
		switch e.u8(12) {
		case 1:
			m.State = logic.Ready
		case 2:
			m.State = logic.Draining
		}
		list = append(list, m)
	}
	d.lists[number] = list
	return nil
}

// listKinds maps the scope code of a list event to its kind.
var listKinds = [...]logic.ListKind{logic.ListDelta, logic.ListFull, logic.ListCached, logic.ListFailed}

// decode decodes every event except codeDefineList.
func (d *Decoder) decode(b Batch, rec record, format ReportFormat, e *Event) (err error) {
	switch rec.u8(0) {
	case codeInstanceStart:
		e.Kind, e.Seed = InstanceStarted, rec.u64(5)
		e.Settings, err = b.tailSpan(rec.u32(13), rec.u32(17), 1)
	case codeInstanceStop:
		e.Kind = InstanceStopped
	case codeMemberList:
		e.Kind = MemberList
		scope, number := rec.u8(5), rec.u8(10)
		if int(scope) >= len(listKinds) {
			return fmt.Errorf("list scope %d is unknown", scope)
		}
		e.List.Kind = listKinds[scope]
		if e.List.Kind != logic.ListFailed {
			if number >= maxLists {
				return fmt.Errorf("list number %d is above %d", number, maxLists-1)
			}
			e.List.Entries = d.lists[number]
		}
	case codeRequest:
		e.Kind = RequestReceived
		e.Request = logic.Request{ID: logic.RequestID(rec.u64(5)), Class: int(rec.u16(13)),
			Tenant: int(rec.u16(15)), Session: logic.SessionID(rec.u64(17)), Deadline: micros64(rec.u64(25)),
			Group: logic.GroupID(rec.f32(37)), TokenAge: tokenAge(rec.f32(41)), Retry: rec.u8(45)&2 != 0}
	case codeAnswerStarted:
		e.Kind, e.ID, e.Attempt = AnswerStarted, logic.RequestID(rec.u64(5)), int(rec.u8(13))
	case codeTimer:
		e.Kind, e.Timer = Timer, logic.TimerID(rec.u64(5))
	case codeProbeResult:
		e.Kind = ProbeResult
		e.ProbeResult = logic.ProbeResult{Member: rec.memberID(7), Took: rec.micros(13),
			Report: format.parseReport(rec, 17)}
		e.ProbeResult.Result, err = parseResult(rec.u16(5))
	case codeAttemptEnd:
		e.Kind = Outcome
		e.Outcome = logic.Outcome{Request: logic.RequestID(rec.u64(5)), Attempt: int(rec.u8(17)),
			Member: rec.memberID(18), Took: rec.micros(24), Answered: rec.u8(28) != 0,
			LoadReport: format.parseReport(rec, 31)}
		e.Outcome.Role, e.Outcome.Position = format.roleAndPosition(rec.u32(13))
		e.Outcome.Result, err = parseResult(rec.u16(29))
	case codeAbandoned:
		e.Kind, e.ID = Abandoned, logic.RequestID(rec.u64(5))
	case codeDatagram:
		e.Kind = Datagram
		_, err = b.tailSpan(rec.u32(9), rec.u32(13), 1)
	default:
		return errors.New("unknown event code")
	}
	return err
}

// parseResult converts the outcome code of an attempt or probe.
func parseResult(code uint16) (logic.Result, error) {
	switch code {
	case 100:
		return logic.OK, nil
	case 101:
		return logic.Miss, nil
	case 301:
		return logic.Failed, nil
	case 302:
		return logic.Full, nil
	case 303:
		return logic.TimedOut, nil
	case 304:
		return logic.ConnectFailed, nil
	case 305:
		return logic.Reset, nil
	case 306:
		return logic.Cancelled, nil
	case 307:
		return logic.NotSent, nil
	}
	return 0, fmt.Errorf("outcome code %d is unknown", code)
}

// tokenAge converts the age of a session's last commit, in milliseconds. It rounds down, so that the commit never
// counts as older than it is. A positive age stays positive, since zero means that there is no commit. Values that
// are not a plausible age count as none.
func tokenAge(ms float32) time.Duration {
	if !(ms > 0) || ms > 1e12 {
		return 0
	}
	roundedDown := float64(math.Nextafter32(ms, 0)) * float64(time.Millisecond)
	return max(time.Duration(roundedDown), 1)
}

// roleAndPosition decodes the field with a member's role (the lowest two bits) and its position in milliseconds since
// Origin (the other bits; 0 = not reported).
func (format ReportFormat) roleAndPosition(field uint32) (logic.Role, time.Duration) {
	role := parseRole(field & 3)
	if ms := field >> 2; ms != 0 {
		return role, format.Origin + time.Duration(ms)*time.Millisecond
	}
	return role, 0
}

// parseRole converts a role code.
func parseRole(v uint32) logic.Role {
	switch v {
	case 1:
		return logic.RolePrimary
	case 2:
		return logic.RoleReplica
	}
	return logic.RoleUnknown
}

// parseReport decodes the load report at offset at: the number of values and up to four 32-bit floats. A position may
// have been rounded up to a 32-bit float, so the next smaller float is used.
func (format ReportFormat) parseReport(rec record, at int) logic.Report {
	out := logic.Report{Queue: -1}
	n := int(rec.u8(at))
	for i := 0; i < n && i < 4 && i < len(format.Fields); i++ {
		v := rec.f32(at + 1 + 4*i)
		switch format.Fields[i] {
		case "x0":
			if v > 0 && v < 1e9 {
				sec := float64(math.Nextafter32(v, 0))
				out.Position = format.Origin + time.Duration(sec*float64(time.Second))
			}
		case "x1":
			out.Role = logic.RoleReplica
			if v == 1 {
				out.Role = logic.RolePrimary
			}
		case "queue":
			out.Queue = float64(v)
		}
	}
	return out
}

// Encoder collects the actions of one reply frame, which is written for each batch. It implements logic.Actions for
// one instance at a time.
type Encoder struct {
	Instance uint32 // the instance that the next actions come from
	records  []byte
	tail     []byte // texts that records refer to by offset and length
	count    uint32
}

// addRecord appends an action of the current instance and returns its record, to be filled in.
func (e *Encoder) addRecord(code uint8) record {
	at := len(e.records)
	e.records = append(e.records, make([]byte, actionRecordSize)...)
	rec := record(e.records[at:])
	rec[0] = code
	binary.LittleEndian.PutUint32(rec[1:], e.Instance)
	e.count++
	return rec
}

func (r record) putU32(at int, v uint32) { binary.LittleEndian.PutUint32(r[at:], v) }
func (r record) putU64(at int, v uint64) { binary.LittleEndian.PutUint64(r[at:], v) }
func (r record) putMemberID(at int, m logic.MemberID) {
	binary.BigEndian.PutUint32(r[at:], uint32(m>>16))
	binary.LittleEndian.PutUint16(r[at+4:], uint16(m))
}

// putMicros writes a duration in microseconds, limited to the range of 32 bits.
func (r record) putMicros(at int, d time.Duration) {
	r.putU32(at, uint32(min(max(d/time.Microsecond, 0), math.MaxUint32)))
}

// Send implements logic.Actions.
func (e *Encoder) Send(id logic.RequestID, to logic.MemberID, timeout, _ time.Duration) {
	rec := e.addRecord(actionSend)
	rec.putU64(5, uint64(id))
	rec.putMemberID(13, to)
	rec.putMicros(19, timeout)
}

// Probe implements logic.Actions.
func (e *Encoder) Probe(to logic.MemberID) { e.addRecord(actionProbe).putMemberID(5, to) }

// Refuse implements logic.Actions.
func (e *Encoder) Refuse(id logic.RequestID, retryAfter time.Duration, _ logic.Refusal) {
	rec := e.addRecord(actionRefuse)
	rec.putU64(5, uint64(id))
	rec.putMicros(13, retryAfter)
}

// Fail implements logic.Actions.
func (e *Encoder) Fail(id logic.RequestID) { e.addRecord(actionFail).putU64(5, uint64(id)) }

// Cancel implements logic.Actions.
func (e *Encoder) Cancel(id logic.RequestID, attempt int) {
	rec := e.addRecord(actionCancel)
	rec.putU64(5, uint64(id))
	rec[13] = uint8(attempt)
}

// SetTimer implements logic.Actions. The time is rounded up to microseconds, so that the timer doesn't expire early.
func (e *Encoder) SetTimer(id logic.TimerID, at time.Duration) {
	rec := e.addRecord(actionSetTimer)
	rec.putU64(5, uint64(id))
	rec.putU64(13, uint64((at+time.Microsecond-1)/time.Microsecond))
}

// Watch implements logic.Actions.
func (e *Encoder) Watch(on bool) {
	if rec := e.addRecord(actionWatch); on {
		rec[5] = 1
	}
}

// Fetch implements logic.Actions.
func (e *Encoder) Fetch() { e.addRecord(actionFetch) }

// Log implements logic.Actions.
func (e *Encoder) Log(text string) { e.addText(actionLog, text) }

// Abort tells the simulator that this instance can't continue, and why.
func (e *Encoder) Abort(text string) { e.addText(actionAbort, text) }

// CloseIdle asks the simulator to close the instance's idle connections to a member.
func (e *Encoder) CloseIdle(m logic.MemberID) { e.addRecord(actionCloseIdle).putMemberID(5, m) }

// SendDatagram sends contents to the instance with the number target.
func (e *Encoder) SendDatagram(target uint32, contents string) {
	rec := e.addText(actionDatagram, contents)
	copy(rec[9:17], rec[5:13])
	rec.putU32(5, target)
}

// addText appends an action with a text, which goes to the tail, and returns its record.
func (e *Encoder) addText(code uint8, text string) record {
	rec := e.addRecord(code)
	rec.putU32(5, uint32(len(e.tail)))
	rec.putU32(9, uint32(len(text)))
	e.tail = append(e.tail, text...)
	return rec
}

// Flush writes the collected actions as one reply frame to w and starts an empty one.
func (e *Encoder) Flush(w *bufio.Writer) error {
	var header [actionHeaderSize]byte
	binary.LittleEndian.PutUint32(header[:], e.count)
	binary.LittleEndian.PutUint32(header[4:], uint32(actionHeaderSize+len(e.records)+len(e.tail)))
	w.Write(header[:])
	w.Write(e.records)
	w.Write(e.tail)
	e.records, e.tail, e.count = e.records[:0], e.tail[:0], 0
	return w.Flush()
}
