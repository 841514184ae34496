// Package tcpstate reads the state of a TCP connection from the kernel, which shows what the peer did. Linux only.
package tcpstate

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// State is a TCP state as in TCP_INFO (include/net/tcp_states.h).
type State uint8

// The states that matter once the peer has closed the connection.
const (
	Established State = 1
	Close       State = 7 // reset, or closed on both sides
	CloseWait   State = 8 // the peer has sent its FIN
)

// Of returns the state of a connection. It fails if nc is not a TCP connection or is closed, or if the kernel refuses.
func Of(nc net.Conn) (State, error) {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return 0, fmt.Errorf("%T is not a TCP connection", nc)
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return 0, err
	}
	if infoErr != nil {
		return 0, fmt.Errorf("TCP_INFO: %w", infoErr)
	}
	return State(info.State), nil
}

// pollInterval is the time between two reads of the state.
const pollInterval = 2 * time.Millisecond

// ResetWithin reports whether the peer resets the connection within the timeout. A socket resets the connection if it
// is closed with unread bytes, or if bytes arrive after its close. If its process had read all of them, the close only
// ends the connection.
func ResetWithin(nc net.Conn, timeout time.Duration) (bool, error) {
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		state, err := Of(nc)
		if err != nil {
			return false, err
		}
		if state == Close {
			return true, nil
		}
		if time.Now().After(deadline) {
			return false, nil
		}
	}
}
