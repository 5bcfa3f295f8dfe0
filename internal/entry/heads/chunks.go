package heads

import "errors"

// chunkPhase is the part of a body in chunks that is read next.
type chunkPhase int

const (
	chunkSize chunkPhase = iota
	chunkExtension
	chunkData
	chunkDataEnd
	chunkTrailer
)

const (
	// maxChunkSizeDigits bounds the hexadecimal digits of the size of a chunk, as net/http does.
	maxChunkSizeDigits = 16
	// chunkLinesMaxBytes bounds a line with the size of a chunk, which net/http bounds to the same size.
	chunkLinesMaxBytes = 4 << 10
)

// errInvalidChunk is returned if a body in chunks is not valid. net/http rejects it, too.
var errInvalidChunk = errors.New("invalid chunk")

// chunks finds the end of a body in chunks.
type chunks struct {
	phase chunkPhase
	// left is the size of the current chunk, or what is left of it.
	left   uint64
	digits int
	// lineBytes is the number of bytes of the line with the size of the chunk.
	lineBytes int
	trailer   scanner
	// trailerSize is the estimated size of the trailer that takeTrailerSize has returned.
	trailerSize int64
	// last is the last byte of the trailer.
	last byte
}

// scan reads bytes up to the end of the body. It returns how many bytes it has read and whether the last one ends the
// body.
func (c *chunks) scan(text []byte) (int, bool, error) {
	for i := 0; i < len(text); {
		switch c.phase {
		case chunkData:
			n := int(min(c.left, uint64(len(text)-i)))
			c.left -= uint64(n)
			i += n
			if c.left == 0 {
				c.phase = chunkDataEnd
			}
		case chunkTrailer:
			ended, err := c.scanTrailer(text[i])
			i++
			if ended || err != nil {
				return i, ended, err
			}
		default:
			if err := c.scanLine(text[i]); err != nil {
				return i, false, err
			}
			i++
		}
	}
	return len(text), false, nil
}

// scanLine reads one byte of a line between two chunks.
func (c *chunks) scanLine(b byte) error {
	c.lineBytes++
	switch {
	case c.lineBytes > chunkLinesMaxBytes:
		return errInvalidChunk
	case c.phase == chunkDataEnd:
		return c.endData(b)
	case b == '\n':
		return c.beginData()
	case c.phase == chunkExtension:
		return nil
	}
	digit, ok := hexDigit(b)
	if !ok {
		c.phase = chunkExtension // Also a CR or spaces; net/http checks them.
		return nil
	}
	c.digits++
	if c.digits > maxChunkSizeDigits {
		return errInvalidChunk
	}
	c.left = c.left<<4 | digit
	return nil
}

// beginData begins the data of a chunk after the line with its size.
func (c *chunks) beginData() error {
	if c.digits == 0 {
		return errInvalidChunk
	}
	c.phase = chunkData
	if c.left == 0 {
		c.phase = chunkTrailer
	}
	c.digits, c.lineBytes = 0, 0
	return nil
}

// endData reads a byte of the line end after the data of a chunk.
func (c *chunks) endData(b byte) error {
	switch {
	case b == '\r' && c.lineBytes == 1:
		return nil
	case b == '\n':
		c.phase, c.lineBytes = chunkSize, 0
		return nil
	}
	return errInvalidChunk
}

// scanTrailer reads one byte of the trailer and reports whether it ends the body. Lines must end with CRLF: net/http
// looks for two of them, so that it would find another end.
func (c *chunks) scanTrailer(b byte) (bool, error) {
	if b == '\n' && c.last != '\r' {
		return false, errInvalidChunk
	}
	c.last = b
	_, ended := c.trailer.scan([]byte{b})
	return ended, nil
}

// takeTrailerSize returns the estimated size of the part of the trailer that was read since the last call.
func (c *chunks) takeTrailerSize() int64 {
	size := c.trailer.parsedSize()
	added := size - c.trailerSize
	c.trailerSize = size
	return added
}

func hexDigit(b byte) (uint64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return uint64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return uint64(b-'A') + 10, true
	}
	return 0, false
}
