// Package h1 reads and writes HTTP/1.1 messages (RFC 9110, RFC 9112) on top of net/textproto: it reads heads, finds the end
// of bodies, and appends heads and chunks to buffers. A message that is ambiguous is an error and never passed on.
package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"arrowcleat/internal/membudget"
)

// Limits bounds the size of a head.
type Limits struct {
	LineBytes, HeaderBytes int // of the first line, and of all header lines together
}

// Errors of a message, which determine how it is answered. Any other error that a Reader returns comes from the connection.
var (
	// ErrMalformed is the error of a message that is ambiguous or not valid HTTP/1.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLarge is the error of a message that exceeds a limit on its size.
	ErrTooLarge = errors.New("head too large")
	// ErrTransferCoding is the error of a transfer coding other than chunked.
	ErrTransferCoding = errors.New("transfer coding not known")
	// ErrVersion is the error of an HTTP version other than 1.0 and 1.1.
	ErrVersion = errors.New("HTTP version not known")
)

// malformedErr returns an ErrMalformed with a description.
func malformedErr(format string, a ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, a...)...)
}

// Head is the first line and the header of a message.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Reason         string
	MinorVersion   int // of the HTTP version: 0 for HTTP/1.0, 1 for HTTP/1.1
	Header         textproto.MIMEHeader
	BodyLength     int64 // in bytes, or Chunked or UntilClose
	Close          bool  // the connection closes after this message

	memory membudget.Reservation
}

// Release gives the memory of the head back to the Reader's budget. The head must not be used any more.
func (h *Head) Release() { h.memory.Release() }

// Special values of Head.BodyLength.
const (
	// Chunked is the length of a body in the chunked transfer coding.
	Chunked = -1
	// UntilClose is the length of a body that ends with the connection.
	UntilClose = -2
)

// Reader reads messages from one connection.
type Reader struct {
	*bufio.Reader
	Memory *membudget.Budget // for heads and trailers; nil: no limit
	source *countingReader
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	count int64
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.count += int64(n)
	return n, err
}

// NewReader returns a Reader of the messages on r, with a buffer of size bytes.
func NewReader(r io.Reader, size int) *Reader {
	source := &countingReader{Reader: r}
	return &Reader{Reader: bufio.NewReaderSize(source, size), source: source}
}

// consumed returns how many bytes have been read, without those that are buffered.
func (r *Reader) consumed() int64 { return r.source.count - int64(r.Buffered()) }

// maxEmptyLineBytes bounds the empty lines that are ignored before a request: a client that sends nothing else is not
// waited for.
const maxEmptyLineBytes = 16

// readHead reads the first line and the header of a message.
func (r *Reader) readHead(l Limits) (line string, header textproto.MIMEHeader, memory membudget.Reservation, err error) {
	s, err := r.readSection(l, true)
	if err != nil {
		return "", nil, memory, err
	}
	header, memory, err = s.parse()
	return s.firstLine(), header, memory, err
}

// Request reads the head of a request.
func (r *Reader) Request(l Limits) (*Head, error) {
	for skipped := 0; ; skipped++ { // empty lines before a request are ignored (RFC 9112, 2.2)
		b, err := r.Peek(1)
		if err != nil {
			return nil, err
		}
		if b[0] != '\r' && b[0] != '\n' {
			break
		}
		if skipped == maxEmptyLineBytes {
			return nil, malformedErr("too many empty lines before a request")
		}
		r.Discard(1)
	}
	line, header, memory, err := r.readHead(l)
	if err != nil {
		return nil, err
	}
	h := &Head{Header: header, memory: memory}
	if err := h.parseRequest(line); err != nil {
		h.Release()
		return nil, err
	}
	return h, nil
}

// parseRequest sets what follows from the first line and the header of a request.
func (h *Head) parseRequest(line string) error {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || target == "" || strings.Contains(version, " ") {
		return malformedErr("request line %.60q", line)
	}
	h.Method, h.Target = method, target
	if err := h.parseVersion(version); err != nil {
		return err
	}
	hosts := h.Header["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && h.MinorVersion > 0 {
		return malformedErr("%d Host headers where one is due", len(hosts))
	}
	if err := h.parseFraming(); err != nil {
		return err
	}
	if h.BodyLength == UntilClose {
		h.BodyLength = 0
	}
	return nil
}

