package heads

const (
	// requestCost is the estimated size of a parsed request without its header lines.
	requestCost = 2 << 10
	// byteCost covers the received bytes, the parsed strings, and the buffers and log fields with copies of them.
	byteCost = 4
	// lineCost is the estimated size of a header line in the maps and slices of the request and of its copy for the
	// target. Lines with different names and no values were measured at 163 bytes, and at 223 with the garbage.
	lineCost = 256
	// listItemCost is the estimated size of an item of a list in a header value, such as a part of a prompt.
	listItemCost = 32
)

// scanner finds the end of a head and counts what determines its parsed size. Lines end with LF or CRLF, and the
// first empty line ends the head, as in net/http. An empty line at the begin is a head of its own.
type scanner struct {
	bytes, lines, items int
	// lineBytes is the number of bytes of the current line, not counting a CR at its begin.
	lineBytes int
	// hasCR is set if the current line begins with a CR.
	hasCR bool
}

// scan reads bytes up to the end of the head. It returns how many bytes it has read and whether the last one ends the
// head.
func (s *scanner) scan(text []byte) (int, bool) {
	for i, b := range text {
		s.bytes++
		switch {
		case b == '\n' && s.lineBytes == 0:
			return i + 1, true
		case b == '\n':
			s.lines++
			s.lineBytes, s.hasCR = 0, false
		case b == '\r' && s.lineBytes == 0 && !s.hasCR:
			s.hasCR = true
		default:
			if b == ',' {
				s.items++
			}
			s.lineBytes++
		}
	}
	return len(text), false
}

// parsedSize returns the estimated size of the parsed head.
func (s *scanner) parsedSize() int64 {
	return requestCost + byteCost*int64(s.bytes) + lineCost*int64(s.lines) + listItemCost*int64(s.items)
}
