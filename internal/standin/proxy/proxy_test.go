package proxy

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that returns all data to the sender.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn) // The test has closed its side.
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, p *Proxy) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

func TestDataIsForwardedUnlessTheLinkIsSilent(t *testing.T) {
	for _, test := range []struct {
		name string
		link Link
	}{
		{"silent to the target", Link{SilentUp: true}},
		{"silent from the target", Link{SilentDown: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, err := New("127.0.0.1:0", echo(t))
			require.NoError(t, err)
			conn, reader := dial(t, p)
			_, err = io.WriteString(conn, "one\n")
			require.NoError(t, err)
			line, err := reader.ReadString('\n')
			require.NoError(t, err)
			require.Equal(t, "one\n", line)

			p.Set(test.link)
			_, err = io.WriteString(conn, "two\n")
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
			_, err = reader.ReadString('\n')
			require.ErrorContains(t, err, "timeout")

			p.Set(Link{})
			require.NoError(t, conn.SetReadDeadline(time.Time{}))
			line, err = reader.ReadString('\n')
			require.NoError(t, err)
			require.Equal(t, "two\n", line)
			require.NoError(t, p.Close())
		})
	}
}

func TestOpenConnectionsAreResetAndNewOnesRefused(t *testing.T) {
	p, err := New("127.0.0.1:0", echo(t))
	require.NoError(t, err)
	conn, reader := dial(t, p)
	_, err = io.WriteString(conn, "one\n")
	require.NoError(t, err)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	p.Reset()
	_, err = reader.ReadString('\n')
	require.ErrorContains(t, err, "reset")

	p.Set(Link{Refused: true})
	require.ErrorIs(t, firstRead(p), syscall.ECONNRESET)
	require.NoError(t, p.Close())
}

// firstRead opens a connection and reads from it. The reset of a refused connection can reach
// the dialing side before or after its dial returns.
func firstRead(p *Proxy) error {
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	return err
}
