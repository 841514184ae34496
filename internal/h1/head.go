package h1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"sync"

	"arrowcleat/internal/membudget"
)

// A section is the lines of a head or of trailers up to the blank line. It is collected as it arrives and parsed as a whole:
// parsed lines take many times the memory of their bytes, and whoever does not end a section would make a Reader hold them.

const (
	minMaxFields        = 16  // header lines that any limits allow
	headerBytesPerField = 32  // of the limit on header bytes, for each header line that may come
	fieldMemoryBytes    = 160 // that a parsed header line takes at most beside its text: in the map, as a key and as a value
)

// maxFields returns how many header lines a message may have: a short line takes far more memory than its bytes.
func (l Limits) maxFields() int { return max(minMaxFields, l.HeaderBytes/headerBytesPerField) }

// section is the collected lines of a head or of trailers.
type section struct {
	limits   Limits
	head     bool // it begins with a first line
	raw      []byte
	lines    int // complete ones, with the first line and without the blank one
	complete bool

	firstLineChecked bool
	memory           membudget.Reservation // of raw, once it is not in the Reader's buffer any more
}

// readSection collects a section. It fails as soon as the section can't become valid or exceeds a limit.
func (r *Reader) readSection(l Limits, head bool) (*section, error) {
	s := &section{limits: l, head: head, memory: membudget.Reservation{Budget: r.Memory}}
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	buffered, _ := r.Peek(r.Buffered())
	if s.scan(buffered); s.complete { // most of them have arrived as a whole
		r.Discard(len(s.raw))
		return s, s.check()
	}
	*s = section{limits: l, head: head, memory: s.memory}
	for !s.complete {
		piece, err := r.ReadSlice('\n')
		if addErr := s.add(piece); addErr != nil {
			s.memory.Release()
			return nil, addErr
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			s.memory.Release()
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return s, nil
}

// scan sets the section to the lines in data up to the blank one, if it is there.
func (s *section) scan(data []byte) {
	for end := 0; !s.complete; {
		length := bytes.IndexByte(data[end:], '\n')
		if length < 0 {
			return
		}
		line := data[end : end+length]
		end += length + 1
		s.raw = data[:end]
		s.endLine(line)
	}
}

// endLine counts a line, which is given without its LF.
func (s *section) endLine(line []byte) {
	if blank := len(line) == 0 || len(line) == 1 && line[0] == '\r'; blank && (s.lines > 0 || !s.head) {
		s.complete = true
		return
	}
	s.lines++
}

// add adds a piece of a section, which ends with a line or within one.
func (s *section) add(piece []byte) error {
	begin := bytes.LastIndexByte(s.raw, '\n') + 1 // of the last line
	if needed := len(s.raw) + len(piece); needed > cap(s.raw) {
		size := max(2*cap(s.raw), needed)
		if err := s.memory.GrowPartial(int64(size)); err != nil {
			return err
		}
		s.raw = append(make([]byte, 0, size), s.raw...)
	}
	s.raw = append(s.raw, piece...)
	if line, ended := bytes.CutSuffix(s.raw[begin:], []byte("\n")); ended {
		s.endLine(line)
		if isField := s.lines > 1 || !s.head; isField && !s.complete && s.isNoField(line) {
			_, err := parseFields(s.fields())
			if err = malformedSection(err); errors.Is(err, ErrMalformed) {
				return err
			}
		}
	}
	return s.check()
}

// isNoField reports whether a line can be neither a header line nor the continuation of one.
func (s *section) isNoField(line []byte) bool {
	return bytes.IndexByte(line, ':') < 0 && line[0] != ' ' && line[0] != '\t'
}

// check checks the limits, and the first line of a head once it is complete.
func (s *section) check() error {
	firstLine, _, ended := bytes.Cut(s.raw, []byte("\n"))
	fields, most := s.lines, s.limits.HeaderBytes+len("\r\n")
	if s.head {
		fields, most = s.lines-1, most+s.limits.LineBytes+len("\r\n")
	}
	switch {
	case len(s.raw) > most || fields > s.limits.maxFields():
		return ErrTooLarge
	case !s.head:
		return nil
	case len(bytes.TrimSuffix(firstLine, []byte("\r"))) > s.limits.LineBytes:
		return ErrTooLarge
	case !ended || s.firstLineChecked:
		return nil
	case len(bytes.TrimSuffix(firstLine, []byte("\r"))) == 0:
		return malformedErr("an empty first line")
	}
	s.firstLineChecked = true
	return checkText(bytes.TrimSuffix(firstLine, []byte("\r")), "the first line")
}

// checkText fails if a text has a control character.
func checkText(text []byte, where string) error {
	for _, c := range text {
		if c < ' ' || c == 0x7f {
			return malformedErr("control character in %s", where)
		}
	}
	return nil
}

// fields returns the section without its first line.
func (s *section) fields() []byte {
	if !s.head {
		return s.raw
	}
	_, fields, _ := bytes.Cut(s.raw, []byte("\n"))
	return fields
}

// firstLine returns the first line of a head.
func (s *section) firstLine() string {
	line, _, _ := bytes.Cut(s.raw, []byte("\n"))
	return string(bytes.TrimSuffix(line, []byte("\r")))
}

// parse parses the header lines, for which it reserves memory until the reservation is released.
func (s *section) parse() (header textproto.MIMEHeader, memory membudget.Reservation, err error) {
	defer s.memory.Release()
	memory = membudget.Reservation{Budget: s.memory.Budget}
	if err := memory.Grow(int64(2*len(s.raw) + s.lines*fieldMemoryBytes)); err != nil { // what is passed on is written out again
		return nil, memory, err
	}
	if header, err = parseFields(s.fields()); err == nil {
		err = s.checkFields(header)
	}
	if err != nil {
		memory.Release()
		return nil, memory, malformedSection(err)
	}
	return header, memory, nil
}

// checkFields checks the names, the values and the size of a header.
func (s *section) checkFields(header textproto.MIMEHeader) error {
	size := 0
	for name, values := range header {
		if s.head && !isToken(name) {
			return malformedErr("header name %.40q", name)
		}
		for _, v := range values {
			size += len(name) + len(v) + 4 // with ": " and the line end
			for i := range len(v) {
				if s.head && (v[i] < ' ' && v[i] != '\t' || v[i] == 0x7f) {
					return malformedErr("control character in header %s", name)
				}
			}
		}
	}
	if size > s.limits.HeaderBytes {
		return ErrTooLarge
	}
	return nil
}

// malformedSection returns the error of a section for an error of its parser.
func malformedSection(err error) error {
	var bad textproto.ProtocolError
	if errors.As(err, &bad) {
		return malformedErr("%s", string(bad))
	}
	return err
}

// fieldParser parses header lines that are in memory.
type fieldParser struct {
	source   bytes.Reader
	buffered *bufio.Reader
	text     textproto.Reader
}

var fieldParsers = sync.Pool{New: func() any {
	p := &fieldParser{}
	p.buffered = bufio.NewReader(&p.source)
	p.text.R = p.buffered
	return p
}}

// parseFields parses header lines, with the blank line that ends them.
func parseFields(raw []byte) (textproto.MIMEHeader, error) {
	p := fieldParsers.Get().(*fieldParser)
	defer fieldParsers.Put(p)
	p.source.Reset(raw)
	p.buffered.Reset(&p.source)
	header, err := p.text.ReadMIMEHeader()
	p.source.Reset(nil)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return header, err
}
