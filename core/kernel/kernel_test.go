package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

type fake struct {
	name  Name
	log   *[]string
	fault error
}

func (f *fake) Start(context.Context, *Kernel) error {
	*f.log = append(*f.log, "start "+string(f.name))
	return f.fault
}

func (f *fake) Stop(context.Context) error {
	*f.log = append(*f.log, "stop "+string(f.name))
	return nil
}

// TestStartFailureStopsEarlierServices guards against services that keep running
// after a later one failed to start.
func TestStartFailureStopsEarlierServices(t *testing.T) {
	is := is.New(t)
	var log []string
	k := New()
	is.NoErr(k.Register("a", &fake{name: "a", log: &log}))
	is.NoErr(k.Register("b", &fake{name: "b", log: &log, fault: errors.New("port taken")}))
	is.True(k.Register("a", &fake{}) != nil)
	is.True(k.Start(context.Background()) != nil)
	is.Equal(log, []string{"start a", "start b", "stop a"})
	_, err := Find[*fake](k, "a")
	is.NoErr(err)
	_, err = Find[*fake](k, "c")
	is.True(err != nil)
}
