package serve

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"arrowcleat/internal/back"
	"arrowcleat/internal/control"
	"arrowcleat/internal/front"
	"arrowcleat/internal/record"
	"arrowcleat/internal/settings"
)

// How long a start goes on trying where the machine lacks what a socket takes, and how long it waits in between.
const (
	scarceFor   = 5 * time.Second
	scarceEvery = 10 * time.Millisecond
)

// whileScarce opens something, and tries again while the machine lacks what it takes for a moment.
func whileScarce(open func() error) error {
	for end := time.Now().Add(scarceFor); ; time.Sleep(scarceEvery) {
		if err := open(); err == nil || !back.Scarce(err) || time.Now().After(end) {
			return err
		}
	}
}

// open opens the sockets and files; what was opened is closed if one can't be.
func (m *Marshal) open(listenOn func(network, address string) (net.Listener, error)) (err error) {
	listen := func(address string) (ln net.Listener, err error) {
		err = whileScarce(func() error {
			ln, err = listenOn("tcp", address)
			return err
		})
		return ln, err
	}
	defer func() {
		if err != nil {
			m.closeSockets()
		}
	}()
	for _, l := range append([]*settings.Listener{{Name: settings.MainListener, Address: m.Set.Listen.Invocations}}, m.Set.Listener...) {
		ln, err := listen(l.Address)
		if err != nil {
			return fmt.Errorf("listener %s: %w", l.Name, err)
		}
		m.lns = append(m.lns, front.Listener{Listener: ln, Name: l.Name})
	}
	if m.Set.Listen.Peers != "" {
		address, err := net.ResolveUDPAddr("udp", m.Set.Listen.Peers)
		if err != nil {
			return fmt.Errorf("listen.peers: %w", err)
		}
		var conn *net.UDPConn
		if err := whileScarce(func() error { conn, err = net.ListenUDP("udp", address); return err }); err != nil {
			return fmt.Errorf("listen.peers: %w", err)
		}
		peers := &control.PeerTransport{Number: int(m.Set.Instance.Number), Conn: conn, Addresses: map[int]*net.UDPAddr{}, OnPeerMessage: m.told,
			OnError: func(err error) { m.Log.Warn("between marshals", "err", err) }}
		m.peers = peers
		for _, p := range m.Set.Peer {
			if peers.Addresses[int(p.Number)], err = net.ResolveUDPAddr("udp", p.Address); err != nil {
				return fmt.Errorf("peer %d: %w", p.Number, err)
			}
		}
	}
	if m.Set.Listen.Metrics != "" {
		if m.meter, err = listen(m.Set.Listen.Metrics); err != nil {
			return fmt.Errorf("listen.metrics: %w", err)
		}
	}
	for _, l := range m.all() {
		r := l.set.Record
		if r.File == "" {
			continue
		}
		if err = os.MkdirAll(filepath.Dir(r.File), 0o755); err != nil {
			return fmt.Errorf("record.file: %w", err)
		}
		if l.rec, err = record.Create(l.recordFile(), int64(r.MostBytes)); err != nil {
			return fmt.Errorf("record.file: %w", err)
		}
	}
	return nil
}

// all are the lanes of all groups.
func (m *Marshal) all() (lanes []*lane) {
	for _, g := range m.groups {
		lanes = append(lanes, g.lanes...)
	}
	return lanes
}

// recordFile is where an instance is recorded: each in a file of its own.
func (l *lane) recordFile() string {
	file := l.set.Record.File
	if len(l.lanes) > 1 {
		ext := filepath.Ext(file)
		file = fmt.Sprintf("%s.core%d%s", strings.TrimSuffix(file, ext), l.instance, ext)
	}
	return file
}

func (m *Marshal) closeSockets() {
	for _, ln := range m.lns {
		ln.Close()
	}
	if m.peers != nil {
		m.peers.Close()
	}
	if m.meter != nil {
		m.meter.Close()
	}
	for _, l := range m.all() {
		if l.rec != nil {
			l.rec.Close()
		}
	}
}
