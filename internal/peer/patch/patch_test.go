package patch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

const maxTestBytes = 2 << 20

// routes returns a value like a configuration with many routes. Those of a smaller one stand in a larger one, too.
func routes(revision, count int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	content := bytes.NewBufferString(fmt.Sprintf(`{"version":%d,"routes":[`, revision))
	for range count {
		fmt.Fprintf(content, `{"name":"r-%08x","path_prefix":"/%08x/","kind":"stream","timeout_ms":6000,"priority":0,"service":"huvo11a","max_attempts":2},`, random.Uint32(), random.Uint32())
	}
	return content.Bytes()
}

func TestPatchLeadsToTheValue(t *testing.T) {
	random := make([]byte, 100_000)
	for i := range random {
		random[i] = byte(rand.Uint32())
	}
	tests := []struct {
		name        string
		base, value []byte
		maxBytes    int // Of the patch.
	}{
		{"empty value", routes(1, 10), nil, 100},
		{"no base", nil, routes(1, 5000), 80_000},
		{"another number only", routes(1, 5000), routes(2, 5000), 1000},
		{"more routes", routes(1, 5000), routes(2, 6400), 40_000},
		{"fewer routes", routes(1, 6400), routes(2, 5000), 1000},
		{"another value", routes(1, 5000), random, 110_000},
		{"small base", []byte("1"), routes(2, 100), 5000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := Encode(test.base, test.value)
			require.NoError(t, err)
			require.LessOrEqual(t, len(encoded), test.maxBytes)
			decoded, err := Decode(test.base, encoded, DigestOf(test.value), maxTestBytes)
			require.NoError(t, err)
			require.True(t, bytes.Equal(test.value, decoded))
		})
	}
}

// TestCorruptPatchIsRefused changes each part of a patch, and applies one to another base.
func TestCorruptPatchIsRefused(t *testing.T) {
	base, value := routes(1, 100), routes(2, 200)
	encoded, err := Encode(base, value)
	require.NoError(t, err)
	for i := range encoded {
		changed := bytes.Clone(encoded)
		changed[i] ^= 0x55
		if decoded, err := Decode(base, changed, DigestOf(value), maxTestBytes); err == nil {
			require.Equal(t, value, decoded)
		}
		_, err := Decode(base, encoded[:i], DigestOf(value), maxTestBytes)
		require.ErrorIs(t, err, ErrCorrupt)
	}
	_, err = Decode(make([]byte, len(base)), encoded, DigestOf(value), maxTestBytes)
	require.ErrorIs(t, err, ErrCorrupt)
}

// TestHugeValueIsRefused decodes a small patch of a value that is larger than allowed.
func TestHugeValueIsRefused(t *testing.T) {
	value := make([]byte, 64<<20)
	encoded, err := Encode(nil, value)
	require.NoError(t, err)
	require.Less(t, len(encoded), 100_000)
	_, err = Decode(nil, encoded, DigestOf(value), maxTestBytes)
	require.ErrorIs(t, err, ErrCorrupt)
}
