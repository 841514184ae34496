package h1

import "strings"

// ResolveTarget checks that the request target has a form that its method allows (RFC 9112, 3.2). A target in
// absolute-form is replaced by its path and query, and the Host header by its authority. A target in any other form stays
// as it is, whatever its path and query contain. A target that has no valid form gives an ErrMalformed.
func (h *Head) ResolveTarget() error {
	switch {
	case h.Method == "CONNECT": // authority-form
		return nil
	case strings.HasPrefix(h.Target, "/"): // origin-form
		return nil
	case h.Target == "*" && h.Method == "OPTIONS": // asterisk-form
		return nil
	}
	return h.resolveAbsoluteForm()
}

// resolveAbsoluteForm replaces a target in absolute-form, which has to be an http or https URI.
func (h *Head) resolveAbsoluteForm() error {
	scheme, rest, ok := strings.Cut(h.Target, "://")
	if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return malformedErr("request target %.60q", h.Target)
	}
	authority := rest
	if end := strings.IndexAny(rest, "/?"); end >= 0 {
		authority = rest[:end]
	}
	if !isAuthority(authority) {
		return malformedErr("host of the request target %.60q", h.Target)
	}
	h.Header["Host"] = []string{authority}
	h.Target = rest[len(authority):]
	switch {
	case h.Target == "" && h.Method == "OPTIONS": // stands for the server as a whole (RFC 9112, 3.2.4)
		h.Target = "*"
	case !strings.HasPrefix(h.Target, "/"): // an empty path
		h.Target = "/" + h.Target
	}
	return nil
}

// authorityPunctuation are the characters of a host and port other than letters and digits (RFC 3986, 3.2.2). "@" is
// missing: user information is an error in a request target (RFC 9110, 4.2.4).
const authorityPunctuation = "-._~!$&'()*+,;=%:[]"

// isAuthority reports whether s is a host that is not empty, with or without a port.
func isAuthority(s string) bool {
	if s == "" || s[0] == ':' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letterOrDigit := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letterOrDigit && strings.IndexByte(authorityPunctuation, c) < 0 {
			return false
		}
	}
	return true
}
