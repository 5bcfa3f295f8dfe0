// Package common provides the settings, the log and the metrics that all parts of the
// program share.
package common

import (
	"io"
	"log"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"redwinglock/internal/state/outcome"
	"redwinglock/internal/state/settings"
)

// Common holds the settings, the log and the metrics of the process.
type Common struct {
	Settings *settings.Settings
	Metrics  tally.Scope
	logger   *logrus.Logger
	output   *output
}

// New creates a Common that logs to standard output according to the settings. Close it after
// all other parts, so that their last log lines are written.
func New(s *settings.Settings, metrics tally.Scope) *Common {
	logger := logrus.New()
	lines := newOutput(os.Stdout, func(n int64) { metrics.Counter("log_lines_dropped").Inc(n) })
	logger.SetOutput(lines)
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	logger.SetLevel(level)
	if s.Log.Format == "json" {
		logger.SetFormatter(&prefixFormatter{&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}})
	} else {
		logger.SetFormatter(&prefixFormatter{&logrus.TextFormatter{DisableColors: true, FullTimestamp: true}})
	}
	// Libraries report unexpected responses of targets to the standard logger.
	log.SetFlags(0)
	log.SetOutput(&libraryLog{logger.WithField(partField, "library")})
	return &Common{Settings: s, Metrics: metrics, logger: logger, output: lines}
}

// libraryLog writes the output of libraries to the log of this program.
type libraryLog struct{ entry *logrus.Entry }

// maxLibraryLineBytes limits a log line of a library, which may contain data sent by a target.
const maxLibraryLineBytes = 120

// Write implements io.Writer.
func (l *libraryLog) Write(text []byte) (int, error) {
	line := strings.TrimSpace(string(text))
	l.entry.Info(line[:min(len(line), maxLibraryLineBytes)])
	return len(text), nil
}

// Close writes the queued log lines and stops the log output.
func (c *Common) Close() error { return c.output.Close() }

// Discard returns a Common for tests, with default settings and without log and metrics.
func Discard() *Common {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &settings.Settings{Host: "host", Zone: "zone"}
	s.SetDefaults()
	return &Common{Settings: s, Metrics: tally.NoopScope, logger: logger}
}

// Log returns the log of one part of the program.
func (c *Common) Log(part string) *logrus.Entry {
	return c.logger.WithField(partField, part)
}

// CountRefusal counts a refused request by reason.
func (c *Common) CountRefusal(reason outcome.Reason) {
	c.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals").Inc(1)
}

// CountRetry counts a retry by reason.
func (c *Common) CountRetry(reason string) {
	c.Metrics.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(1)
}

const partField = "part"

// prefixFormatter prefixes each message with the name of the part that logs it.
type prefixFormatter struct {
	logrus.Formatter
}

// maxFieldBytes limits a text in a log line, which may contain data sent by a caller or target.
const maxFieldBytes = 1 << 10

// shorten limits a text to maxFieldBytes.
func shorten(text string) string {
	if len(text) <= maxFieldBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxFieldBytes], "") + "..."
}

// shortenFields limits the texts of a log line. The entry has its own copy of the fields.
func shortenFields(entry *logrus.Entry) {
	entry.Message = shorten(entry.Message)
	for name, value := range entry.Data {
		switch v := value.(type) {
		case string:
			entry.Data[name] = shorten(v)
		case error:
			entry.Data[name] = shorten(v.Error())
		}
	}
}

// Format implements logrus.Formatter.
func (f *prefixFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	shortenFields(entry)
	if part, ok := entry.Data[partField].(string); ok {
		entry.Message = part + ": " + entry.Message
	}
	return f.Formatter.Format(entry)
}