// Response reads the head of a response to a request of the given method.
func (r *Reader) Response(method string, l Limits) (*Head, error) {
	line, header, memory, err := r.readHead(l)
	if err != nil {
		return nil, err
	}
	h := &Head{Header: header, memory: memory}
	if err := h.parseResponse(line, method); err != nil {
		h.Release()
		return nil, err
	}
	return h, nil
}

// parseResponse sets what follows from the first line and the header of a response to a request of the given method.
func (h *Head) parseResponse(line, method string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return malformedErr("status line %.60q", line)
	}
	h.Status, h.Reason = status, reason
	if err := h.parseVersion(version); err != nil {
		return err
	}
	if err := h.parseFraming(); err != nil {
		return err
	}
	if method == "HEAD" || status < 200 || status == 204 || status == 304 {
		h.BodyLength = 0
	} else if h.BodyLength == UntilClose {
		h.Close = true
	}
	return nil
}

// parseVersion sets MinorVersion.
func (h *Head) parseVersion(v string) error {
	switch v {
	case "HTTP/1.1":
		h.MinorVersion = 1
	case "HTTP/1.0":
	default:
		if len(v) == 8 && strings.HasPrefix(v, "HTTP/") && v[6] == '.' {
			return ErrVersion
		}
		return malformedErr("version %.20q", v)
	}
	return nil
}

// parseFraming sets BodyLength and Close. Contradictory or unusual framing is malformed (RFC 9112, 6.3).
func (h *Head) parseFraming() error {
	connection := h.Header["Connection"]
	h.Close = ListsToken(connection, "close") || h.MinorVersion == 0 && !ListsToken(connection, "keep-alive")
	codings, lengths := h.Header["Transfer-Encoding"], h.Header["Content-Length"]
	if len(codings) > 0 {
		if len(lengths) > 0 {
			return malformedErr("both Content-Length and Transfer-Encoding")
		}
		if h.MinorVersion == 0 {
			return malformedErr("Transfer-Encoding in HTTP/1.0")
		}
		if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return fmt.Errorf("%w: %.40q", ErrTransferCoding, strings.Join(codings, ", "))
		}
		h.BodyLength = Chunked
		return nil
	}
	h.BodyLength = UntilClose
	if len(lengths) > 0 {
		text := lengths[0]
		n, err := strconv.ParseInt(text, 10, 64)
		if len(lengths) > 1 || err != nil || n < 0 || text[0] == '+' || text[0] == '-' {
			return malformedErr("Content-Length %.40q", strings.Join(lengths, ", "))
		}
		h.BodyLength = n
	}
	return nil
}

