package admin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/io/keys"
	"hickoryrail/io/stats"
)

type (
	// testServer is any of the servers of this package.
	testServer interface {
		Open() error
		Address() string
		Run(ctx context.Context) error
	}

	// fakeControl is a TargetControl, EditControl and StatusSource that records calls
	// and returns preset results.
	fakeControl struct {
		mu     sync.Mutex
		calls  []string
		edits  []Edit
		status Status
		err    error
		out    Outcome
		// entered, if not nil, is closed by Submit, which then waits for release.
		entered, release chan struct{}
		metrics          *prometheus.Registry
	}
)

const token = "correct-token"

// The seed of the property tests is fixed, so that a failure can be repeated.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

func (f *fakeControl) record(format string, args ...any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
	return f.err
}

func (f *fakeControl) Announce(a Announcement) error { return f.record("announce %+v", a) }
func (f *fakeControl) Renew(r Renewal) error         { return f.record("renew %+v", r) }
func (f *fakeControl) Drain(t ident.TargetID) error  { return f.record("drain %s", t) }
func (f *fakeControl) Leave(t ident.TargetID) error  { return f.record("leave %s", t) }
func (f *fakeControl) Status() Status                { return f.status }
func (f *fakeControl) Fleet() []NodeStatus           { return []NodeStatus{{Node: "a1", Held: 7}} }

func (f *fakeControl) Submit(_ context.Context, e Edit) (Outcome, error) {
	if f.entered != nil {
		close(f.entered)
		<-f.release
	}
	f.edits = append(f.edits, e)
	return f.out, f.record("submit %s", e.EditID)
}

func (f *fakeControl) History(_ context.Context, limit int) ([]HistoryEntry, error) {
	return []HistoryEntry{{Version: ident.Version(limit)}}, f.err
}

func (f *fakeControl) Configuration(context.Context) (model.Release, error) {
	return model.NewRelease(3, "e3", configuration())
}

// configuration returns a small valid configuration.
func configuration() model.Configuration {
	return model.Configuration{
		Inventory: model.Inventory{
			FailureDomains: []model.FailureDomain{{Name: "attica-a", Region: "attica"}},
			Services:       []model.Service{{Name: "orders", Slots: 6, Connections: 130}},
		},
		Rules: model.Rules{Routes: []model.Route{{
			Name: "place", PathPrefix: "/orders", Service: "orders", Class: model.Action, TimeoutMillis: 2000, MaxAttempts: 2,
		}}},
	}
}

// start runs a server until the test ends and returns its address.
func start(t *testing.T, r testServer) string {
	t.Helper()
	if err := r.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	return r.Address()
}

// do sends one request on a new connection and returns the status and the body.
func do(t *testing.T, method, url, bearer, body string) (int, string) {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if bearer != "" {
		r.Header.Set("Authorization", bearer)
	}
	w, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	return w.StatusCode, string(text)
}

// operators starts an OperatorServer on f and returns its base URL.
func operators(t *testing.T, f *fakeControl) string {
	t.Helper()
	f.metrics = prometheus.NewRegistry()
	directory := t.TempDir()
	if _, err := keys.CreateFleet(directory, []ident.NodeID{"a1"}); err != nil {
		t.Fatal(err)
	}
	identity, err := keys.LoadIdentity(directory, "a1")
	if err != nil {
		t.Fatal(err)
	}
	return "https://" + start(t, &OperatorServer{
		Listen: "127.0.0.1:0", Certificate: identity.Certificate, Credential: ident.Sum([]byte(token)), Control: f, Source: f,
		Registry: f.metrics,
	})
}

// editText returns the request body of an edit with extra fields.
func editText(extra string) string {
	document, _ := json.Marshal(NewDocument(configuration()))
	return fmt.Sprintf(`{"EditID":"e1","Base":2,"Operator":"ann","Configuration":%s%s}`, document, extra)
}

// TestStatusServer guards against a node that is reported ready while it has a reason not to be.
func TestStatusServer(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{status: Status{Node: "a1", Reasons: []string{"no version floor"}}}
	base := "http://" + start(t, &StatusServer{Listen: "127.0.0.1:0", Metrics: stats.NewRegistry(), Source: f})
	code, text := do(t, "GET", base+"/readyz", "", "")
	is.Equal(code, 503)
	is.True(strings.Contains(text, "no version floor"))
	f.status.Reasons = nil
	code, _ = do(t, "GET", base+"/readyz", "", "")
	is.Equal(code, 200)
	_, text = do(t, "GET", base+"/status", "", "")
	is.True(strings.Contains(text, `"Node":"a1"`))
	_, text = do(t, "GET", base+"/metrics", "", "")
	is.True(strings.Contains(text, "go_goroutines"))
	code, _ = do(t, "GET", base+"/healthz", "", "")
	is.Equal(code, 200)
}

