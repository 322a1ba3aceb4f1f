package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// fakeService records its start and its stop in log.
type fakeService struct {
	name     Name
	log      *[]string
	startErr error
}

func (f *fakeService) Start(context.Context, *Kernel) error {
	*f.log = append(*f.log, "start "+string(f.name))
	return f.startErr
}

func (f *fakeService) Stop(context.Context) error {
	*f.log = append(*f.log, "stop "+string(f.name))
	return nil
}

// TestStartFailureStopsEarlierServices guards against services that keep running
// after a later one failed to start.
func TestStartFailureStopsEarlierServices(t *testing.T) {
	is := is.New(t)
	var log []string
	k := New()
	is.NoErr(k.Register("a", &fakeService{name: "a", log: &log}))
	is.NoErr(k.Register("b", &fakeService{name: "b", log: &log, startErr: errors.New("port taken")}))
	is.True(k.Register("a", &fakeService{}) != nil)
	is.True(k.Start(context.Background()) != nil)
	is.Equal(log, []string{"start a", "start b", "stop a"})
	_, err := Find[*fakeService](k, "a")
	is.NoErr(err)
	_, err = Find[*fakeService](k, "c")
	is.True(err != nil)
}
