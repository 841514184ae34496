// Package loopback reserves loopback addresses for processes that are restarted at the same address, and finds out
// whether a process listens at an address. Linux only.
package loopback

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
)

// Ports of a reserved address. They lie below the range of ephemeral ports, so that the kernel gives none of them to
// another program while the process that uses it does not listen.
const (
	RequestPort  = 7070
	DatagramPort = 7071
	guardPort    = 7072 // listens while the address is reserved, so that no other program can reserve it
)

// Reservation is a loopback address that is reserved for this program.
type Reservation struct {
	ip    netip.Addr
	guard net.Listener
}

var attempts atomic.Uint32 // to reserve an address, by this process

// Reserve reserves a loopback address that is not reserved yet, by this or another program.
func Reserve() (*Reservation, error) {
	const maxAttempts = 1000
	var err error
	for range maxAttempts {
		// 127.64.0.0 to 127.127.255.255, starting at an address that depends on the process id.
		const base, size, stride = 127<<24 | 64<<16, 1 << 22, 1031
		offset := (uint32(os.Getpid())*stride + attempts.Add(1)) % size
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], base+offset)
		ip := netip.AddrFrom4(bytes)
		var guard net.Listener
		if guard, err = net.Listen("tcp", netip.AddrPortFrom(ip, guardPort).String()); err == nil {
			return &Reservation{ip, guard}, nil
		}
	}
	return nil, fmt.Errorf("can't reserve a loopback address: %w", err)
}

// Address returns the reserved address with a port.
func (r *Reservation) Address(port uint16) string { return netip.AddrPortFrom(r.ip, port).String() }

// BlackholeAddress returns an address at which nobody receives datagrams.
func (r *Reservation) BlackholeAddress() string { return r.Address(guardPort) }

// Release ends the reservation.
func (r *Reservation) Release() { r.guard.Close() }

// IsListening reports whether the process with this id listens at a TCP address, according to the kernel's table of
// sockets.
func IsListening(pid int, address string) (bool, error) {
	inode, err := listenerInode(address)
	if err != nil || inode == "" {
		return false, err
	}
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false, err
	}
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
			return true, nil
		}
	}
	return false, nil
}

// listenerInode returns the inode of the socket that listens at an IPv4 address, or an empty string if none does. The
// format of the table is described in proc(5).
func listenerInode(address string) (inode string, err error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	defer f.Close()
	const localColumn, stateColumn, inodeColumn, stateListen = 1, 3, 9, "0A"
	ip := addrPort.Addr().As4()
	reversed := []byte{ip[3], ip[2], ip[1], ip[0]} // /proc/net/tcp has the byte order of the machine
	want := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(reversed)), addrPort.Port())
	for lines := bufio.NewScanner(f); ; {
		if !lines.Scan() {
			return "", lines.Err()
		}
		columns := strings.Fields(lines.Text())
		if len(columns) > inodeColumn && columns[localColumn] == want && columns[stateColumn] == stateListen {
			return columns[inodeColumn], nil
		}
	}
}
