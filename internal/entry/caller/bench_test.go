package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/standin/engine"
)

// BenchmarkPath compares a completion through a host with the same completion sent directly to the
// engine. Requests are sent one at a time. The added latency is the difference of the reported
// percentiles.
func BenchmarkPath(b *testing.B) {
	s := newSite(b, siteOptions{slots: 64})
	direct := httptest.NewServer(engine.New(engine.Settings{}))
	defer direct.Close()
	rows := []struct {
		name string
		url  string
	}{
		{"direct", direct.URL},
		{"through-host", s.url},
	}
	for _, row := range rows {
		b.Run(row.name, func(b *testing.B) {
			var times []time.Duration
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				complete(b, row.url)
				times = append(times, time.Since(start))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
		})
	}
}

func complete(b *testing.B, url string) {
	body := `{"model":"layout","max_tokens":16,"stream":true,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(b, err)
	request.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(request)
	require.NoError(b, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(b, err)
	require.True(b, strings.HasSuffix(string(content), "[DONE]\n\n"))
}
