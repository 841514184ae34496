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
	"arrowcleat/internal/settings"
)

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	417: "Expectation Failed", 429: "Too Many Requests", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// plain writes an answer of the marshal's own. must is for what the connection has to end with it; false says that it ends.
func (c *conn) plain(status int, final, text string, must closeReason, fields ...string) (keep bool) {
	ends, owed := c.beginAnswer(must)
	if !owed {
		return false
	}
	c.release()
	b := append(strconv.AppendInt(append(c.out[:0], "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, reasons[status]...), "\r\n"...)
	b = h1.AppendField(b, Final, final)
	for i := 0; i+1 < len(fields); i += 2 {
		b = h1.AppendField(b, fields[i], fields[i+1])
	}
	if ends != keepOpen {
		b = h1.AppendField(b, "Connection", "close")
	}
	b = h1.AppendField(b, "Content-Type", "text/plain; charset=utf-8")
	b = append(h1.AppendField(b, "Content-Length", strconv.Itoa(len(text)+1)), "\r\n"...)
	if !c.noBody {
		b = append(append(b, text...), '\n')
	}
	c.out = b
	return c.write() == nil && ends == keepOpen
}

// refuse turns a request away before it is taken.
func (c *conn) refuse(status int, text string, must closeReason, fields ...string) (keep bool) {
	c.s.Counts.TurnedAway.Add(1)
	if c.s.Log.Enabled(context.Background(), slog.LevelDebug) {
		c.s.Log.Debug("request refused", "request", c.lastID, "status", status, "why", text)
	}
	return c.plain(status, NotTaken, text, must, fields...)
}

func (c *conn) fault(err error) bool {
	c.s.Counts.Malformed.Add(1)
	switch {
	case errors.Is(err, h1.ErrTooLarge):
		return c.refuse(431, err.Error(), closeRejected)
	case errors.Is(err, h1.ErrCoding):
		return c.refuse(501, err.Error(), closeRejected)
	case errors.Is(err, h1.ErrVersion):
		return c.refuse(505, err.Error(), closeRejected)
	case errors.Is(err, h1.ErrMalformed):
		return c.refuse(400, err.Error(), closeRejected)
	case back.Timeout(err):
		return c.refuse(408, "the request took too long to arrive", closeRejected)
	}
	c.gone.Store(true) // the connection broke
	return false
}

// serve works on one request; false ends the connection.
func (c *conn) serve(req *request) (keep bool) {
	if req.fault != nil {
		return c.fault(req.fault)
	}
	h, s := req.head, c.s
	x := &exchange{c: c, head: h, began: req.began, last: h.Close}
	defer x.resumeReader()
	c.noBody = h.Method == "HEAD"
	if s.Terms.Health != "" && h.Target == s.Terms.Health && h.Method == "GET" && h.Length == 0 {
		return c.plain(200, NotTaken, "serving", x.mustEnd())
	}
	// What the head asks for: operation, tenant, key, mark, time. Nothing has been taken yet.
	absolute(h)
	asked, err := c.asked(h)
	c.lastID, x.requestID = asked.ID, asked.ID
	unread := x.mustEnd()
	if h.Length != 0 { // the body that is not read is in the way of the next request
		unread = closeRejected
	}
	var why refusal
	if errors.As(err, &why) {
		return c.refuse(why.status, why.text, unread)
	}
	if s.tooLong(h.Length) {
		return c.refuse(413, "the body is too long", closeRejected)
	}
	if !s.claim(asked.ID) {
		return c.refuse(409, "a request of this id is open", unread)
	}
	c.id = asked.ID
	defer c.release()
	x.limit = asked.Limit
	if s.open.Add(1) > int64(s.Current().Limits.Open) {
		s.open.Add(-1)
		return c.refuse(503, "too many invocations are open", unread, "Retry-After", "1")
	}
	defer s.open.Add(-1)
	if err := x.takeBody(); err != nil {
		if errors.Is(err, h1.ErrMalformed) || back.Timeout(err) {
			return c.fault(err)
		}
		c.gone.Store(true)
		return false
	}
	if s.Terms.MostBody > 0 && !x.whole {
		return c.refuse(413, "the body is too long", closeRejected)
	}
	x.trailers = h1.Listed(h.Header["Te"], "trailers")
	h.DropHops()
	budget := x.limit - s.Current().Times.AnswerMs - (s.Clock.Now() - x.began)
	if budget <= 0 {
		return c.refuse(503, "no time left when it had arrived", x.mustEnd())
	}
	x.pool, x.local = s.Set.Place(asked.Op)
	c.current.Store(x)
	defer func() {
		c.current.Store(nil)
		x.finish()
	}()
	if c.gone.Load() {
		return false
	}
	x.tenant, x.cost, x.write, x.key, x.retry = asked.Tenant, asked.Cost, asked.Write, asked.Key, asked.Retry
	if o := s.Set.Operation[asked.Op]; o.Repeat == settings.Repeat_FINGERPRINTED {
		x.memory = o.MemoryMs
	}
	x.dueAt = s.Clock.Now() + budget
	x.answerBy = x.dueAt + s.Current().Times.AnswerMs/2
	at := 0
	if len(s.Loops) > 1 {
		if s.Set.RolloutOf(x.pool).ForwardOnly {
			x.name = x.key
		}
		if x.name == "" && s.names.mark != "" {
			x.name = h.Header.Get(s.names.mark)
		}
		at = divide.AssignInvocation(x.name, c.home, s.waiting, len(s.Loops))
		if at != c.home && x.name == "" {
			s.moved.Add(1)
		}
	}
	if !x.offer(at) {
		return s.behind(x)
	}
	return x.run()
}

// behind turns away what no core has taken.
func (s *Server) behind(x *exchange) bool {
	return x.c.refuse(503, "this marshal is behind", x.mustEnd(), "Retry-After", "1")
}

func number(h textproto.MIMEHeader, name string, absent float64) (float64, error) {
	if name == "" {
		return absent, nil
	}
	text := h.Get(name)
	if text == "" {
		return absent, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v < 1e12) {
		return 0, fmt.Errorf("%s: %.40q is no time in milliseconds", name, text)
	}
	return v, nil
}

// status of a termination: the nodes' fault, or time that ran out.
func (x *exchange) terminated() int {
	if x.how == balance.TimedOut {
		return 504
	}
	return 502
}
