package serve

import (
	"net/http"
	"testing"
)

// Guards against a request whose path holds a URL reaching its node with another path and another Host.
func TestTargetReachesNodeUnchanged(t *testing.T) {
	echoTarget := echo(func(req *http.Request) string { return req.Host + " " + req.RequestURI })
	r := startRig(t, 1, echoTarget, nil, testHooks{})
	cl := r.client()
	for _, c := range []struct{ target, want string }{
		{"/look/https://registry.example/look/77", "x /look/https://registry.example/look/77"},
		{"/look://registry.example/look", "x /look://registry.example/look"},
		{"/look?at=http://registry.example/look", "x /look?at=http://registry.example/look"},
		{"/look//a;b=c/%2F:@!$&'()*+,=~", "x /look//a;b=c/%2F:@!$&'()*+,=~"},
		{"http://y:80/look/https://registry.example/look?a", "y:80 /look/https://registry.example/look?a"},
		{"HTTP://y/look?at=http://z/", "y /look?at=http://z/"},
	} {
		cl.send("GET %s HTTP/1.1\nHost: x\n\n", c.target)
		cl.expect("200 succeeded " + c.want)
	}
	before := r.received()
	for _, target := range []string{"look", "look/http://x/look", "http:///look", "http://user@x/look", "ftp://x/look", "*"} {
		cl := r.client()
		cl.send("GET %s HTTP/1.1\nHost: x\n\n", target)
		cl.expect("400 not-taken")
	}
	if received := r.received(); received != before {
		t.Errorf("%d requests without a valid target reached a node", received-before)
	}
}
