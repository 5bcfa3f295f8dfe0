package heads

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// headPieces and chunkPieces are pieces of heads, and of bodies in chunks, that are easily read in different ways.
var (
	headPieces  = []string{"\r\n", "\n", "\r", " ", "\t", "a: b", "a:", "a", ":", ",", "x\r\ny: z"}
	chunkPieces = []string{"\r\n", "\n", "\r", "0", "1", "3", "a", "F", ";", " ", "\t", "a: b", "x", "0\r\n\r\n", "1\r\na\r\n", "3;b\r\nabc\r\n", "a:\r\n"}
)

func drawText(t *rapid.T, pieces []string) string {
	return strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 14).Draw(t, "pieces"), "")
}

// TestHeadsEndWhereTheServerEndsThem guards against any head that net/http accepts and whose end the scanner finds
// elsewhere, so that a part of the next head would not count.
func TestHeadsEndWhereTheServerEndsThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := "GET / HTTP/1.0\r\n" + drawText(t, headPieces) + "\r\n\r\nrest"
		reader := bufio.NewReader(strings.NewReader(text))
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		var s scanner
		n, ended := s.scan([]byte(text))
		require.True(t, ended, "%q", text)
		require.Equal(t, string(rest), text[n:], "%q", text)
	})
}

// TestChunksEndWhereTheServerEndsThem is the same for bodies in chunks.
func TestChunksEndWhereTheServerEndsThem(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	rapid.Check(t, func(t *rapid.T) {
		text := drawText(t, chunkPieces) + "0\r\n\r\nrest"
		reader := bufio.NewReader(strings.NewReader(head + text))
		request, err := http.ReadRequest(reader)
		require.NoError(t, err)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		used, ended, err := scanChunks(text, rapid.IntRange(1, 9).Draw(t, "size"))
		if err != nil {
			return // The connection is closed.
		}
		require.True(t, ended, "%q", text)
		require.Equal(t, string(rest), text[used:], "%q", text)
	})
}
