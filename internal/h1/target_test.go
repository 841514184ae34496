package h1

import (
	"errors"
	"net/textproto"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// resolve returns the target and the host of a request after ResolveTarget.
func resolve(method, target string) (resolved, host string, err error) {
	h := &Head{Method: method, Target: target, Header: textproto.MIMEHeader{"Host": {"sent"}}}
	err = h.ResolveTarget()
	return h.Target, h.Header["Host"][0], err
}

// Guards against a path or query that holds a URL being taken for absolute-form, and altered.
func TestResolveTarget(t *testing.T) {
	for _, c := range []struct{ method, target, want, host string }{
		{"GET", "/a/https://h/b", "/a/https://h/b", "sent"},
		{"GET", "/://h/b", "/://h/b", "sent"},
		{"GET", "//h/b", "//h/b", "sent"},
		{"GET", "/a?u=http://h/b", "/a?u=http://h/b", "sent"},
		{"GET", "/a;x=http:%2F%2Fh", "/a;x=http:%2F%2Fh", "sent"},
		{"GET", "http://h/a", "/a", "h"},
		{"GET", "HTTPS://h:443/a//b?c", "/a//b?c", "h:443"},
		{"GET", "http://h/a/http://i/b?u=http://j/", "/a/http://i/b?u=http://j/", "h"},
		{"GET", "http://h", "/", "h"},
		{"GET", "http://h?u=http://i/a", "/?u=http://i/a", "h"},
		{"GET", "http://[::1]:80/a", "/a", "[::1]:80"},
		{"OPTIONS", "*", "*", "sent"},
		{"OPTIONS", "http://h", "*", "h"},
		{"OPTIONS", "http://h?a", "/?a", "h"},
		{"CONNECT", "h:443", "h:443", "sent"},
	} {
		if got, host, err := resolve(c.method, c.target); got != c.want || host != c.host || err != nil {
			t.Errorf("%s %s: target %q, host %q, error %v; want %q, %q", c.method, c.target, got, host, err, c.want, c.host)
		}
	}
	for _, target := range []string{"*", "a", "a/http://h/b", "?a", "://h/a", "ftp://h/a", "http:/a", "http:///a", "http://:80/a",
		"http://u@h/a", "http://h#f", `http://h"i/a`} {
		if got, _, err := resolve("GET", target); !errors.Is(err, ErrMalformed) {
			t.Errorf("GET %s: target %q, error %v; want an ErrMalformed", target, got, err)
		}
	}
}

// Any origin-form of the grammar (RFC 9112, 3.2.1; RFC 3986, 3.3 and 3.4) stays as it is, also as the path of an
// absolute-form.
func TestResolveTargetKeepsOriginForm(t *testing.T) {
	piece := rapid.SampledFrom([]string{"a", "Z", "0", "-", ".", "..", "_", "~", "!", "$", "&", "'", "(", ")", "*", "+", ",", ";", "=",
		":", "@", "%2F", "%3a", "http:", "://"})
	rapid.Check(t, func(t *rapid.T) {
		var origin strings.Builder
		for range rapid.IntRange(1, 4).Draw(t, "segments") {
			origin.WriteString("/" + strings.Join(rapid.SliceOfN(piece, 0, 4).Draw(t, "segment"), ""))
		}
		if rapid.Bool().Draw(t, "has a query") {
			query := rapid.SliceOfN(rapid.OneOf(piece, rapid.SampledFrom([]string{"/", "?"})), 0, 5).Draw(t, "query")
			origin.WriteString("?" + strings.Join(query, ""))
		}
		want := origin.String()
		if got, host, err := resolve("GET", want); got != want || host != "sent" || err != nil {
			t.Fatalf("%q: target %q, host %q, error %v", want, got, host, err)
		}
		if got, host, err := resolve("GET", "http://h"+want); got != want || host != "h" || err != nil {
			t.Fatalf("%q in absolute-form: target %q, host %q, error %v", want, got, host, err)
		}
	})
}
