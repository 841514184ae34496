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

// PeerTransport sends and receives messages between marshals over UDP. The source address of a datagram identifies its
// sender.
type PeerTransport struct {
	conn      *net.UDPConn
	addresses []netip.AddrPort // by the numbers of the marshals
	allPeers  netip.AddrPort
	numbers   map[netip.AddrPort]int
	onMessage func(from int, text string)
	log       *slog.Logger
}

// openPeers opens the socket for messages between marshals.
func (c *Config) openPeers(log *slog.Logger, onMessage func(from int, text string)) (*PeerTransport, error) {
	p := &PeerTransport{numbers: map[netip.AddrPort]int{}, onMessage: onMessage, log: log}
	parse := func(name, text string) (netip.AddrPort, error) {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return a, fmt.Errorf("%s: %w", name, err)
		}
		return a, nil
	}
	listen, err := parse("peer_listen", c.peerListen)
	if err != nil {
		return nil, err
	}
	if p.allPeers, err = parse("peers_all", c.allPeersAddress); err != nil {
		return nil, err
	}
	for i, text := range c.peerAddresses {
		a, err := parse("peers", text)
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

// receiveRetryDelay is the wait after a failed receive, so that a persistent error doesn't occupy the processor.
const receiveRetryDelay = time.Millisecond

// Run receives messages until the socket is closed. Messages from unknown addresses and oversized ones are dropped.
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

// SendToPeer sends a message to one marshal, or to all with balance.AllPeers. A message that is too long is not sent.
func (p *PeerTransport) SendToPeer(to int, text string) {
	address := p.allPeers
	if to != balance.AllPeers {
		if to < 0 || to >= len(p.addresses) {
			return
		}
		address = p.addresses[to]
	}
	if len(text) > maxDatagramBytes {
		p.log.Warn("peer message too long; not sent", "bytes", len(text))
		return
	}
	p.conn.WriteToUDPAddrPort([]byte(text), address) // errors are ignored: messages may be lost anyway
}

// Close closes the socket.
func (p *PeerTransport) Close() error { return p.conn.Close() }
