package conf

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/route"
)

// TestHostedSettings guards against settings for PlatformRows that are refused by rules
// for PlatformObjects, such as a loopback TargetAddress, or that are accepted without
// ReadyAddress or with bounds that have no name.
func TestHostedSettings(t *testing.T) {
	is := is.New(t)
	base := "Node = \"a\"\nFailureDomain = \"d\"\nRegion = \"r\"\nService = \"s\"\nPlatformURL = \"http://10.0.0.1:1\"\n" +
		"CallerAddress = \"10.0.0.9:1\"\nTargetAddress = \"10.0.0.9:2\"\nPeerAddress = \"10.0.0.9:3\"\n"
	_, err := Parse(base)
	is.True(err != nil) // TargetAddress is not on a loopback interface, and Target is missing
	_, err = Parse(base + "Platform = \"rows\"\n")
	is.True(err != nil) // ReadyAddress is missing
	s, err := Parse(base + "Platform = \"rows\"\nReadyAddress = \"10.0.0.9:4\"\nPlatformBounds = [\"a=1\",\"b=2\"]\n")
	is.NoErr(err)
	is.Equal(s.Platform, PlatformRows)
	is.Equal(s.PlatformBounds, []string{"a=1", "b=2"})
	for _, nameless := range []string{"6", "=6", ""} {
		_, err = Parse(base + fmt.Sprintf("Platform = \"rows\"\nReadyAddress = \"10.0.0.9:4\"\nPlatformBounds = [%q]\n", nameless))
		is.True(err != nil)
	}
	_, err = Parse(base + "Platform = \"other\"\n")
	is.True(err != nil)
}

// TestBalance guards against a mode of load balancing that is not applied, and against an
// unknown one that is taken for a known one.
func TestBalance(t *testing.T) {
	is := is.New(t)
	const base = "Node = \"a\"\nFailureDomain = \"d\"\nRegion = \"r\"\nPlatformURL = \"http://10.0.0.1:1\"\n"
	for text, want := range map[string]route.BalanceMode{
		"": route.BalanceAuto, "Balance = \"auto\"\n": route.BalanceAuto, "Balance = \"on\"\n": route.BalanceOn, "Balance = \"off\"\n": route.BalanceOff,
	} {
		s, err := Parse(base + text)
		is.NoErr(err)
		is.Equal(s.Balance, want)
	}
	for _, text := range []string{"\"ON\"", "\"\"", "true", "1"} {
		_, err := Parse(base + "Balance = " + text + "\n")
		is.True(err != nil)
	}
}
