package standin

import (
	"bufio"
	"errors"
	"io"
	"time"

	"arrowcleat/internal/settings"
)

// millis returns a duration in ms as a time.Duration.
func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// NewNode returns a node with the given settings.
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
		n.BuildFault = Fault{ErrorShare: b.Errors, ErrorOp: int(b.ErrorsOp), WrongShare: b.Wrong, WorkFactor: b.Work,
			After: millis(b.AfterMs), BusyOver: b.BusyOver}
	}
	return n
}

// ForEachLine calls handle with each line of an input, and returns all errors.
func ForEachLine(in io.Reader, handle func(string) error) error {
	var errs []error
	s := bufio.NewScanner(in)
	for s.Scan() {
		if err := handle(s.Text()); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(append(errs, s.Err())...)
}
