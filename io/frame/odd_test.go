package frame

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

// TestOddAddress guards against an unusable address of a node that ends the process,
// stalls the link, or is taken for an unknown outcome.
func TestOddAddress(t *testing.T) {
	is := is.New(t)
	received := make(chan []byte, 1)
	server := start(t, &Transport{Self: "b", OnCall: echo, OnControl: func(_ ident.NodeID, body []byte) { received <- body }})
	client := start(t, &Transport{Self: "a"})
	for _, address := range []string{"10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1", "[::1", "127.0.0.1:80:80", "\x00:1"} {
		client.SendControl("b", address, []byte("lost"))
		_, err := client.Call(testContext(t), "b", address, []byte("x"))
		is.Equal(result.Of(err), result.NotRun) // address
	}
	answer, err := client.Call(testContext(t), "b", server.Address(), []byte("x"))
	is.NoErr(err)
	is.Equal(string(answer), "a:x")
	client.SendControl("b", server.Address(), []byte("whole"))
	is.Equal(string(<-received), "whole")
}
