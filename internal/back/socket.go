package back

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"arrowcleat/internal/tcpstate"
)

// peek looks for a received byte on a socket, without blocking and without consuming it.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// wouldBlock reports whether a read would block: nothing has been received on the socket, not even the end of the
// stream.
func wouldBlock(fd uintptr) bool {
	_, err := peek(fd)
	return err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}

// onSocket calls f with a connection's descriptor, if it has one.
func onSocket(nc net.Conn, f func(fd uintptr)) {
	// Control fails only on a closed connection, for which f has nothing to find out.
	if t, ok := nc.(*net.TCPConn); ok { // the concrete type avoids an allocation
		if raw, err := t.SyscallConn(); err == nil {
			raw.Control(f)
		}
	} else if s, ok := nc.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			raw.Control(f)
		}
	}
}

// HasUnread reports whether there is something to read on a connection: bytes, the end of the stream or an error.
func HasUnread(nc net.Conn) (unread bool) {
	onSocket(nc, func(fd uintptr) { unread = !wouldBlock(fd) })
	return unread
}

// ReceiveBufferBytes bounds what the kernel holds of a client that sends faster than it is read: a whole request, and about
// as much again for the kernel's own records.
const ReceiveBufferBytes = 128 << 10

// maxSentAhead is how much a peer may have sent that is not read yet. It is so far below ReceiveBufferBytes that the end of
// the stream, if the peer has sent it, is not held up behind data for which the buffer has no room.
const maxSentAhead = ReceiveBufferBytes / 2

// PeerState says whether the peer of a connection is still there.
type PeerState int

const (
	// PeerOpen is the state of a peer that has not closed the connection.
	PeerOpen PeerState = iota
	// PeerClosed is the state of a peer that has closed the connection or its sending side, or reset it.
	PeerClosed
	// PeerAhead is the state of a peer that has so much unread that its close might not be seen.
	PeerAhead
)

// StateOfPeer returns the state of a connection's peer, also where what the peer sent before its close has not been read.
func StateOfPeer(nc net.Conn) PeerState {
	n, err, looked := 0, error(nil), false
	onSocket(nc, func(fd uintptr) {
		n, err = peek(fd)
		looked = true
	})
	switch {
	case n > 0:
		return stateBehindUnread(nc)
	case looked && (err == nil || IsDisconnect(err)):
		return PeerClosed
	default:
		return PeerOpen
	}
}

// stateBehindUnread does the same as StateOfPeer for a connection with unread data.
func stateBehindUnread(nc net.Conn) PeerState {
	if state, err := tcpstate.Of(nc); err == nil && state.PeerClosed() {
		return PeerClosed
	}
	if unread, err := tcpstate.UnreadBytes(nc); err == nil && unread > maxSentAhead {
		return PeerAhead
	}
	return PeerOpen
}

// IsTimeout reports whether an error means that a deadline passed, of a connection or a context. The kernel's ETIMEDOUT
// is no deadline: the connection is broken, though net.Error calls that a timeout too.
func IsTimeout(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return false
	}
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) ||
		errors.As(err, &netErr) && netErr.Timeout()
}

// disconnectErrors are the errors that mean that a connection can't be used any more (tcp(7), ip(7)).
var disconnectErrors = []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE,
	syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED, syscall.ENOTCONN}

// IsDisconnect reports whether an error means that the connection is closed or broken.
func IsDisconnect(err error) bool { return isAny(err, disconnectErrors) }

// shortageErrors are the errors of the kernel for a temporary shortage on this machine (socket(2), connect(2),
// accept(2)).
var shortageErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN}

// IsResourceShortage reports whether a socket could not be opened for a reason on this machine that may pass soon, such
// as a shortage of descriptors or ports. It says nothing about the other side.
func IsResourceShortage(err error) bool { return isAny(err, shortageErrors) }

// isAny reports whether err is or wraps one of the targets.
func isAny(err error, targets []error) bool {
	for _, e := range targets {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
