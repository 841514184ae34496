package platform

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"arrowcleat/balance"
)

// PeerTransport sends and receives datagrams between marshals. Who one is from, its sender's address says.
type PeerTransport struct {
	conn *net.UDPConn
	to   []netip.AddrPort // by the marshals' numbers
	all  netip.AddrPort
	from map[netip.AddrPort]int
	told func(from int, text string)
	log  *slog.Logger
}

// peersOf opens the socket between marshals.
func (c *Config) peersOf(log *slog.Logger, told func(from int, text string)) (*PeerTransport, error) {
	p := &PeerTransport{from: map[netip.AddrPort]int{}, told: told, log: log}
	read := func(name, text string) (netip.AddrPort, error) {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return a, fmt.Errorf("%s: %w", name, err)
		}
		return a, nil
	}
	listen, err := read("peer_listen", c.listen)
	if err != nil {
		return nil, err
	}
	if p.all, err = read("peers_all", c.all); err != nil {
		return nil, err
	}
	for i, text := range c.peers {
		a, err := read("peers", text)
		if err != nil {
			return nil, err
		}
		p.to = append(p.to, a)
		p.from[a] = i
	}
	if p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return p, nil
}

// receiveAgain is the wait after a receive that failed: one that goes on failing must not take the processor.
const receiveAgain = time.Millisecond

// Run receives until the socket is closed; what is from no peer is dropped.
func (p *PeerTransport) Run() {
	b := make([]byte, mostDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receiveAgain)
			continue
		}
		number, known := p.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && n <= mostDatagram {
			p.told(number, string(b[:n]))
		}
	}
}

// Tell sends to one marshal, or to all; what is too long is not sent.
func (p *PeerTransport) Tell(to int, text string) {
	address := p.all
	if to != balance.Everyone {
		if to < 0 || to >= len(p.to) {
			return
		}
		address = p.to[to]
	}
	if len(text) > mostDatagram {
		p.log.Warn("a message between marshals is too long and not sent", "bytes", len(text))
		return
	}
	p.conn.WriteToUDPAddrPort([]byte(text), address) // it may be lost anyway
}

// Close closes the socket.
func (p *PeerTransport) Close() error { return p.conn.Close() }
