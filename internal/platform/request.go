package platform

import (
	"errors"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"arrowcleat/internal/front"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/settings"
)

// reportNames maps the names of the load metrics that nodes report to the module's names.
var reportNames = map[string]string{"inflight": "held", "queue": "waiting", "util": "busy", "latency_ms": "service-ms",
	"qps": "rate", "eps": "errors"}

// readRequest reads the parameters of a request from its head. A request that nodes would refuse, or that is ambiguous,
// is an error; it is not accepted.
func (c *Config) readRequest(h *h1.Head) (request front.RequestParams, err error) {
	id, ok := singleValue(h.Header, "X-Trace-Id")
	if !ok || !validID(id) {
		return request, front.NewRejection(400, "one X-Trace-Id is due")
	}
	class, ok := singleValue(h.Header, "X-Qos")
	request.Operation = slices.IndexFunc(c.Settings.Operation, func(o *settings.Operation) bool { return o.Name == class })
	if !ok || request.Operation < 0 {
		return request, front.NewRejection(404, "no operation of this name in X-Qos")
	}
	path, _, _ := strings.Cut(h.Target, "?")
	if !pathMatches(path, class) {
		return request, front.NewRejection(404, "path and X-Qos name different operations")
	}
	method := "GET"
	if c.Settings.Operation[request.Operation].Repeat != settings.Repeat_IDEMPOTENT {
		method = "POST"
	}
	if h.Method != method {
		return request, front.NewRejection(405, class+" is called by "+method)
	}
	if method == "GET" && h.BodyLength != 0 {
		return request, front.NewRejection(400, "a GET has no body here")
	}
	if c.Settings.Operation[request.Operation].Repeat == settings.Repeat_FINGERPRINTED {
		if key, ok := singleValue(h.Header, "Idempotency-Key"); !ok || key == "" {
			return request, front.NewRejection(400, "one Idempotency-Key is due")
		}
	}
	request.LimitMs = c.Settings.Operation[request.Operation].LimitMs
	if text, given := h.Header["X-Expires-In-Ms"]; given {
		ms, err := strconv.ParseUint(text[0], 10, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) || len(text) > 1 { // a number out of range exceeds any limit
			return request, front.NewRejection(400, "X-Expires-In-Ms is no number of whole milliseconds")
		}
		request.LimitMs = min(request.LimitMs, float64(ms))
	}
	if hint, err := strconv.ParseFloat(h.Header.Get("X-Size-Hint"), 64); err == nil && hint > 0 && hint < 1e12 {
		request.CostMs = hint / 1000
	}
	request.RequestID, request.Tenant, request.Key = id, c.Settings.TenantIndex(h.Header.Get("X-Customer")), h.Header.Get("X-Object")
	request.IsRetry = h.Header.Get("X-Second-Try") == "1"
	for prop := range strings.SplitSeq(h.Header.Get("X-Props"), ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(prop), "="); name == "write" {
			request.IsWrite = value != "" && value != "0" && value != "false"
		}
	}
	return request, nil
}

// pathMatches reports whether a path starts with the name of a class, literal or percent-escaped. The name may contain
// slashes.
func pathMatches(path, class string) bool {
	hasClass := func(path string) bool {
		rest, ok := strings.CutPrefix(path, "/"+class)
		return ok && (rest == "" || rest[0] == '/')
	}
	if hasClass(path) {
		return true
	}
	unescaped, err := url.PathUnescape(path)
	return err == nil && hasClass(unescaped)
}

// singleValue returns the value of a header field that occurs exactly once.
func singleValue(h textproto.MIMEHeader, name string) (string, bool) {
	if v := h[name]; len(v) == 1 {
		return v[0], true
	}
	return "", false
}

// validID reports whether an id has 1 to 128 printable ASCII characters and no space.
func validID(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return id != "" && len(id) <= 128
}