// ListsToken reports whether a comma-separated header field contains a token, in any case.
func ListsToken(values []string, token string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// ExpectsContinue reports whether the client waits for 100 Continue before it sends the body.
func (h *Head) ExpectsContinue() bool {
	return h.MinorVersion > 0 && h.BodyLength != 0 && ListsToken(h.Header["Expect"], "100-continue")
}

// hopByHop are the names of hop-by-hop header fields (RFC 9110, 7.6.1), including obsolete ones, and Expect, which the
// marshal answers itself.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Transfer-Encoding", "Upgrade", "Expect"}

// RemoveHopByHop removes the hop-by-hop header fields, including those that Connection lists.
func (h *Head) RemoveHopByHop() {
	for _, v := range h.Header["Connection"] {
		for part := range strings.SplitSeq(v, ",") {
			name := textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(part))
			if name != "Content-Length" && name != "Host" { // framing and routing fields stay even if they are listed
				delete(h.Header, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h.Header, name)
	}
}

// isToken reports whether s is a token (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// Body reads the body of the message whose head was read last. It ends with io.EOF; Trailers is set by then.
type Body struct {
	r         *Reader
	limits    Limits
	chunked   io.Reader // nil for a body of another kind
	remaining int64     // bytes; UntilClose: until the connection closes
	start     int64     // what the Reader had consumed when the body began
	content   int64     // bytes of content that were read
	err       error

	Trailers textproto.MIMEHeader // the allowed ones, nil for none
	memory   membudget.Reservation
}

// Body returns the body of the message with head h.
func (r *Reader) Body(h *Head, l Limits) *Body {
	b := &Body{r: r, remaining: h.BodyLength, limits: l, start: r.consumed()}
	if h.BodyLength == Chunked {
		b.chunked = httputil.NewChunkedReader(r.Reader)
	}
	return b
}

// Done reports whether the body has been read to its end.
func (b *Body) Done() bool { return b.err == io.EOF || b.chunked == nil && b.remaining == 0 }

// Read reads from the body. It returns io.ErrUnexpectedEOF if the connection ends before the body does.
func (b *Body) Read(p []byte) (n int, err error) {
	switch {
	case b.err != nil:
		return 0, b.err
	case b.chunked != nil:
		n, err = b.chunked.Read(p)
		if err == io.EOF {
			if err = b.readTrailers(); err == nil {
				err = io.EOF
			}
		} else if err != nil && !isConnErr(err) {
			err = malformedErr("chunk: %v", err)
		}
	case b.remaining == 0:
		err = io.EOF
	case b.remaining == UntilClose:
		n, err = b.r.Read(p)
	default:
		if int64(len(p)) > b.remaining {
			p = p[:b.remaining]
		}
		n, err = b.r.Read(p)
		b.remaining -= int64(n)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	}
	b.err = err
	b.content += int64(n)
	return n, err
}

// FramingBytes returns how many bytes of the body's framing have been read so far, such as sizes of chunks.
func (b *Body) FramingBytes() int64 { return b.r.consumed() - b.start - b.content }

// isConnErr reports whether an error of the chunked reader comes from the connection and not from the encoding: only errors
// of the network have a Timeout method.
func isConnErr(err error) bool {
	type timeout interface{ Timeout() bool }
	var t timeout
	return errors.As(err, &t) || errors.Is(err, io.ErrUnexpectedEOF)
}

// readTrailers reads the trailer section and sets Trailers.
func (b *Body) readTrailers() error {
	s, err := b.r.readSection(b.limits, false)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return trailerError(err)
	}
	header, memory, err := s.parse()
	if err != nil {
		return trailerError(err)
	}
	b.memory = memory
	for name := range header { // framing, routing and hop-by-hop fields are not allowed in trailers (RFC 9110, 6.5.1)
		if !isToken(name) || name == "Content-Length" || name == "Host" || slices.Contains(hopByHop, name) {
			delete(header, name)
		}
	}
	if len(header) > 0 {
		b.Trailers = header
	}
	return nil
}

// trailerError says of an error of the encoding that it was found in the trailers.
func trailerError(err error) error {
	if errors.Is(err, ErrMalformed) {
		return fmt.Errorf("trailer: %w", err)
	}
	return err
}

// Release gives the memory of the trailers back to the Reader's budget. They must not be used any more.
func (b *Body) Release() { b.memory.Release() }

// AppendHeader appends header lines in the order of their names, except those given, and no empty line.
func AppendHeader(dst []byte, header textproto.MIMEHeader, except ...string) []byte {
	var buf [32]string // avoids an allocation for most headers
	names := slices.AppendSeq(buf[:0], maps.Keys(header))
	slices.Sort(names)
	for _, name := range names {
		if slices.Contains(except, name) {
			continue
		}
		for _, v := range header[name] {
			dst = append(append(append(append(dst, name...), ": "...), v...), "\r\n"...)
		}
	}
	return dst
}

// AppendField appends one header line.
func AppendField(dst []byte, name, value string) []byte {
	return append(append(append(append(dst, name...), ": "...), value...), "\r\n"...)
}

// AppendChunk appends one chunk.
func AppendChunk(dst, data []byte) []byte {
	dst = append(strconv.AppendInt(dst, int64(len(data)), 16), "\r\n"...)
	return append(append(dst, data...), "\r\n"...)
}

// AppendLastChunk appends the last chunk of a body, with trailers.
func AppendLastChunk(dst []byte, trailers textproto.MIMEHeader) []byte {
	return append(AppendHeader(append(dst, "0\r\n"...), trailers), "\r\n"...)
}
