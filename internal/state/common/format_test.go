package common

import (
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// TestLogFieldsAreBounded guards against log lines that repeat large texts of callers or targets, and against changing
// the fields of the entry that the caller of the log still uses.
func TestLogFieldsAreBounded(t *testing.T) {
	large := strings.Repeat("x", 64<<10)
	logger := logrus.New()
	f := &prefixFormatter{&logrus.JSONFormatter{}}
	entry := logger.WithFields(logrus.Fields{partField: "gateway", "text": large, "error": errors.New(large), "short": "id"})
	entry.Message = large
	line, err := f.Format(entry.Dup())
	require.NoError(t, err)
	require.Less(t, len(line), 4<<10)
	require.Contains(t, string(line), `"short":"id"`)
	require.Equal(t, large, entry.Data["text"])
}
