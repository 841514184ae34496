package back

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// peek looks for a byte on a socket, without waiting and without taking it.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// waits says that nothing has come on a socket, not even its end.
func waits(fd uintptr) bool {
	_, err := peek(fd)
	return err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
}

// onSocket does something with a connection's descriptor, if it has one.
func onSocket(nc net.Conn, f func(fd uintptr)) {
	// Control fails on a closed connection, which has nothing more to tell.
	if t, ok := nc.(*net.TCPConn); ok { // by its type, it needs no allocation
		if raw, err := t.SyscallConn(); err == nil {
			raw.Control(f)
		}
	} else if s, ok := nc.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			raw.Control(f)
		}
	}
}

// HasUnread says that something has come on a connection that nobody has read yet.
func HasUnread(nc net.Conn) (unread bool) {
	onSocket(nc, func(fd uintptr) { unread = !waits(fd) })
	return unread
}

// AtEOF says that the other side has ended its sending, and that all it sent has been read.
func AtEOF(nc net.Conn) (ended bool) {
	onSocket(nc, func(fd uintptr) {
		n, err := peek(fd)
		ended = n == 0 && err == nil
	})
	return ended
}

// IsTimeout says that a deadline passed, a connection's or a context's. The kernel's ETIMEDOUT is no deadline: it says that the connection is
// broken, though net.Error calls it a time-out too.
func IsTimeout(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return false
	}
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}

// broken are the errors by which the kernel says that a connection is of no more use (tcp(7), ip(7)).
var broken = []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED, syscall.ENOTCONN}

// IsDisconnect says that the other side closed or broke the connection.
func IsDisconnect(err error) bool { return isAny(err, broken) }

// scarce are the errors by which the kernel says that this machine lacks something for a moment (socket(2), connect(2), accept(2)).
var scarce = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
	syscall.ENETUNREACH, syscall.ENETDOWN}

// IsResourceShortage says that a socket could not be had for a reason of this machine's own, which may be over in a moment: it says nothing about the
// other side.
func IsResourceShortage(err error) bool { return isAny(err, scarce) }

func isAny(err error, of []error) bool {
	for _, e := range of {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
