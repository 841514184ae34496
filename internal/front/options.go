package front

import (
	"fmt"
	"strconv"
	"strings"

	"arrowcleat/internal/h1"
	"arrowcleat/internal/requestids"
	"arrowcleat/internal/settings"
)

// ProtocolOptions adapt the client side to a protocol, beyond the settings. The zero value is the project's own protocol.
type ProtocolOptions struct {
	// ParseRequest reads the parameters of a request from its head; nil: from the headers named in the settings.
	ParseRequest func(h *h1.Head) (RequestParams, error)
	// HealthPath is the path of the marshal's health check; empty: none.
	HealthPath string
	// MaxBodyBytes bounds the body of a request or response; a longer one is an error. 0: no limit, long bodies are streamed.
	MaxBodyBytes int64
	// FirstRequestTimeoutMs runs from the opening of a connection to its first complete request; 0: as for any other request.
	FirstRequestTimeoutMs float64
	// RetryAfter returns the header field that says when a throttled client may retry; nil: the project's own fields.
	RetryAfter func(ms float64) (field, value string)
	// DropInterimResponses drops the interim responses (1xx) of nodes instead of passing them on.
	DropInterimResponses bool
}

// RequestParams are the parameters that a request's head carries.
type RequestParams struct {
	Operation, Tenant int     // indices in the settings
	Key               string  // empty: it has none
	RequestID         string  // no other request that is accepted has the same; empty: it has none
	LimitMs, CostMs   float64 // time limit; the client's estimate of the cost, 0 for none
	IsRetry, IsWrite  bool    // the client marked it as a retry; its operation writes
}

// rejection is the error of a request that is rejected before it is accepted.
type rejection struct {
	status int
	text   string
}

// Error returns the text that the client gets.
func (r rejection) Error() string { return r.text }

// NewRejection returns an error that rejects a request with an HTTP status and a text.
func NewRejection(status int, text string) error { return rejection{status, text} }

// readParams reads a request's parameters from its head, by default under the header names in the settings.
func (c *conn) readParams(h *h1.Head) (params RequestParams, err error) {
	s := c.server
	if s.Protocol.ParseRequest != nil {
		return s.Protocol.ParseRequest(h)
	}
	path, _, _ := strings.Cut(h.Target, "?")
	index := s.CurrentSettings().FindOperation(c.listener, h.Method, path)
	if index < 0 || h.Method == "CONNECT" {
		return params, NewRejection(404, "no operation matches "+h.Method+" "+path)
	}
	operation := s.CurrentSettings().Operation[index]
	if operation.Repeat == settings.Repeat_FINGERPRINTED && h.Header.Get(s.headerNames.idempotencyKey) == "" {
		return params, NewRejection(400, operation.Name+" needs a mark against repeats in "+s.headerNames.idempotencyKey)
	}
	limitMs, err := parseMs(h.Header, s.headerNames.timeLimit, operation.LimitMs)
	if err != nil {
		return params, NewRejection(400, err.Error())
	}
	costMs, err := parseMs(h.Header, s.headerNames.cost, 0)
	if err != nil {
		return params, NewRejection(400, err.Error())
	}
	return RequestParams{Operation: index, Tenant: s.CurrentSettings().TenantIndex(h.Header.Get(s.headerNames.tenant)),
		Key: h.Header.Get(s.headerNames.key), LimitMs: min(limitMs, operation.LimitMs), CostMs: costMs,
		IsRetry: s.headerNames.retry != "" && h.Header.Get(s.headerNames.retry) != "", IsWrite: operation.Write}, nil
}

// claimID takes the id of a request for its exchange. It fails if another request has or had the id.
func (c *conn) claimID(x *exchange) error {
	if x.requestID == "" {
		return nil
	}
	if err := c.server.RequestIDs.Claim(x.requestID); err != nil {
		return err
	}
	c.idHolder = x
	return nil
}

// settleID ends the claim of the request's id. It is called before the client can have the last byte of the answer, since the
// client may use the id of a request that was not accepted again at once.
func (c *conn) settleID() {
	if x := c.idHolder; x != nil {
		c.idHolder = nil
		c.server.RequestIDs.Settle(x.requestID, x.idUse())
	}
}

// idUse returns what the invocation's id has been used for.
func (x *exchange) idUse() requestids.Use {
	switch {
	case x.sent:
		return requestids.Sent
	case x.acceptedBy.Load() != 0:
		return requestids.Accepted
	default:
		return requestids.Unused
	}
}

// tooLong reports whether a body is known to be longer than the protocol allows.
func (s *Server) tooLong(length int64) bool {
	return s.Protocol.MaxBodyBytes > 0 && length > s.Protocol.MaxBodyBytes
}

// retryAfterFields returns names and values of the header fields that say when to retry.
func (s *Server) retryAfterFields(afterMs float64) []string {
	if s.Protocol.RetryAfter != nil {
		field, value := s.Protocol.RetryAfter(afterMs)
		return []string{field, value}
	}
	return []string{"Retry-After", strconv.Itoa(max(1, int(afterMs/1000+0.999))), "Retry-After-Ms", fmt.Sprintf("%.0f", afterMs)}
}
