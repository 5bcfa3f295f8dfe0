package common

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines waiting to be written.
	maxQueuedLines = 2048
	// maxLinesPerSecond is the maximum number of lines accepted in one second.
	maxLinesPerSecond = 400
	// closeTimeout is the maximum time that Close waits for the queued lines to be written,
	// because the reader may have stopped.
	closeTimeout = 200 * time.Millisecond
)

// output passes log lines to a writer that may block. Write does not block: lines above the rate
// limit, or that arrive while the queue is full, are dropped and counted.
type output struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	onDrop  func(int64)

	rate RateLimit
	// reportedAt is the time of the last report about dropped lines.
	reportedAt time.Time
	closing    chan struct{}
	done       sync.WaitGroup
}

// newOutput creates an output and starts its goroutine. onDrop is called with the number of lines
// dropped since the previous call. It may be nil.
func newOutput(writer io.Writer, onDrop func(int64)) *output {
	o := &output{writer: writer, lines: make(chan []byte, maxQueuedLines), onDrop: onDrop, rate: RateLimit{Limit: maxLinesPerSecond}, closing: make(chan struct{})}
	o.done.Go(o.run)
	return o
}

// Write implements io.Writer.
func (o *output) Write(line []byte) (int, error) {
	if !o.rate.Allow(time.Now()) {
		o.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...) // The logger reuses its buffer.
	select {
	case o.lines <- copied:
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

func (o *output) run() {
	for {
		select {
		case line := <-o.lines:
			o.write(line)
		case <-o.closing:
			for len(o.lines) > 0 {
				o.write(<-o.lines)
			}
			return
		}
	}
}

func (o *output) write(line []byte) {
	if now := time.Now(); o.dropped.Load() > 0 && now.Sub(o.reportedAt) >= time.Second {
		o.reportedAt = now
		n := o.dropped.Swap(0)
		if o.onDrop != nil {
			o.onDrop(n)
		}
		_, _ = fmt.Fprintf(o.writer, "{\"part\":\"log\",\"level\":\"warning\",\"msg\":\"log: Lines dropped.\",\"lines\":%d}\n", n)
	}
	_, _ = o.writer.Write(line) // There is nowhere to report an error of the log itself.
}

// Close writes the queued lines. It gives up after closeTimeout.
func (o *output) Close() error {
	close(o.closing)
	written := make(chan struct{})
	go func() {
		o.done.Wait()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(closeTimeout):
	}
	return nil
}
