package loopback

import (
	"net"
	"os"
	"testing"
)

func TestReservedAddress(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		own, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer own.Release()
		address := own.Address(RequestPort)
		if seen[address] {
			t.Fatalf("%s was reserved twice", address)
		}
		seen[address] = true
		if is, err := IsListening(os.Getpid(), address); err != nil || is {
			t.Errorf("nobody listens at %s: %v, %v", address, is, err)
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		for pid, want := range map[int]bool{os.Getpid(): true, os.Getppid(): false} {
			if is, err := IsListening(pid, address); err != nil || is != want {
				t.Errorf("process %d listens at %s: %v, %v", pid, address, is, err)
			}
		}
		ln.Close()
	}
}
