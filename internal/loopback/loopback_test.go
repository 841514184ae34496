package loopback

import (
	"net"
	"os"
	"testing"
)

// TestReservedAddress checks that reserved addresses differ, and that IsListening knows which process listens.
func TestReservedAddress(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		r, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer r.Release()
		address := r.Address(RequestPort)
		if seen[address] {
			t.Fatalf("%s was reserved twice", address)
		}
		seen[address] = true
		if listens, err := IsListening(os.Getpid(), address); err != nil || listens {
			t.Errorf("before listening at %s: IsListening %v, want false; error %v", address, listens, err)
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		for pid, want := range map[int]bool{os.Getpid(): true, os.Getppid(): false} {
			if listens, err := IsListening(pid, address); err != nil || listens != want {
				t.Errorf("process %d at %s: IsListening %v, want %v; error %v", pid, address, listens, want, err)
			}
		}
		ln.Close()
	}
}
