package pg

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// maxCost is the time from which the event loop counts as blocked.
	maxCost = 50 * time.Millisecond
	// maxCopies is how many times the length of its input a parser may allocate.
	maxCopies = 8
)

// worstInputs are inputs of the greatest length, each made to be expensive for the parser that is called with it.
var worstInputs = map[string]func(){
	"comment of commas":        statementOf(strings.Repeat(",", MaxMessage-200)),
	"comment of short fields":  statementOf(strings.Repeat("a=1,", MaxMessage/4-50)),
	"comment of equal signs":   statementOf(strings.Repeat("=", MaxMessage-200)),
	"comment of spaces":        statementOf(strings.Repeat(" ", MaxMessage-200)),
	"comment of ids":           statementOf(strings.Repeat("id=1,", MaxMessage/5-50)),
	"comment of timeouts":      statementOf(strings.Repeat("d=1,", MaxMessage/4-50)),
	"comment of digits":        statementOf("d=" + strings.Repeat("0", MaxMessage-200) + "1"),
	"statement of quotes":      func() { ParseStatement(strings.Repeat("'", MaxMessage-50) + "/* id=1,c=a,d=1,cluster=0 */") },
	"statement of long keys":   func() { ParseStatement("'" + strings.Repeat("f", MaxMessage-50) + "'/* id=1,c=a,d=1,cluster=0 */") },
	"statement of openings":    func() { ParseStatement("'a'" + strings.Repeat("/*", MaxMessage/2-50)) },
	"statement of slashes":     func() { ParseStatement("'a'" + strings.Repeat("/", MaxMessage-50)) },
	"statement of stars":       func() { ParseStatement("'a'" + strings.Repeat("*", MaxMessage-50)) },
	"statement of semicolons":  func() { ParseStatement("'a'/* id=1,c=a,d=1,cluster=0 */" + strings.Repeat(";", MaxMessage-50)) },
	"query of zero bytes":      func() { QueryText(Message{Body: make([]byte, MaxMessage)}) },
	"load report of commas":    func() { ParseLoadReport(strings.Repeat(",", MaxMessage)) },
	"load report of fields":    func() { ParseLoadReport(strings.Repeat("x0=1,", MaxMessage/5)) },
	"load report of digits":    func() { ParseLoadReport("x0=" + strings.Repeat("9", MaxMessage)) },
	"load report of spaces":    func() { ParseLoadReport(strings.Repeat(" ", MaxMessage)) },
	"reply of short notices":   replyOf(message('N', "")),
	"reply of short errors":    replyOf(message('E', "Ca\x00\x00")),
	"reply of parameters":      replyOf(message('S', "load\x00x0=1\x00")),
	"error of many fields":     replyOf(message('E', strings.Repeat("M\x00", MaxMessage/2-10))),
	"error without an end":     replyOf(message('E', strings.Repeat("M", MaxMessage-10))),
	"parameter of zero bytes":  replyOf(message('S', strings.Repeat("\x00", MaxMessage-10))),
	"position of many digits":  replyOf(message('S', "applied_ms\x00"+strings.Repeat("1", MaxMessage-20)+"\x00")),
	"row of the longest value": replyOf(message('D', "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, MaxMessage-10))+strings.Repeat("v", MaxMessage-10))),
}

// statementOf returns a call of ParseStatement with the given text in the comment.
func statementOf(comment string) func() {
	return func() { ParseStatement("SELECT 'a' /* id=1,c=a,d=1,cluster=0," + comment + " */") }
}

// replyOf returns a call that passes the longest reply that consists of one kind of message.
func replyOf(m []byte) func() {
	stream := bytes.Repeat(m, maxReplyBytes/len(m))
	return func() {
		var r Reply
		feed(stream, nil, func(buf []byte) (int, error) {
			m, n, err := Next(buf)
			if n > 0 {
				err = r.Add(m)
			}
			return n, err
		})
	}
}

// One line of a hostile client, whose comment consisted of commas, blocked the event loop for seconds: the work of a parser
// must grow with the length of its input and no faster, in both directions.
func TestWorstInputsBlockTheLoopForNoTime(t *testing.T) {
	for name, parse := range worstInputs {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		begin := time.Now()
		parse()
		took := time.Since(begin)
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; took > maxCost || allocated > maxCopies*maxReplyBytes {
			t.Errorf("%s: took %v and %d bytes of memory", name, took, allocated)
		}
	}
}
