package digest

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTextsAndContentAreToldApart(t *testing.T) {
	require.Equal(t, OfUntrusted([]byte("content"), "a", "b"), OfUntrusted([]byte("content"), "a", "b"))
	require.Equal(t, OfUntrusted(nil, "a"), OfUntrusted([]byte{}, "a"))
	for _, other := range []uint64{OfUntrusted([]byte("bc"), "a"), OfUntrusted([]byte("abc")), OfUntrusted(nil, "ab", "c"), OfUntrusted(nil, "abc")} {
		require.NotEqual(t, OfUntrusted([]byte("c"), "ab"), other)
	}
}
