package plat_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/clock"
	"hickoryrail/core/order"
	"hickoryrail/io/plat"
	"hickoryrail/io/stub"
)

// TestMeter guards against calls that are not counted or are counted with a wrong
// outcome.
func TestMeter(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	table := &stub.Table{}
	m := &plat.Meter{Store: table, Clock: clock.NewManual(0), Registry: registry}
	is.NoErr(m.Open())
	is.True((&plat.Meter{Registry: registry}).Open() != nil) // duplicate registration
	s := submitter(m, clock.NewManual(0))
	_, err := s.Submit(context.Background(), order.Edit{ID: "a", Configuration: configurationOf(1)})
	is.NoErr(err)
	_, err = m.WriteRow(context.Background(), order.HeadKey, nil, 0)
	is.True(err != nil)

	counts, total := table.Counts(), map[string]float64{}
	families, err := registry.Gather()
	is.NoErr(err)
	for _, f := range families {
		for _, metric := range f.GetMetric() {
			if f.GetName() == "hickoryrail_platform_calls_total" {
				total[metric.GetLabel()[0].GetValue()+metric.GetLabel()[1].GetValue()] = metric.GetCounter().GetValue()
			}
		}
	}
	is.Equal(total, map[string]float64{
		"ReadRowRan": float64(counts.RowReads), "WriteRowRan": float64(counts.RowWrites - counts.RowConflicts),
		"WriteRowConflict": 1, "PutObjectRan": float64(counts.ObjectWrites),
	})
}
