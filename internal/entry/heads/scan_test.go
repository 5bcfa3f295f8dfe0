package heads

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndOfHead guards against a head that ends elsewhere than net/http finds it: bytes of a head that are taken for a
// body would not count.
func TestEndOfHead(t *testing.T) {
	rows := []struct{ name, head, rest string }{
		{"CRLF", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "rest"},
		{"LF", "GET / HTTP/1.1\nHost: a\n\n", "\nrest"},
		{"both", "GET / HTTP/1.1\nHost: a\r\n\n", "rest"},
		{"continued line without content", "GET / HTTP/1.1\r\nHost: a\r\nb: c\r\n \r\n\r\n", "rest"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := scanner{}
			n, ended := s.scan([]byte(row.head + row.rest))
			require.True(t, ended)
			require.Equal(t, len(row.head), n)
			reader := bufio.NewReader(strings.NewReader(row.head + row.rest))
			_, err := http.ReadRequest(reader)
			require.NoError(t, err)
			rest, err := io.ReadAll(reader)
			require.NoError(t, err)
			require.Equal(t, row.rest, string(rest), "what net/http leaves")
		})
	}
}

// TestCarriageReturnsDoNotEndAHead guards against a line of two CRs that is taken for an empty one.
func TestCarriageReturnsDoNotEndAHead(t *testing.T) {
	s := scanner{}
	_, ended := s.scan([]byte("GET / HTTP/1.1\r\n\r\r\n"))
	require.False(t, ended)
}

// TestEndOfChunks guards against a body that ends elsewhere than net/http finds it, whatever the sizes of the reads.
func TestEndOfChunks(t *testing.T) {
	rows := []struct {
		name, body string
		invalid    bool
	}{
		{"two chunks", "5\r\nhello\r\n10;name=value\r\n0123456789abcdef\r\n0\r\n\r\n", false},
		{"trailer", "1\r\na\r\n0\r\nb: c\r\nd:\r\n\r\n", false},
		{"zeros before the size", "0005\r\nhello\r\n00\r\n\r\n", false},
		{"no size", "\r\n", true},
		{"data without its end", "1\r\nab\r\n", true},
		{"size of 17 digits", "00000000000000001\r\na\r\n", true},
		{"trailer that ends with LF", "0\r\n\n", true},
		{"line of a trailer that ends with LF", "0\r\na:\n\r\n", true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			for size := 1; size < 9; size++ {
				used, ended, err := scanChunks(row.body+"rest", size)
				if row.invalid {
					require.ErrorIs(t, err, errInvalidChunk)
					continue
				}
				require.NoError(t, err)
				require.True(t, ended)
				require.Equal(t, len(row.body), used)
			}
		})
	}
}

// scanChunks reads a body in pieces of a size.
func scanChunks(text string, size int) (int, bool, error) {
	var c chunks
	used := 0
	for used < len(text) {
		n, ended, err := c.scan([]byte(text[used:min(used+size, len(text))]))
		used += n
		if ended || err != nil {
			return used, ended, err
		}
	}
	return used, false, nil
}

// TestLargeHeadsLeaveRoomForSmallOnes guards against large heads that use up the budget and keep ordinary callers out.
func TestLargeHeadsLeaveRoomForSmallOnes(t *testing.T) {
	b := newBudget(128) // 16 MiB, of which large heads may use 12.
	require.NoError(t, b.replace(0, 12<<20))
	require.ErrorIs(t, b.replace(0, smallBytes+1), errNoMemory)
	for range 4 << 20 / smallBytes {
		require.NoError(t, b.replace(0, smallBytes))
	}
	require.ErrorIs(t, b.replace(0, 1), errNoMemory)
	require.NoError(t, b.replace(12<<20, 0))
	require.NoError(t, b.replace(0, smallBytes+1))
	require.EqualValues(t, 4<<20+smallBytes+1, b.usedBytes())
}

// TestLargestHeadOfThePlatformFits guards against a limit on the number of lines: on the smallest host, a head of
// 16,384 bytes of very short lines is within the limit of large heads.
func TestLargestHeadOfThePlatformFits(t *testing.T) {
	s := scanner{}
	s.scan([]byte(strings.Repeat("a:\n", 16384/3)))
	require.Less(t, s.parsedSize(), newBudget(112).largeLimit)
}
