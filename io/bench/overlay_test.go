package bench

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOverlayCosts guards against a message rate of the membership that grows with the
// fleet, and against releases that do not converge.
func TestOverlayCosts(t *testing.T) {
	is := is.New(t)
	members, err := MemberCost(20, 100, 400)
	is.NoErr(err)
	releases, err := ReleaseConvergence(1, 50)
	is.NoErr(err)
	for _, table := range []*Table{members, releases} {
		if testing.Verbose() {
			is.NoErr(table.Print(os.Stdout))
		}
	}
	small, err := strconv.ParseFloat(members.Rows[0][2], 64)
	is.NoErr(err)
	large, err := strconv.ParseFloat(members.Rows[3][2], 64)
	is.NoErr(err)
	is.Equal(members.Rows[3][0], "400")
	is.True(large <= 1.1*small) // messages per second without updates
}

// TestControlTraffic guards against nodes that do not discover each other over real
// transports, and against control traffic above the budget of a node.
func TestControlTraffic(t *testing.T) {
	is := is.New(t)
	table, err := ControlTraffic(8, 2*time.Second)
	is.NoErr(err)
	if testing.Verbose() {
		is.NoErr(table.Print(os.Stdout))
	}
	is.Equal(table.Rows[0][1], "8")
	sent, err := strconv.ParseFloat(table.Rows[0][4], 64)
	is.NoErr(err)
	is.True(sent < 10_000)
}
