package sock

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTimeout bounds waits that end much earlier unless there is a fault.
const testTimeout = 5 * time.Second

// pair returns both ends of a loopback connection.
func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a, b
}

// await waits until the probe returns a state.
func await(t *testing.T, p Probe, want State) {
	t.Helper()
	for end := time.Now().Add(testTimeout); p.Peek() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state is %d, not %d", p.Peek(), want)
		}
	}
}

// TestPeek guards against a state that is wrong after data, a close or a reset, and
// against a probe that consumes data.
func TestPeek(t *testing.T) {
	is := is.New(t)
	a, b := pair(t)
	p := NewProbe(b)
	is.Equal(p.Peek(), Idle)
	_, err := a.Write([]byte("x"))
	is.NoErr(err)
	await(t, p, Data)
	is.NoErr(a.Close())
	is.Equal(p.Peek(), Data) // the close is behind the unread byte
	var buffer [8]byte
	n, err := b.Read(buffer[:])
	is.NoErr(err)
	is.Equal(n, 1)
	await(t, p, Ended)

	c, d := pair(t)
	is.NoErr(c.(*net.TCPConn).SetLinger(0))
	is.NoErr(c.Close()) // resets the connection
	await(t, NewProbe(d), Ended)
	is.NoErr(d.Close())
	is.Equal(NewProbe(d).Peek(), Ended)
	is.Equal(Probe{}.Peek(), Idle)
}