// TestTargets guards against an invalid request that reaches the TargetControl,
// especially one for the target of another node.
func TestTargets(t *testing.T) {
	f := &fakeControl{}
	base := "http://" + start(t, &TargetServer{Listen: "127.0.0.1:0", Target: "t1", Service: "orders", Control: f})
	const good = `{"Target":"t1","Service":"orders","Address":"127.0.0.1:9","InFlight":2}`
	cases := []struct {
		path, body string
		code       int
		call       string
	}{
		{"/announce", good, 204, "announce {Target:t1 Service:orders Address:127.0.0.1:9 InFlight:2 Starting:false}"},
		{"/renew", `{"Target":"t1","Starting":true}`, 204, "renew {Target:t1 InFlight:0 Starting:true}"},
		{"/drain", `{"Target":"t1"}`, 204, "drain t1"},
		{"/leave", `{"Target":"t1"}`, 204, "leave t1"},
		{"/announce", strings.Replace(good, "t1", "t2", 1), 403, ""},
		{"/announce", strings.Replace(good, "orders", "billing", 1), 403, ""},
		{"/announce", strings.Replace(good, "127.0.0.1:9", "0.0.0.0:9", 1), 400, ""},
		{"/announce", strings.Replace(good, "127.0.0.1:9", "example.net:9", 1), 400, ""},
		{"/announce", strings.Replace(good, "2", "-2", 1), 400, ""},
		{"/announce", strings.Replace(good, "InFlight", "Inflight2", 1), 400, ""},
		{"/announce", strings.Replace(good, "}", `,"inflight":3}`, 1), 400, ""},
		{"/announce", good + "{}", 400, ""},
		{"/announce", "[]", 400, ""},
		{"/announce", "", 400, ""},
		{"/announce", good + strings.Repeat(" ", targetBodyBytes), 413, ""},
		{"/renew", `{"Target":"t2"}`, 403, ""},
		{"/renew", `{"Target":"t1","InFlight":1000000}`, 400, ""},
		{"/drain", `{"Target":"t2"}`, 403, ""},
		{"/leave", `{"Target":""}`, 403, ""},
		{"/leave", `{"Target":"t1","Now":true}`, 400, ""},
		{"/depart", `{"Target":"t1"}`, 404, ""},
	}
	for _, c := range cases {
		t.Run(c.path+c.body[:min(len(c.body), 60)], func(t *testing.T) {
			is := is.New(t)
			f.calls = nil
			code, text := do(t, "POST", base+c.path, "", c.body)
			is.Equal(code, c.code)
			is.Equal(strings.Join(f.calls, ";"), c.call)
			is.True(code < 300 || strings.Contains(text, `"Error":"`))
		})
	}
	f.err = ErrUnknownTarget
	code, _ := do(t, "POST", base+"/renew", "", `{"Target":"t1"}`)
	is.New(t).Equal(code, 404)
}

// TestTargetsIngressOnly guards against a target that is accepted by a node without a
// Target setting; an empty name must not match the empty setting.
func TestTargetsIngressOnly(t *testing.T) {
	f := &fakeControl{}
	base := "http://" + start(t, &TargetServer{Listen: "127.0.0.1:0", Control: f})
	code, _ := do(t, "POST", base+"/announce", "", `{"Target":"","Service":"","Address":"127.0.0.1:9"}`)
	is.New(t).Equal(code, 403)
	is.New(t).Equal(len(f.calls), 0)
}

// TestCredential guards against a wrong credential that is accepted, and against a
// response that reveals whether a credential is wrong or missing, or whether a path
// exists.
func TestCredential(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	base := operators(t, f)
	want := ""
	for _, bearer := range []string{
		"", "Bearer", "Bearer ", "Bearer wrong", "bearer " + token, token, "Bearer " + token + "x",
		"Bearer " + token[1:], "Basic " + token, "Bearer " + ident.Sum([]byte(token)).String(),
	} {
		for _, path := range []string{"/edits", "/status", "/nothing"} {
			code, text := do(t, "POST", base+path, bearer, editText(""))
			is.Equal(code, 401)
			is.True(want == "" || text == want)
			want = text
		}
	}
	is.Equal(len(f.calls), 0)
	code, _ := do(t, "GET", base+"/status", "Bearer "+token, "")
	is.Equal(code, 200)
	families, err := f.metrics.Gather()
	is.NoErr(err)
	is.Equal(families[0].GetMetric()[0].GetCounter().GetValue(), 30.0) // each refusal counts
}

