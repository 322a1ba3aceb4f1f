package stub

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestServerFaults guards against a misspelt fault that is silently ignored, and
// against faults that remain after they are replaced.
func TestServerFaults(t *testing.T) {
	is := is.New(t)
	s := &Server{Listen: "127.0.0.1:0"}
	is.NoErr(s.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()

	post := func(body string) int {
		res, err := http.Post("http://"+s.Address()+"/faults", "application/json", strings.NewReader(body))
		is.NoErr(err)
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		return res.StatusCode
	}
	is.Equal(post(`{"Down":true,"LoseAnswers":2}`), 200)
	is.Equal(s.Faults(), Faults{Down: true, LoseAnswers: 2})
	is.Equal(post(`{"Downn":true}`), 400)
	is.Equal(s.Faults(), Faults{Down: true, LoseAnswers: 2})
	is.Equal(post(`{"SlowMillis":1.5}`), 200)
	is.Equal(s.Faults(), Faults{SlowMillis: 1.5})
	cancel()
	is.NoErr(<-done)
}
