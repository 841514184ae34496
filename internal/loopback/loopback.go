// Package loopback reserves loopback addresses for processes that are started, ended and started again at the same one, and tells who listens
// at an address. Linux only.
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

// Ports of a reserved address. They lie below the range from which the kernel gives ports to those that ask for any: nobody else can be
// given one of them while its process does not listen.
const (
	RequestPort  = 7070
	DatagramPort = 7071
	guardPort    = 7072 // held for as long as the address is reserved, against other programs that reserve
)

// Reservation is a loopback address that this program alone uses.
type Reservation struct {
	ip    netip.Addr
	guard net.Listener
}

var reserved atomic.Uint32

// Reserve takes a loopback address that nobody has reserved.
func Reserve() (*Reservation, error) {
	const tries = 1000
	var err error
	for range tries {
		// 127.64.0.0 to 127.127.255.255, from a place that differs from one process to the next.
		const base, size, stride = 127<<24 | 64<<16, 1 << 22, 1031
		number := (uint32(os.Getpid())*stride + reserved.Add(1)) % size
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], base+number)
		ip := netip.AddrFrom4(bytes)
		var guard net.Listener
		if guard, err = net.Listen("tcp", netip.AddrPortFrom(ip, guardPort).String()); err == nil {
			return &Reservation{ip, guard}, nil
		}
	}
	return nil, fmt.Errorf("no loopback address is free: %w", err)
}

// Address is the address with a port.
func (a *Reservation) Address(port uint16) string { return netip.AddrPortFrom(a.ip, port).String() }

// BlackholeAddress is an address to which datagrams go and nobody receives them.
func (a *Reservation) BlackholeAddress() string { return a.Address(guardPort) }

// Release gives the address back.
func (a *Reservation) Release() { a.guard.Close() }

// IsListening says whether it is the process with this id that listens at a TCP address, by the kernel's table of sockets.
func IsListening(pid int, address string) (bool, error) {
	inode, err := listener(address)
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

// listener is the inode of the socket that listens at an IPv4 address, empty where none does. The table is that of proc(5).
func listener(address string) (inode string, err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	defer f.Close()
	const localColumn, stateColumn, inodeColumn, stateListen = 1, 3, 9, "0A"
	ip := at.Addr().As4()
	reversed := []byte{ip[3], ip[2], ip[1], ip[0]} // in the byte order of the machine
	want := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(reversed)), at.Port())
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
