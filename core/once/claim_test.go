package once

import (
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/result"
)

// TestLateClaimIsReleased guards against a key that stays claimed although its submission
// was refused as not run, because the claim write took effect after the deadline.
func TestLateClaimIsReleased(t *testing.T) {
	is := is.New(t)
	c := &Claim{ID: "a", Fingerprint: Fingerprint("POST", []byte("/order"), nil), StoreMillis: 100}
	is.Equal(c.Begin(0)[0].Kind, WriteRow)
	refusal := c.Tick(100)
	is.Equal(refusal[0].Kind, RefuseRequest)
	is.Equal(refusal[0].Verdict, result.NotRun)
	release := c.RowWritten(150, Written, 5)
	is.Equal(release[0].Kind, WriteRow)
	is.Equal(string(release[0].Value), `{"ClaimID":"a","Fingerprint":"`+c.Fingerprint.String()+`","State":"Released"}`)
	is.Equal(int(release[0].Condition), 5)
	is.Equal(len(c.RowWritten(160, Written, 6)), 0)
	is.True(c.Done())
}
