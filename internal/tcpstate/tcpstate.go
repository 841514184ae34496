// Package tcpstate reads the state of a TCP connection from the kernel, which shows what the peer did, and when. Linux only.
package tcpstate

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is a TCP state as in TCP_INFO (include/net/tcp_states.h).
type State uint8

// The states that matter once the peer has closed the connection.
const (
	Established State = 1
	TimeWait    State = 6
	Close       State = 7 // reset, or closed on both sides
	CloseWait   State = 8 // the peer has sent its FIN
	LastAck     State = 9
	Closing     State = 11
)

// PeerClosed reports whether the peer has closed the connection or its sending side, or whether it was reset.
func (s State) PeerClosed() bool {
	switch s {
	case TimeWait, Close, CloseWait, LastAck, Closing:
		return true
	}
	return false
}

// Of returns the state of a connection. It fails if nc is not a TCP connection or is closed, or if the kernel refuses.
func Of(nc net.Conn) (State, error) {
	socket, err := NewSocket(nc)
	if err != nil {
		return 0, err
	}
	info, err := socket.readInfo()
	if err != nil {
		return 0, err
	}
	return State(info.State), nil
}

// UnreadBytes returns how many bytes of the peer are in this machine's socket and have not been read.
func UnreadBytes(nc net.Conn) (int, error) {
	socket, err := NewSocket(nc)
	if err != nil {
		return 0, err
	}
	unread, ioctlErr := 0, error(nil)
	if err := socket.raw.Control(func(fd uintptr) { unread, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return 0, err
	}
	if ioctlErr != nil {
		return 0, fmt.Errorf("SIOCINQ: %w", ioctlErr)
	}
	return unread, nil
}

// Socket reads the state of one connection, again and again. It is not safe for concurrent use.
type Socket struct {
	raw  syscall.RawConn
	read func(fd uintptr) // sets info and err
	info *unix.TCPInfo
	err  error
}

// NewSocket returns the Socket of a connection. It fails if nc has no socket or is closed.
func NewSocket(nc net.Conn) (*Socket, error) {
	t, ok := nc.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no socket", nc)
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &Socket{raw: raw}
	s.read = func(fd uintptr) { s.info, s.err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }
	return s, nil
}

// readInfo reads TCP_INFO.
func (s *Socket) readInfo() (*unix.TCPInfo, error) {
	if err := s.raw.Control(s.read); err != nil {
		return nil, err
	}
	if s.err != nil {
		return nil, fmt.Errorf("TCP_INFO: %w", s.err)
	}
	return s.info, nil
}

// tickDuration is the longest tick of the kernel's clock (CONFIG_HZ=100), by which TCP_INFO may overstate a time.
const tickDuration = 10 * time.Millisecond

// SinceLastData returns for how long at least the last data of the peer has been in this machine's socket, read or unread,
// also while the connection was in the accept queue. It does not depend on the wall clock. It fails if the connection is
// closed, or if the kernel refuses.
func (s *Socket) SinceLastData() (time.Duration, error) {
	info, err := s.readInfo()
	if err != nil {
		return 0, err
	}
	return max(0, time.Duration(info.Last_data_recv)*time.Millisecond-tickDuration), nil
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
