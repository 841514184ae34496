package standin

import (
	"bufio"
	"errors"
	"io"
	"time"

	"arrowcleat/internal/settings"
)

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// NewNode makes a node of its settings.
func NewNode(s *settings.Standin) *Node {
	n := &Node{ID: s.Node, Ver: int(s.Ver), Zone: int(s.Zone), Cores: max(1, int(s.Cores)), Speed: s.Speed,
		Queue: int(s.Queue), Seed: s.Seed}
	if n.Speed <= 0 {
		n.Speed = 1
	}
	if n.Queue == 0 {
		n.Queue = 100
	}
	if r := s.Rules; r != nil {
		n.ColdShare, n.WarmUp = r.ColdFrom, millis(r.WarmUpMs)
		n.OverloadFactor, n.OverloadWindow = r.FallMultiple, millis(r.FallMs)
	}
	if b := s.Build; b != nil {
		n.BuildFault = Fault{ErrorShare: b.Errors, ErrorOp: int(b.ErrorsOp), WrongShare: b.Wrong, WorkFactor: b.Work, After: millis(b.AfterMs),
			BusyOver: b.BusyOver}
	}
	return n
}

// ForEachLine hears each line until the input ends.
func ForEachLine(in io.Reader, hear func(string) error) error {
	var all []error
	s := bufio.NewScanner(in)
	for s.Scan() {
		if err := hear(s.Text()); err != nil {
			all = append(all, err)
		}
	}
	return errors.Join(append(all, s.Err())...)
}
