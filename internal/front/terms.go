package front

import (
	"fmt"
	"strconv"
	"strings"

	"arrowcleat/internal/h1"
	"arrowcleat/internal/settings"
)

// ProtocolOptions are what a protocol asks of the clients' side beyond its settings; the zero value is the project's own.
type ProtocolOptions struct {
	ParseRequest          func(h *h1.Head) (RequestParams, error) // nil: by the names that settings give
	HealthPath            string                                  // a path at which the marshal says that it serves
	MaxBodyBytes          int64                                   // bytes of a body, of a request or an answer; longer ones are errors. 0: they are streamed
	FirstRequestTimeoutMs float64                                 // from a connection's opening to its first whole request; 0: as for any other
	RetryAfter            func(ms float64) (field, value string)  // when a throttled client may come back
	DropInterimResponses  bool                                    // what nodes send ahead of an answer is not passed on
}

// RequestParams is what a request asks for.
type RequestParams struct {
	Operation, Tenant int
	Key               string
	RequestID         string  // no two of one id are open at once; empty: it has none
	LimitMs, CostMs   float64 // ms
	IsRetry, IsWrite  bool
}

// refusal is why a request is turned away before it is taken.
type rejection struct {
	status int
	text   string
}

func (r rejection) Error() string { return r.text }

// NewRejection is an error that turns a request away with a status.
func NewRejection(status int, text string) error { return rejection{status, text} }

// asked finds operation, tenant, key, mark and time in a head as the project's own protocol has them.
func (c *conn) readParams(h *h1.Head) (params RequestParams, err error) {
	s := c.server
	if s.Protocol.ParseRequest != nil {
		return s.Protocol.ParseRequest(h)
	}
	path, _, _ := strings.Cut(h.Target, "?")
	op := s.CurrentSettings().Find(c.listener, h.Method, path)
	if op < 0 || h.Method == "CONNECT" {
		return params, NewRejection(404, "no operation matches "+h.Method+" "+path)
	}
	o := s.CurrentSettings().Operation[op]
	if o.Repeat == settings.Repeat_FINGERPRINTED && h.Header.Get(s.headerNames.idempotencyKey) == "" {
		return params, NewRejection(400, o.Name+" needs a mark against repeats in "+s.headerNames.idempotencyKey)
	}
	limit, err := parseMs(h.Header, s.headerNames.timeLimit, o.LimitMs)
	if err != nil {
		return params, NewRejection(400, err.Error())
	}
	cost, err := parseMs(h.Header, s.headerNames.cost, 0)
	if err != nil {
		return params, NewRejection(400, err.Error())
	}
	return RequestParams{Operation: op, Tenant: s.CurrentSettings().TenantIndex(h.Header.Get(s.headerNames.tenant)), Key: h.Header.Get(s.headerNames.key),
		LimitMs: min(limit, o.LimitMs), CostMs: cost, IsRetry: s.headerNames.retry != "" && h.Header.Get(s.headerNames.retry) != "", IsWrite: o.Write}, nil
}

// absolute takes the authority of a target in absolute form for the host.
func splitAbsoluteTarget(h *h1.Head) {
	path, _, _ := strings.Cut(h.Target, "?")
	i := strings.Index(path, "://")
	if i <= 0 {
		return
	}
	host, _, _ := strings.Cut(path[i+3:], "/")
	h.Header["Host"] = []string{host}
	h.Target = h.Target[i+3+len(host):]
	if len(path) == i+3+len(host) {
		h.Target = "/" + h.Target
	}
}

// claim opens an id; false says that it is open.
func (s *Server) claimID(id string) bool {
	if id == "" {
		return true
	}
	_, open := s.openIDs.LoadOrStore(id, true)
	return !open
}

// release lets the id of the open request go, before the client can have the last byte of its answer: it may come back
// with the same one at once.
func (c *conn) releaseID() {
	if c.openID != "" {
		c.server.openIDs.Delete(c.openID)
		c.openID = ""
	}
}

// tooLong says that a body is known to be longer than the terms allow.
func (s *Server) tooLong(length int64) bool {
	return s.Protocol.MaxBodyBytes > 0 && length > s.Protocol.MaxBodyBytes
}

// retryAfter are the fields that say when to come back.
func (s *Server) retryAfterFields(ms float64) []string {
	if s.Protocol.RetryAfter != nil {
		field, value := s.Protocol.RetryAfter(ms)
		return []string{field, value}
	}
	return []string{"Retry-After", strconv.Itoa(max(1, int(ms/1000+0.999))), "Retry-After-Ms", fmt.Sprintf("%.0f", ms)}
}
