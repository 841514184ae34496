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
	conn      *net.UDPConn
	addresses []netip.AddrPort // by the marshals' numbers
	allPeers  netip.AddrPort
	numbers   map[netip.AddrPort]int
	onMessage func(from int, text string)
	log       *slog.Logger
}

// openPeers opens the socket between marshals.
func (c *Config) openPeers(log *slog.Logger, told func(from int, text string)) (*PeerTransport, error) {
	p := &PeerTransport{numbers: map[netip.AddrPort]int{}, onMessage: told, log: log}
	read := func(name, text string) (netip.AddrPort, error) {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return a, fmt.Errorf("%s: %w", name, err)
		}
		return a, nil
	}
	listen, err := read("peer_listen", c.peerListen)
	if err != nil {
		return nil, err
	}
	if p.allPeers, err = read("peers_all", c.allPeersAddress); err != nil {
		return nil, err
	}
	for i, text := range c.peerAddresses {
		a, err := read("peers", text)
		if err != nil {
			return nil, err
		}
		p.addresses = append(p.addresses, a)
		p.numbers[a] = i
	}
	if p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return p, nil
}

// receiveRetryDelay is the wait after a receive that failed: one that goes on failing must not take the processor.
const receiveRetryDelay = time.Millisecond

// Run receives until the socket is closed; what is from no peer is dropped.
func (p *PeerTransport) Run() {
	b := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receiveRetryDelay)
			continue
		}
		number, known := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if known && n <= maxDatagramBytes {
			p.onMessage(number, string(b[:n]))
		}
	}
}

// Tell sends to one marshal, or to all; what is too long is not sent.
func (p *PeerTransport) Tell(to int, text string) {
	address := p.allPeers
	if to != balance.Everyone {
		if to < 0 || to >= len(p.addresses) {
			return
		}
		address = p.addresses[to]
	}
	if len(text) > maxDatagramBytes {
		p.log.Warn("a message between marshals is too long and not sent", "bytes", len(text))
		return
	}
	p.conn.WriteToUDPAddrPort([]byte(text), address) // it may be lost anyway
}

// Close closes the socket.
func (p *PeerTransport) Close() error { return p.conn.Close() }
