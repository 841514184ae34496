// Package tcpstate tells what the kernel knows about the far end of a TCP connection. Linux only.
package tcpstate

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// State is a TCP state as TCP_INFO gives it (include/net/tcp_states.h).
type State uint8

// The states that matter once the far end has closed.
const (
	Established State = 1
	Close       State = 7 // reset, or closed on both sides
	CloseWait   State = 8 // the far end has sent its FIN
)

// Of gives the state of a connection. The error says that nc has no descriptor, or that the kernel refused.
func Of(nc net.Conn) (State, error) {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return 0, fmt.Errorf("%T is no TCP connection", nc)
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

const pollEvery = 2 * time.Millisecond

// ResetWithin says whether the connection is reset before the time is over. A socket that is closed with bytes unread, or that bytes
// reach after its close, resets the connection; one whose process had read all of them only ends it.
func ResetWithin(nc net.Conn, within time.Duration) (bool, error) {
	for end := time.Now().Add(within); ; time.Sleep(pollEvery) {
		state, err := Of(nc)
		if err != nil {
			return false, err
		}
		if state == Close {
			return true, nil
		}
		if time.Now().After(end) {
			return false, nil
		}
	}
}
