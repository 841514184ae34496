package front

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/textproto"
	"strconv"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/membudget"
	"arrowcleat/internal/settings"
)

// reasonPhrases are the reason phrases of the status codes that the marshal itself answers with.
var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	417: "Expectation Failed", 429: "Too Many Requests", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// writePlain writes an answer of the marshal itself. required is the reason for which the connection has to close after it,
// keepOpen for none; false means that it closes. fields are names and values of additional header fields.
func (c *conn) writePlain(status int, final, text string, required closeReason, fields ...string) (keepAlive bool) {
	reason, pending := c.beginAnswer(required)
	if !pending {
		return false
	}
	c.settleID()
	b := append(strconv.AppendInt(append(c.writeBuf[:0], "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, reasonPhrases[status]...), "\r\n"...)
	b = h1.AppendField(b, AnswerHeader, final)
	for i := 0; i+1 < len(fields); i += 2 {
		b = h1.AppendField(b, fields[i], fields[i+1])
	}
	if reason != keepOpen {
		b = h1.AppendField(b, "Connection", "close")
	}
	b = h1.AppendField(b, "Content-Type", "text/plain; charset=utf-8")
	b = append(h1.AppendField(b, "Content-Length", strconv.Itoa(len(text)+1)), "\r\n"...)
	if !c.omitBody {
		b = append(append(b, text...), '\n')
	}
	c.writeBuf = b
	return c.write() == nil && reason == keepOpen
}

// rejectInvalid answers a request that is the client's error. The client may send the same again at once, so it waits its turn.
func (c *conn) rejectInvalid(status int, text string, required closeReason) (keepAlive bool) {
	c.server.pacer.Wait()
	return c.reject(status, text, required)
}

// reject answers a request that the marshal does not accept.
func (c *conn) reject(status int, text string, required closeReason, fields ...string) (keepAlive bool) {
	c.server.Counters.Rejected.Add(1)
	if c.server.Log.Enabled(context.Background(), slog.LevelDebug) {
		c.server.Log.Debug("request refused", "request", c.lastRequestID, "status", status, "why", text)
	}
	return c.writePlain(status, NotAccepted, text, required, fields...)
}

// rejectUnreadable answers a request that could not be read.
func (c *conn) rejectUnreadable(err error) bool {
	if errors.Is(err, membudget.ErrExhausted) {
		return c.reject(503, err.Error(), closeRejected, "Retry-After", "1")
	}
	c.server.Counters.Malformed.Add(1)
	switch {
	case errors.Is(err, h1.ErrTooLarge):
		return c.rejectInvalid(431, err.Error(), closeRejected)
	case errors.Is(err, h1.ErrTransferCoding):
		return c.rejectInvalid(501, err.Error(), closeRejected)
	case errors.Is(err, h1.ErrVersion):
		return c.rejectInvalid(505, err.Error(), closeRejected)
	case errors.Is(err, h1.ErrMalformed):
		return c.rejectInvalid(400, err.Error(), closeRejected)
	case back.IsTimeout(err):
		return c.reject(408, "the request took too long to arrive", closeRejected) // after its time, which is no flood
	}
	c.clientGone.Store(true) // the connection failed
	return false
}

// serve handles one request; false closes the connection.
func (c *conn) serve(req *request) (keepAlive bool) {
	if req.err != nil {
		return c.rejectUnreadable(req.err)
	}
	h, s := req.head, c.server
	x := &exchange{conn: c, head: h, startMs: req.startMs, isEarly: req.isEarly, closeAfter: h.Close, bodyMemory: membudget.Reservation{Budget: s.Memory}}
	defer x.releaseBody()
	defer x.resumeReader()
	c.omitBody = h.Method == "HEAD"
	if err := h.ResolveTarget(); err != nil {
		return c.rejectUnreadable(err)
	}
	if s.Protocol.HealthPath != "" && h.Target == s.Protocol.HealthPath && h.Method == "GET" && h.BodyLength == 0 {
		return c.answerHealthCheck(x)
	}
	// Read operation, tenant, key, idempotency key and time limit from the head. Nothing has been accepted yet.
	params, err := c.readParams(h)
	c.lastRequestID, x.requestID = params.RequestID, params.RequestID
	required := x.requiredClose()
	if h.BodyLength != 0 { // an unread body precedes the next request on the connection
		required = closeRejected
	}
	var rejected rejection
	if errors.As(err, &rejected) {
		return c.rejectInvalid(rejected.status, rejected.text, required)
	}
	if s.tooLong(h.BodyLength) {
		return c.rejectInvalid(413, "the body is too long", closeRejected)
	}
	if err := c.claimID(x); err != nil {
		return c.rejectInvalid(409, err.Error(), required)
	}
	defer c.settleID()
	x.limitMs = params.LimitMs
	if s.openInvocations.Add(1) > int64(s.CurrentSettings().Limits.Open) {
		s.openInvocations.Add(-1)
		return c.reject(503, "too many invocations are open", required, "Retry-After", "1")
	}
	defer s.openInvocations.Add(-1)
	if err := x.retainBody(); err != nil {
		if errors.Is(err, h1.ErrMalformed) || errors.Is(err, h1.ErrTooLarge) || errors.Is(err, membudget.ErrExhausted) ||
			back.IsTimeout(err) {
			return c.rejectUnreadable(err)
		}
		c.clientGone.Store(true)
		return false
	}
	if s.Protocol.MaxBodyBytes > 0 && !x.bodyRetained {
		return c.rejectInvalid(413, "the body is too long", closeRejected)
	}
	if x.bodyRetained && (req.isAhead || x.body != nil) && back.StateOfPeer(c.nc) == back.PeerAhead {
		x.releaseBody()
		x.retained = nil
		return c.rejectInvalid(400, "too much was sent ahead of the answer", x.requiredClose())
	}
	x.acceptsTrailers = h1.ListsToken(h.Header["Te"], "trailers")
	h.RemoveHopByHop()
	budgetMs := x.limitMs - s.CurrentSettings().Times.AnswerMs - (s.Clock.Now() - x.startMs)
	if budgetMs <= 0 {
		return c.reject(503, "no time left when it had arrived", x.requiredClose())
	}
	x.pool, x.operation = s.Settings.LocateOperation(params.Operation)
	c.exchange.Store(x)
	defer func() {
		c.exchange.Store(nil)
		x.finish()
	}()
	if c.clientGone.Load() {
		return false
	}
	x.tenant, x.costMs, x.isWrite, x.key, x.isRetry = params.Tenant, params.CostMs, params.IsWrite, params.Key, params.IsRetry
	if o := s.Settings.Operation[params.Operation]; o.Repeat == settings.Repeat_FINGERPRINTED {
		x.keyMemoryMs = o.MemoryMs
	}
	x.deadlineMs = s.Clock.Now() + budgetMs
	x.answerByMs = x.deadlineMs + s.CurrentSettings().Times.AnswerMs/2
	core := 0
	if len(s.Loops) > 1 {
		if s.Settings.PoolRollout(x.pool).ForwardOnly {
			x.placementKey = x.key
		}
		if x.placementKey == "" && s.headerNames.idempotencyKey != "" {
			x.placementKey = h.Header.Get(s.headerNames.idempotencyKey)
		}
		core = divide.AssignInvocation(x.placementKey, c.homeCore, s.queued, len(s.Loops))
		if core != c.homeCore && x.placementKey == "" {
			s.movedInvocations.Add(1)
		}
	}
	if !x.offer(core) {
		return s.rejectOverloaded(x)
	}
	return x.run()
}

// answerHealthCheck answers a health check once the server is ready.
func (c *conn) answerHealthCheck(x *exchange) bool {
	if s := c.server; s.Ready != nil {
		<-s.Ready
	}
	if c.server.aborted.Load() {
		return c.reject(503, "this marshal has ended", x.requiredClose())
	}
	return c.writePlain(200, NotAccepted, "serving", x.requiredClose())
}

// rejectOverloaded rejects an invocation that no core has accepted because too many wait.
func (s *Server) rejectOverloaded(x *exchange) bool {
	return x.conn.reject(503, "this marshal is behind", x.requiredClose(), "Retry-After", "1")
}

// parseMs reads a header field as a time in milliseconds, or returns fallback if the field or its name is empty.
func parseMs(h textproto.MIMEHeader, name string, fallback float64) (float64, error) {
	if name == "" {
		return fallback, nil
	}
	text := h.Get(name)
	if text == "" {
		return fallback, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v < 1e12) {
		return 0, fmt.Errorf("%s: %.40q is no time in milliseconds", name, text)
	}
	return v, nil
}

// terminationStatus returns the status code of a termination: 504 after a timeout, else 502.
func (x *exchange) terminationStatus() int {
	if x.lastOutcome == balance.TimedOut {
		return 504
	}
	return 502
}
