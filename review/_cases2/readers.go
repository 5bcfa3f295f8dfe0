package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// readerTargets and readerSlots are the model workers and their slots.
	readerTargets, readerSlots = 12, 7
	// slowReaders is the number of clients that read slowly. Each asks for a stream of the largest size of the sheet.
	slowReaders = 100
	slowEvents  = 700
	// slowBytes is what a slow reader takes in a second.
	slowBytes = 64
	// slowDeadline is the deadline of their requests, and the timeout of their route.
	slowDeadline = 15 * time.Second
	// judgedTime is how long ordinary callers are judged, from judgedAfter after the deadline of the last slow reader.
	judgedTime  = 20 * time.Second
	judgedAfter = 3 * time.Second
)

// playReaders lets some clients read their streams slowly. Long after the deadlines of these, when no worker is at work
// on them any more, ordinary callers send requests to the same service.
func playReaders(r *record, trouble bool) (int, error) {
	s, err := newSite(r, smallConfig(), []string{"a", "b"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	var targets []*streamTarget
	for n := range readerTargets {
		t, err := s.newStreamTarget(fmt.Sprintf("i-m%d", n), readerSlots, nil)
		if err != nil {
			return exitNotRun, err
		}
		targets = append(targets, t)
	}
	if err := s.addSmallTargets(800, 0); err != nil {
		return exitNotRun, err
	}
	if err := s.startAll(); err != nil {
		return exitNotRun, err
	}
	if !s.warmUp() {
		return exitNotRun, errors.New("the hosts do not serve")
	}
	time.Sleep(2 * time.Second)
	atWork := func() (running, began int64) {
		for _, t := range targets {
			running += t.running.Load()
			began += t.began.Load()
		}
		return running, began
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range slowReaders {
		clients.Go(func() {
			c := call{id: newID(), method: "POST", hostName: "a.example", path: "/explain/x", key: "key-2", deadline: slowDeadline, prompt: 543, output: slowEvents * eventSize, body: "x"}
			readStream(r, c, s.hosts[n%2].callers, trouble, stop)
		})
	}
	time.Sleep(slowDeadline + judgedAfter)
	running, began := atWork()
	r.printf("%d requests have begun at the workers, %d are at work now", began, running)
	count := map[string][2]int{}
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(judgedTime)
	for n := range 4 {
		callers.Go(func() {
			for time.Now().Before(end) {
				stream := call{id: newID(), method: "POST", hostName: "a.example", path: "/explain/x", key: "key-1", deadline: slowDeadline, prompt: 543, output: 10 * eventSize, body: "x"}
				for kind, c := range map[string]call{"stream": stream, "plain": statusCall()} {
					got := c.send(s.hosts[n%2].callers)
					r.printf("ordinary caller of the %s kind at %s: %v", kind, s.hosts[n%2].name, got)
					mu.Lock()
					counts := count[kind]
					counts[0]++
					if got.status == 200 && got.whole {
						counts[1]++
					}
					count[kind] = counts
					mu.Unlock()
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	running, _ = atWork()
	r.printf("%d requests are at work at the workers at the end", running)
	close(stop)
	clients.Wait()
	stream, plain := count["stream"], count["plain"]
	r.printf("ordinary streams: %d of %d served; plain calls to the other service: %d of %d served", stream[1], stream[0], plain[1], plain[0])
	all := float64(stream[1]+plain[1]) / float64(stream[0]+plain[0])
	if float64(stream[1])/float64(stream[0]) < all/4 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// readStream sends one request and reads its answer, slowly or at once. A slow reader takes slowBytes a second.
func readStream(r *record, c call, address string, slowly bool, stop <-chan struct{}) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// The buffers of a small client on an ordinary network.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, c.text())
	r.printf("reader: request %s sent, slowly %v", c.id, slowly)
	if !slowly {
		go func() {
			<-stop
			conn.Close()
		}()
		n, err := io.Copy(io.Discard, conn)
		r.printf("reader: request %s: %d bytes read, %v", c.id, n, err)
		return
	}
	buffer := make([]byte, slowBytes)
	total := 0
	for {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		n, err := conn.Read(buffer)
		total += n
		if err != nil && !isTimeout(err) {
			r.printf("reader: request %s: %d bytes read, %v", c.id, total, err)
			return
		}
		select {
		case <-stop:
			r.printf("reader: request %s: %d bytes read, still open", c.id, total)
			return
		case <-time.After(time.Second):
		}
	}
}
