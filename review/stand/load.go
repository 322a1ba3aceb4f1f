package main

import (
	"fmt"
	"sync"
	"time"
)

// load is a set of requesters that each send a request after the other.
type load struct {
	done chan struct{}
	wg   sync.WaitGroup
}

// keepBusy starts stopCallers requesters on a node, spread over some seconds.
func (f *fleet) keepBusy(n *node) *load {
	l := &load{done: make(chan struct{})}
	for i := range stopCallers {
		l.wg.Go(func() {
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			for k := 0; !l.ended(); k++ {
				a := f.send(n, request{
					id: fmt.Sprintf("busy%d-%d", i, k), method: "POST", path: "/orders/busy", budget: stopBudget, work: stopWork,
				})
				if a.status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	return l
}

// ended reports whether the requesters have to stop.
func (l *load) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// stop ends the requesters.
func (l *load) stop() {
	close(l.done)
	l.wg.Wait()
}
