package keys

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
)

// TestFleetFiles guards against secrets that other users can read, and against a
// second authority that replaces the first.
func TestFleetFiles(t *testing.T) {
	is := is.New(t)
	directory := filepath.Join(t.TempDir(), "keys")
	_, err := CreateFleet(directory, []ident.NodeID{"attica-a.orders-1"})
	is.NoErr(err)
	for _, name := range []string{AuthorityKey, OperatorToken, "node-attica-a.orders-1.key"} {
		info, err := os.Stat(filepath.Join(directory, name))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(secretMode))
	}
	identity, err := LoadIdentity(directory, "attica-a.orders-1")
	is.NoErr(err)
	is.Equal(identity.Node, ident.NodeID("attica-a.orders-1"))
	token, err := LoadOperatorToken(directory)
	is.NoErr(err)
	digest, err := LoadOperatorDigest(directory)
	is.NoErr(err)
	is.True(Matches(digest, token))
	is.True(!Matches(digest, token+"x"))
	_, err = CreateFleet(directory, nil)
	is.True(err != nil) // the existing authority must not be replaced
}

// TestForeignIdentity guards against a node that starts with the certificate of
// another node or from another authority.
func TestForeignIdentity(t *testing.T) {
	is := is.New(t)
	own, other := t.TempDir(), t.TempDir()
	_, err := CreateFleet(own, []ident.NodeID{"a"})
	is.NoErr(err)
	_, err = CreateFleet(other, []ident.NodeID{"a", "b"})
	is.NoErr(err)
	for _, suffix := range []string{".key", ".crt"} {
		is.NoErr(os.Rename(nodePath(other, "b", suffix), nodePath(own, "b", suffix)))
		is.NoErr(os.Rename(nodePath(own, "a", suffix), nodePath(own, "c", suffix)))
	}
	_, err = LoadIdentity(own, "b")
	is.True(err != nil) // other authority
	_, err = LoadIdentity(own, "c")
	is.True(err != nil) // other node
	for _, bad := range []ident.NodeID{"", "10.0.0.1", "a/b", "..", "a..b"} {
		is.True(CheckNodeID(bad) != nil)
	}
}
