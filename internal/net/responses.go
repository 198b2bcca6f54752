package net

import (
	"slices"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// pendingResponse is the response to one query. Responses are sent in the order of the queries.
type pendingResponse struct {
	client     *client
	id         logic.RequestID
	messages   []byte // the encoded response
	done       bool
	closeAfter bool // the connection is closed after this response
}

// Client implements state.Responder. An end that has arrived is handled once the loop has handled the current event.
func (resp *pendingResponse) Client() state.ClientPresence {
	c := resp.client
	switch {
	case c.connState == stateClosed:
		return state.ClientLeft
	case c.socket.peerClosed():
		c.server.loop.Post(c.close)
		return state.ClientLeft
	case c.endMayBeHidden():
		return state.ClientUnknown
	}
	return state.ClientPresent
}

// Served implements state.Responder.
func (resp *pendingResponse) Served(body []byte) { resp.complete(pg.AppendResult(nil, body)) }

// Refused implements state.Responder.
func (resp *pendingResponse) Refused(retryAfter time.Duration) {
	resp.complete(pg.AppendRefusal(nil, retryAfter))
}

// Failed implements state.Responder.
func (resp *pendingResponse) Failed() { resp.complete(pg.AppendFailure(nil)) }

// complete records the response, and sends it with those that precede it once all of them are complete.
func (resp *pendingResponse) complete(messages []byte) {
	resp.done, resp.messages = true, messages
	if !resp.client.batching {
		resp.client.sendResponses()
	}
}

// sendResponses sends all complete responses that precede the first incomplete one.
func (c *client) sendResponses() {
	output, closeAfter := c.takeResponses()
	for _, chunk := range output {
		c.write(chunk)
	}
	if closeAfter {
		c.closeGracefully()
	}
	c.accountResponses()
	if len(output) > 0 {
		c.closeIfDrained()
		c.updateEvictionList()
	}
}

// takeResponses removes the complete responses that precede the first incomplete one, and returns their bytes, the small
// ones joined. It also reports whether the connection is to be closed after them.
func (c *client) takeResponses() (output [][]byte, closeAfter bool) {
	n := 0
	joined := false // the last chunk of output is joined, and may be appended to
	for ; n < len(c.responses) && c.responses[n].done && !closeAfter; n++ {
		messages := c.responses[n].messages
		closeAfter = c.responses[n].closeAfter
		small := len(messages) < outputChunkBytes
		if small && joined {
			last := len(output) - 1
			output[last] = append(output[last], messages...)
			continue
		}
		output, joined = append(output, messages), small
	}
	c.responses = slices.Delete(c.responses, 0, n) // clears what it removes, so that no response is held
	return output, closeAfter
}
