package upload

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	peerbody "redwinglock/internal/peer/body"
)

// failingReader ends with an error.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func request(content io.Reader, length int64) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", content)
	r.ContentLength = length
	return r
}

func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 100_000
	rows := []struct {
		name       string
		size       int
		hasLength  bool
		want       error
		isReserved bool
	}{
		{"empty", 0, true, nil, false},
		{"empty, in chunks", 0, false, nil, false},
		{"small", peerbody.SmallBytes, true, nil, false},
		{"small, in chunks", peerbody.SmallBytes, false, nil, false},
		{"large", 60_000, true, nil, true},
		{"large, in chunks", 60_000, false, nil, true},
		{"as large as allowed", limit, true, nil, true},
		{"as large as allowed, in chunks", limit, false, nil, true},
		{"too large", limit + 1, true, ErrTooLarge, false},
		{"too large, in chunks", limit + 1, false, ErrTooLarge, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			content := bytes.Repeat([]byte("x"), row.size)
			length := int64(-1)
			if row.hasLength {
				length = int64(row.size)
			}
			b := NewBudget(1)
			body, err := b.Read(request(bytes.NewReader(content), length), limit)
			require.ErrorIs(t, err, row.want)
			if row.want == nil {
				require.True(t, bytes.Equal(content, body.Bytes))
				require.Equal(t, row.isReserved, b.Used() > 0)
				body.Release()
				body.Release()
			}
			require.Zero(t, b.Used())
		})
	}
}

// TestBurstOfLargeBodiesStaysInsideTheBudget guards against a fault that was observed: a burst of large prompts ended the
// process, and all that it had accepted was lost.
func TestBurstOfLargeBodiesStaysInsideTheBudget(t *testing.T) {
	const size, limit = 200 << 10, 1 << 20
	b := NewBudget(4) // A quarter: 1 MiB.
	var accepted []*Body
	var mu sync.Mutex
	var reading sync.WaitGroup
	refused := 0
	for i := range 40 {
		reading.Go(func() {
			length := int64(size)
			if i%2 == 0 {
				length = -1
			}
			body, err := b.Read(request(strings.NewReader(strings.Repeat("x", size)), length), limit)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				require.ErrorIs(t, err, ErrNoMemory)
				refused++
				return
			}
			accepted = append(accepted, body)
		})
	}
	reading.Wait()
	require.NotEmpty(t, accepted)
	require.Positive(t, refused)
	require.LessOrEqual(t, b.Used(), int64(1<<20))
	small, err := b.Read(request(strings.NewReader("small"), 5), limit)
	require.NoError(t, err, "large bodies do not keep small ones out")
	small.Release()
	for _, body := range accepted {
		body.Release()
	}
	require.Zero(t, b.Used())
	_, err = b.Read(request(failingReader{}, size), limit)
	require.Error(t, err)
	require.Zero(t, b.Used(), "a body that is cut off is not kept")
}
