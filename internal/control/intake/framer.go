package intake

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
)

var (
	// ErrHeadTooLarge reports a head above its limit.
	ErrHeadTooLarge = errors.New("request head exceeds the size limit")
	// ErrEmptyLines reports more than maxEmptyBytes of empty lines before a
	// request.
	ErrEmptyLines = errors.New("too many empty lines before a request")
	// ErrFraming reports a head or a body whose end can't be determined.
	ErrFraming = errors.New("request without a valid length")
)

const (
	// maxEmptyBytes bounds the empty lines before a request. Some clients send
	// one after a body.
	maxEmptyBytes = 8
	// maxChunkLine bounds the line with the size of a chunk, as net/http does.
	maxChunkLine = 4 << 10
)

// phase is the part of a request that the next byte belongs to.
type phase uint8

const (
	inHead phase = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
)

// Framer follows the requests on one connection. It finds the end of each head and
// of each body, so that a head is complete and within its limit before it is
// parsed. It is a pure state machine.
type Framer struct {
	phase phase
	// head holds the bytes of an incomplete head, and empty counts those of the
	// empty lines before it.
	head  []byte
	empty int
	// remaining are the bytes left of a body or of a chunk's data.
	remaining int64
	// line holds the length of the current line of a chunked body, size the
	// chunk's size so far and inSize whether its digits have not ended.
	line   int
	size   int64
	inSize bool
}

// HeadInfo describes a complete head.
type HeadInfo struct {
	// Bytes is the head with its final empty line.
	Bytes []byte
	// Lines is the number of its lines.
	Lines int
}

// InHead reports whether the next byte belongs to a head or to the empty lines
// before it.
func (f *Framer) InHead() bool { return f.phase == inHead }

// BodyLength returns what is left of a body, 0 if that is unknown.
func (f *Framer) BodyLength() Bytes {
	if f.phase != inBody {
		return 0
	}
	return Bytes(f.remaining)
}

// Buffered returns the number of bytes of an incomplete head.
func (f *Framer) Buffered() int { return len(f.head) }

// HeadRoom returns how many more bytes a head may have. Its final empty line isn't
// counted.
func (f *Framer) HeadRoom(limit int) int { return max(0, limit+2-len(f.head)) }

// Head adds bytes to the head. It returns the number of bytes used and, if the
// head is complete, its description.
func (f *Framer) Head(b []byte, limit int) (used int, info *HeadInfo, err error) {
	if len(f.head) == 0 {
		for used < len(b) && (b[used] == '\r' || b[used] == '\n') {
			used++
		}
		if f.empty += used; f.empty > maxEmptyBytes {
			return used, nil, ErrEmptyLines
		}
	}
	if used == len(b) {
		return used, nil, nil
	}
	previous := len(f.head)
	rest := b[used:]
	rest = rest[:min(len(rest), f.HeadRoom(limit))]
	f.append(rest, limit+2)
	end := headEnd(f.head, previous)
	if end == 0 {
		if f.HeadRoom(limit) == 0 {
			return used + len(rest), nil, ErrHeadTooLarge
		}
		return used + len(rest), nil, nil
	}
	used += end - previous
	info = &HeadInfo{Bytes: f.head[:end], Lines: bytes.Count(f.head[:end], []byte{'\n'})}
	f.head, f.empty = nil, 0
	return used, info, f.begin(info.Bytes)
}

// firstHeadBuffer is the initial size of the buffer of a head; most are smaller.
const firstHeadBuffer = 1 << 10

// append adds to the head. The buffer never exceeds most bytes.
func (f *Framer) append(b []byte, most int) {
	if need := len(f.head) + len(b); need > cap(f.head) {
		larger := make([]byte, len(f.head), min(max(firstHeadBuffer, 2*cap(f.head), need), max(most, need)))
		copy(larger, f.head)
		f.head = larger
	}
	f.head = append(f.head, b...)
}

