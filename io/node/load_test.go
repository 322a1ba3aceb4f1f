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

// newLoad starts callers, each with the paths and nodes in turn.
func newLoad(callers int, path string, nodes ...*slot) *load {
	l := &load{replies: make(map[string]reply)}
	for i := range callers {
		l.group.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: patience}
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

// more waits for further answers.
func (l *load) more(r *rig, n int64) {
	r.t.Helper()
	from := l.answered.Load()
	r.await("further answers", func() bool { return l.answered.Load() >= from+n })
}

// end ends the callers and compares their replies with the targets' runs. Without
// uncertain, every action that ran must have been answered.
func (l *load) end(t *testing.T, uncertain bool, targets ...*target.Server) {
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

// call sends an action; its id is its body, which the target's answer repeats.
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