// TestEdits guards against a malformed edit that reaches the EditControl and against an
// outcome or verdict that is reported as another one.
func TestEdits(t *testing.T) {
	refusedByStore := result.NewError(result.NotRun, "platform is down", nil)
	cases := []struct {
		name, body string
		out        Outcome
		err        error
		code       int
		text       string
		passed     bool
	}{
		{"accepted", editText(""), Outcome{State: Accepted, Version: 3}, nil, 200, `"Version":3`, true},
		{"scheduled", editText(`,"ReleaseMillis":5`), Outcome{State: Scheduled}, nil, 202, "Scheduled", true},
		{"clash", editText(""), Outcome{State: Refused, Clashes: []string{"Service/orders/Slots"}}, nil, 409, "Service/orders/Slots", true},
		{"dry run", editText(`,"DryRun":true`), Outcome{State: Valid}, nil, 200, "Valid", true},
		{"store down", editText(""), Outcome{}, refusedByStore, 503, "NotRun", true},
		{"answer lost", editText(""), Outcome{}, errors.New("connection closed"), 502, "MayHaveRun", true},
		{"unknown field", editText(`,"Force":true`), Outcome{}, nil, 400, "Force", false},
		{"repeated field", editText(`,"DryRun":true,"DryRun":false`), Outcome{}, nil, 400, "repeated", false},
		{"no operator", strings.Replace(editText(""), "ann", "", 1), Outcome{}, nil, 400, "Operator", false},
		{"unknown class", strings.Replace(editText(""), `"Action"`, `"Fast"`, 1), Outcome{}, nil, 422, "Check, Action, Browse", false},
		{"invalid", strings.Replace(editText(""), `"Slots":6`, `"Slots":0`, 1), Outcome{}, nil, 422, "Service/orders/Slots", false},
		{"unknown service", strings.Replace(editText(""), `"Service":"orders"`, `"Service":"tea"`, 1), Outcome{}, nil, 422, "a service of the inventory", false},
		{"too large", editText(strings.Repeat(" ", operatorBodyBytes)), Outcome{}, nil, 413, "", false},
	}
	f := &fakeControl{}
	base := operators(t, f)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f.out, f.err, f.edits = c.out, c.err, nil
			code, text := do(t, "POST", base+"/edits", "Bearer "+token, c.body)
			is.Equal(code, c.code)
			is.True(strings.Contains(text, c.text))
			is.Equal(len(f.edits) == 1, c.passed)
			if c.passed {
				is.Equal(f.edits[0].Configuration.Digest(), configuration().Digest())
				is.Equal(f.edits[0].Base, ident.Version(2))
			}
		})
	}
}

// TestDocument guards against a field of a configuration that is lost or changed by its
// encoding as a Document.
func TestDocument(t *testing.T) {
	name := rapid.StringMatching(`[a-z]{1,4}`)
	rapid.Check(t, func(t *rapid.T) {
		var c model.Configuration
		for range rapid.IntRange(0, 3).Draw(t, "routes") {
			c.Rules.Routes = append(c.Rules.Routes, model.Route{
				Name: ident.RouteName(name.Draw(t, "name")), PathPrefix: "/" + name.Draw(t, "prefix"),
				Service: ident.ServiceName(name.Draw(t, "service")), Class: model.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Idempotent: rapid.Bool().Draw(t, "idempotent"), TimeoutMillis: clock.Millis(rapid.Float64Range(0.001, 1e5).Draw(t, "timeout")),
				MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"), HedgeAfterMillis: clock.Millis(rapid.IntRange(-1, 9).Draw(t, "hedge")),
				Anonymous: rapid.Bool().Draw(t, "anonymous"),
			})
		}
		for range rapid.IntRange(0, 3).Draw(t, "teams") {
			c.Rules.Teams = append(c.Rules.Teams, drawTeam(t))
		}
		c.Inventory.Services = []model.Service{{Name: ident.ServiceName(name.Draw(t, "inventory")), Slots: ident.Slots(rapid.IntRange(1, 9).Draw(t, "slots"))}}
		text, err := json.Marshal(NewDocument(c))
		if err != nil {
			t.Fatal(err)
		}
		d, err := decode[Document](text)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := d.Configuration(); err != nil || !reflect.DeepEqual(again, c) {
			t.Fatalf("%+v became %+v: %v", c, again, err)
		}
	})
}

// TestFarTooLarge guards against a body far above the limit that reaches the EditControl.
// The server closes the connection without reading it, so the client may not receive
// the response.
func TestFarTooLarge(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	base := operators(t, f)
	r, err := http.NewRequest("POST", base+"/edits", strings.NewReader(editText(strings.Repeat(" ", 4*operatorBodyBytes))))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+token)
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	if w, err := transport.RoundTrip(r); err == nil {
		is.Equal(w.StatusCode, 413)
		is.NoErr(w.Body.Close())
	}
	is.Equal(len(f.edits), 0)
}

// TestOperatorReads guards against responses that lack fields or exceed the limit.
func TestOperatorReads(t *testing.T) {
	is := is.New(t)
	base := operators(t, &fakeControl{})
	for path, want := range map[string]string{
		"/history":         `[{"Version":50,`,
		"/history?Limit=2": `[{"Version":2,`,
		"/history?Limit=0": `1 to 1000`,
		"/configuration":   `"Class":"Action"`,
		"/fleet":           `"Held":7`,
	} {
		_, text := do(t, "GET", base+path, "Bearer "+token, "")
		is.True(strings.Contains(text, want))
	}
}
