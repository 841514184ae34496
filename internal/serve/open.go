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

// While the machine lacks resources for a socket, a start retries for shortageTimeout, at intervals of
// shortageRetryInterval.
const (
	shortageTimeout       = 5 * time.Second
	shortageRetryInterval = 10 * time.Millisecond
)

// retryOnShortage returns what open opens, and repeats it while it fails for a temporary shortage of resources.
func retryOnShortage[T any](open func() (T, error)) (T, error) {
	for deadline := time.Now().Add(shortageTimeout); ; time.Sleep(shortageRetryInterval) {
		opened, err := open()
		if err == nil || !back.IsResourceShortage(err) || time.Now().After(deadline) {
			return opened, err
		}
	}
}

// open opens the files of the marshal and all sockets except those that clients connect to. If one fails, those already
// opened are closed.
func (m *Marshal) open(hooks Hooks) (err error) {
	defer func() {
		if err != nil {
			m.closeSockets()
		}
	}()
	if err := m.openPeers(); err != nil {
		return err
	}
	if m.Settings.Listen.Metrics != "" {
		if m.metricsListener, err = listen(hooks.Listen, m.Settings.Listen.Metrics); err != nil {
			return fmt.Errorf("listen.metrics: %w", err)
		}
	}
	if err := m.openRecordings(); err != nil {
		return err
	}
	if t := hooks.Transport; t != nil && t.NewPeers != nil {
		peers, err := retryOnShortage(func() (Peers, error) { return t.NewPeers(m.peerMessage) })
		if err != nil {
			return err
		}
		m.peers = peers
	}
	return nil
}

// listenForClients opens the listeners of clients. The kernel accepts connections for the marshal from then on.
func (m *Marshal) listenForClients(listenOn listenFunc) error {
	main := &settings.Listener{Name: settings.MainListener, Address: m.Settings.Listen.Invocations}
	for _, l := range append([]*settings.Listener{main}, m.Settings.Listener...) {
		ln, err := listen(listenOn, l.Address)
		if err != nil {
			m.closeSockets()
			return fmt.Errorf("listener %s: %w", l.Name, err)
		}
		m.listeners = append(m.listeners, front.Listener{Listener: ln, Name: l.Name})
	}
	return nil
}

// listenFunc opens a listener.
type listenFunc func(network, address string) (net.Listener, error)

// listen opens a TCP listener.
func listen(listenOn listenFunc, address string) (net.Listener, error) {
	return retryOnShortage(func() (net.Listener, error) { return listenOn("tcp", address) })
}

// openPeers opens the UDP socket for messages between marshals, if the settings have one.
func (m *Marshal) openPeers() error {
	if m.Settings.Listen.Peers == "" {
		return nil
	}
	address, err := net.ResolveUDPAddr("udp", m.Settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	conn, err := retryOnShortage(func() (*net.UDPConn, error) { return net.ListenUDP("udp", address) })
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	peers := &control.PeerTransport{Number: int(m.Settings.Instance.Number), Conn: conn,
		Addresses: map[int]*net.UDPAddr{}, OnPeerMessage: m.peerMessage,
		OnError: func(err error) { m.Log.Warn("message from peer rejected", "err", err) }}
	m.peers = peers
	for _, p := range m.Settings.Peer {
		if peers.Addresses[int(p.Number)], err = net.ResolveUDPAddr("udp", p.Address); err != nil {
			return fmt.Errorf("peer %d: %w", p.Number, err)
		}
	}
	return nil
}

// openRecordings opens the files in which workers are recorded.
func (m *Marshal) openRecordings() (err error) {
	for _, w := range m.allWorkers() {
		recording := w.settings.Record
		if recording.File == "" {
			continue
		}
		if err = os.MkdirAll(filepath.Dir(recording.File), 0o755); err != nil {
			return fmt.Errorf("record.file: %w", err)
		}
		if w.recorder, err = record.Create(w.recordFile(), int64(recording.MostBytes)); err != nil {
			return fmt.Errorf("record.file: %w", err)
		}
	}
	return nil
}

// allWorkers returns the workers of all pools.
func (m *Marshal) allWorkers() (workers []*worker) {
	for _, p := range m.pools {
		workers = append(workers, p.workers...)
	}
	return workers
}

// recordFile returns the file in which a worker is recorded. Each worker has a file of its own.
func (w *worker) recordFile() string {
	file := w.settings.Record.File
	if len(w.workers) > 1 {
		ext := filepath.Ext(file)
		file = fmt.Sprintf("%s.core%d%s", strings.TrimSuffix(file, ext), w.instance, ext)
	}
	return file
}

// closeSockets closes the sockets and recordings of the marshal.
func (m *Marshal) closeSockets() {
	for _, ln := range m.listeners {
		ln.Close()
	}
	if m.peers != nil {
		m.peers.Close()
	}
	if m.metricsListener != nil {
		m.metricsListener.Close()
	}
	for _, w := range m.allWorkers() {
		if w.recorder != nil {
			w.recorder.Close()
		}
	}
}