// headEnd returns the length of the head in b if it is complete, and 0 otherwise.
// The first previous bytes have no end.
func headEnd(b []byte, previous int) int {
	for i := max(0, previous-2); i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		rest := b[i+1:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 3
		}
	}
	return 0
}

// begin sets the length of the body from the head as net/http does.
func (f *Framer) begin(head []byte) error {
	request, fields, _ := strings.Cut(string(head), "\n")
	takesChunks := atLeast11(request)
	length, chunked, framing := "", false, false
	for line := range strings.SplitSeq(fields, "\n") {
		if framing && line != "" && (line[0] == ' ' || line[0] == '\t') {
			return ErrFraming // a length on several lines
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		isLength, isEncoding := strings.EqualFold(name, "Content-Length"), strings.EqualFold(name, "Transfer-Encoding")
		framing = isLength || isEncoding
		if isLength {
			if length != "" && length != value {
				return ErrFraming
			}
			length = value
		}
		// net/http refuses other encodings and closes the connection.
		chunked = chunked || isEncoding && takesChunks && strings.EqualFold(value, "chunked")
	}
	switch {
	case chunked:
		f.phase = inChunkSize
		f.startChunk()
	case length != "":
		n, err := strconv.ParseUint(length, 10, 63)
		if err != nil {
			return ErrFraming
		}
		if n > 0 {
			f.phase, f.remaining = inBody, int64(n)
		}
	}
	return nil
}

// atLeast11 reports whether a request line has the version HTTP/1.1 or a later one.
func atLeast11(line string) bool {
	line = strings.TrimSuffix(line, "\r")
	major, minor, ok := http.ParseHTTPVersion(line[strings.LastIndexByte(line, ' ')+1:])
	return ok && (major > 1 || major == 1 && minor >= 1)
}

func (f *Framer) startChunk() { f.line, f.size, f.inSize = 0, 0, true }

// Most returns how many of n bytes may be read at a time, so that few are read
// beyond the request.
func (f *Framer) Most(n int) int {
	if f.phase == inBody || f.phase == inChunkData {
		return int(min(int64(n), max(f.remaining, 1)))
	}
	return min(n, maxChunkLine)
}

// Body follows the bytes of a body and returns how many of them belong to it.
func (f *Framer) Body(b []byte) (int, error) {
	used := 0
	for used < len(b) && f.phase != inHead {
		if f.phase == inBody || f.phase == inChunkData {
			n := int(min(int64(len(b)-used), f.remaining))
			used += n
			f.remaining -= int64(n)
			if f.remaining == 0 {
				f.endData()
			}
			continue
		}
		if err := f.chunkByte(b[used]); err != nil {
			return used, err
		}
		used++
	}
	return used, nil
}

func (f *Framer) endData() {
	if f.phase == inBody {
		f.phase = inHead
		return
	}
	f.phase, f.line = inChunkEnd, 0
}

// chunkByte follows a byte of a chunked body that isn't data.
func (f *Framer) chunkByte(b byte) error {
	if b != '\n' {
		return f.chunkLineByte(b)
	}
	switch f.phase {
	case inChunkSize:
		if f.size > 0 {
			f.phase, f.remaining = inChunkData, f.size
			return nil
		}
		f.phase, f.line = inTrailer, 0
	case inChunkEnd:
		f.phase = inChunkSize
		f.startChunk()
	default:
		if f.line == 0 {
			f.phase = inHead
		}
		f.line = 0
	}
	return nil
}

func (f *Framer) chunkLineByte(b byte) error {
	if b == '\r' {
		return nil
	}
	if f.line++; f.line > maxChunkLine || f.phase == inChunkEnd {
		return ErrFraming
	}
	if f.phase != inChunkSize || !f.inSize {
		return nil
	}
	digit, ok := hexDigit(b)
	if !ok {
		f.inSize = false
		return nil
	}
	const mostDigits = 15
	if f.line > mostDigits {
		return ErrFraming
	}
	f.size = f.size<<4 | digit
	return nil
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	default:
		return 0, false
	}
}
