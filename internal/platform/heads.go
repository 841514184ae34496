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

// reportNames are the names of what nodes report, as the module knows them.
var reportNames = map[string]string{"inflight": "held", "queue": "waiting", "util": "busy", "latency_ms": "service-ms",
	"qps": "rate", "eps": "errors"}

// readRequest reads what a request's head asks for. What nodes would turn away, and what could be read in two ways, is an
// error: nothing was taken.
func (c *Config) readRequest(h *h1.Head) (a front.Asked, err error) {
	id, ok := singleValue(h.Header, "X-Trace-Id")
	if !ok || !validID(id) {
		return a, front.Refused(400, "one X-Trace-Id is due")
	}
	class, ok := singleValue(h.Header, "X-Qos")
	a.Op = slices.IndexFunc(c.Settings.Operation, func(o *settings.Operation) bool { return o.Name == class })
	if !ok || a.Op < 0 {
		return a, front.Refused(404, "no operation of this name in X-Qos")
	}
	path, _, _ := strings.Cut(h.Target, "?")
	if !pathMatches(path, class) {
		return a, front.Refused(404, "path and X-Qos name different operations")
	}
	method := "GET"
	if c.Settings.Operation[a.Op].Repeat != settings.Repeat_IDEMPOTENT {
		method = "POST"
	}
	if h.Method != method {
		return a, front.Refused(405, class+" is called by "+method)
	}
	if method == "GET" && h.Length != 0 {
		return a, front.Refused(400, "a GET has no body here")
	}
	if c.Settings.Operation[a.Op].Repeat == settings.Repeat_FINGERPRINTED {
		if mark, ok := singleValue(h.Header, "Idempotency-Key"); !ok || mark == "" {
			return a, front.Refused(400, "one Idempotency-Key is due")
		}
	}
	a.Limit = c.Settings.Operation[a.Op].LimitMs
	if text, given := h.Header["X-Expires-In-Ms"]; given {
		ms, err := strconv.ParseUint(text[0], 10, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) || len(text) > 1 { // more than can be counted is longer than any limit
			return a, front.Refused(400, "X-Expires-In-Ms is no number of whole milliseconds")
		}
		a.Limit = min(a.Limit, float64(ms))
	}
	if hint, err := strconv.ParseFloat(h.Header.Get("X-Size-Hint"), 64); err == nil && hint > 0 && hint < 1e12 {
		a.Cost = hint / 1000
	}
	a.ID, a.Tenant, a.Key = id, c.Settings.TenantIndex(h.Header.Get("X-Customer")), h.Header.Get("X-Object")
	a.Retry = h.Header.Get("X-Second-Try") == "1"
	for prop := range strings.SplitSeq(h.Header.Get("X-Props"), ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(prop), "="); name == "write" {
			a.Write = value != "" && value != "0" && value != "false"
		}
	}
	return a, nil
}

// pathMatches says that a path's first part is a class, written as it is or escaped; its name may hold what ends a part.
func pathMatches(path, class string) bool {
	is := func(path string) bool {
		rest, ok := strings.CutPrefix(path, "/"+class)
		return ok && (rest == "" || rest[0] == '/')
	}
	if is(path) {
		return true
	}
	plain, err := url.PathUnescape(path)
	return err == nil && is(plain)
}

// singleValue is the value of a header that stands there once.
func singleValue(h textproto.MIMEHeader, name string) (string, bool) {
	if v := h[name]; len(v) == 1 {
		return v[0], true
	}
	return "", false
}

// validID says that an id could be one of a client's.
func validID(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return id != "" && len(id) <= 128
}
