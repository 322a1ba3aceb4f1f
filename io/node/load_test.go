package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hickoryrail/io/target"
)

// startLoad starts callers that send actions to a path, each to the nodes in turn.
func startLoad(callers int, path string, nodes ...*testNode) *load {
	l := &load{replies: make(map[string]reply)}
	for i := range callers {
		l.group.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: waitTimeout}
			for n := 0; !l.stop.Load(); n++ {
				action := fmt.Sprintf("%d-%d", i, n)
				l.add(action, call(client, nodes[(i+n)%len(nodes)].CallerAddress(), path, action))
				time.Sleep(time.Millisecond)
			}
		})
	}
	return l
}

// add records a reply.
func (l *load) add(action string, got reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies[action] = got
	if got.verdict == "Ran" {
		l.answered.Add(1)
	} else {
		l.failed.Add(1)
	}
}

// awaitAnswers waits until n more actions have been answered.
func (l *load) awaitAnswers(fleet *testFleet, n int64) {
	fleet.t.Helper()
	from := l.answered.Load()
	fleet.await("more answers", func() bool { return l.answered.Load() >= from+n })
}

// stopAndCheck stops the callers and compares their replies with the runs at the targets.
// Unless uncertain is set, every action that ran must have been answered.
func (l *load) stopAndCheck(t *testing.T, uncertain bool, targets ...*target.Server) {
	t.Helper()
	l.stop.Store(true)
	l.group.Wait()
	runs := make(map[string]int)
	for _, s := range targets {
		for action, n := range s.Runs() {
			runs[action] += n
		}
	}
	counts := make(map[string]int)
	for action, got := range l.replies {
		n := runs[action]
		counts[got.verdict]++
		switch {
		case n > 1, got.verdict == "NotRun" && n > 0, got.verdict == "Ran" && (n == 0 || got.body != action),
			!uncertain && got.verdict != "Ran" && got.verdict != "NotRun" && n > 0, !uncertain && got.verdict == "MayHaveRun":
			t.Errorf("action %s ran %d times; its caller got %+v", action, n, got)
		}
	}
	t.Logf("replies by verdict: %v", counts)
}

// call sends an action with its id as the body, which the target returns.
func call(client *http.Client, address, path, action string) reply {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(action))
	if err != nil {
		return reply{}
	}
	request.Header.Set(target.ActionHeader, action)
	response, err := client.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}
	}
	return reply{
		status: response.StatusCode, body: string(body),
		verdict: response.Header.Get("Hickoryrail-Verdict"), reason: response.Header.Get("Hickoryrail-Reason"),
	}
}
