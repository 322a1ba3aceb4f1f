package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lineTarget is a target that records the request lines and the hosts that it gets.
type lineTarget struct {
	address string

	mu    sync.Mutex
	lines []string
	hosts []string
}

// newLineTarget starts a target.
func newLineTarget(tb testing.TB) *lineTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	s := &lineTarget{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// serve answers the requests of a connection, which have no body.
func (s *lineTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		line, err := b.ReadString('\n')
		if err != nil {
			return
		}
		host := ""
		for {
			field, err := b.ReadString('\n')
			if err != nil {
				return
			}
			if field == "\r\n" {
				break
			}
			if name, value, _ := strings.Cut(field, ":"); strings.EqualFold(name, "Host") {
				host = strings.TrimSpace(value)
			}
		}
		s.mu.Lock()
		s.lines, s.hosts = append(s.lines, strings.TrimSuffix(line, "\r\n")), append(s.hosts, host)
		s.mu.Unlock()
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// take returns the request lines and hosts since the last call.
func (s *lineTarget) take() (lines, hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, hosts = s.lines, s.hosts
	s.lines, s.hosts = nil, nil
	return lines, hosts
}

// newLineIngress starts an ingress in front of a target.
func newLineIngress(tb testing.TB) (*Ingress, *lineTarget) {
	s := newLineTarget(tb)
	return newIngress(tb, newFleet(tb, 64, &fakeTarget{address: s.address})), s
}

// sendTarget sends a request with a target and returns the status, 0 without an answer.
func sendTarget(tb testing.TB, in *Ingress, target string) int {
	c, err := net.Dial("tcp", in.Address())
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: field.example\r\nConnection: close\r\n\r\n", target); err != nil {
		tb.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// TestRequestTargetIsForwarded guards against a request that reaches its target with another
// path or query than it was sent with, in each form of a request target, and against a host
// of an absolute one that does not count.
func TestRequestTargetIsForwarded(t *testing.T) {
	in, s := newLineIngress(t)
	for _, uri := range []string{
		"/check", "/check/", "/check/box%2F12", "/check//lids", "/check/a/./b", "/check/%41", "/check/x?", "/check/x?a&b=&c",
		"/check/x?y=/../z", "/check/x?u=http://a/b", "/check/;v=1", "/check/%E4%F6", "/check/a:b@c",
	} {
		for prefix, host := range map[string]string{
			"": "field.example", "http://other.example": "other.example", "HTTP://other.example:8080": "other.example:8080", "https://[::1]:80": "[::1]:80",
		} {
			t.Run(prefix+uri, func(t *testing.T) {
				is := is.New(t)
				is.Equal(sendTarget(t, in, prefix+uri), http.StatusOK)
				lines, hosts := s.take()
				is.Equal(lines, []string{"GET " + uri + " HTTP/1.1"})
				is.Equal(hosts, []string{host})
			})
		}
	}
}

// TestRequestTargetIsRefused guards against targets that two readings route differently, and
// against those that are in no form of a request for a route: they reach no target.
func TestRequestTargetIsRefused(t *testing.T) {
	in, s := newLineIngress(t)
	for target, status := range map[string]int{
		"/check/../order": 400, "/check/%2e%2e/order": 400, "/x/..//check": 400, "//check/x": 400,
		"http://a.example/check/../order": 400, "http://a.example/check/%2e%2e/order": 400, "http://a.example//check/x": 400,
		"/check/x#y": 400, "http://a.example/check/x#y": 400, "*": 400, "a.example:443": 400, "check": 400, "http:///check": 400,
		"http://user@a.example/check": 400, "ftp://a.example/check": 400, "http://a.example": 404, "http://a.example?q": 404, "/none": 404,
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			is.Equal(sendTarget(t, in, target), status)
			lines, _ := s.take()
			is.Equal(len(lines), 0)
		})
	}
}

// FuzzRequestTarget guards against a request that reaches its target with another path or
// query than it was sent with.
func FuzzRequestTarget(f *testing.F) {
	for _, target := range []string{
		"/check/box%2F12", "http://h/check//x", "/check/../order", "http://h/check/%2e%2e/order?x", "/check?#", "*", "HTTPS://a:1/check/%", "http://h?/check",
	} {
		f.Add(target)
	}
	in, s := newLineIngress(f)
	f.Fuzz(func(t *testing.T, target string) {
		if target == "" || strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c == 0x7f }) || len(target) > 2000 {
			t.Skip("not one word of a request line")
		}
		status := sendTarget(t, in, target)
		lines, _ := s.take()
		switch {
		case len(lines) == 0 && status >= 400 && status < 500:
		case len(lines) == 1 && status == http.StatusOK:
			got := strings.TrimSuffix(strings.TrimPrefix(lines[0], "GET "), " HTTP/1.1")
			if got != target && !isAbsoluteForm(target, got) {
				t.Fatalf("%q reached the target as %q", target, got)
			}
		default:
			t.Fatalf("%q: status %d, the target got %q", target, status, lines)
		}
	})
}

// isAbsoluteForm reports whether target is an absolute form of the origin form uri.
func isAbsoluteForm(target, uri string) bool {
	start, _, found := strings.Cut(target, "://")
	if !found || url.PathEscape(start) != start {
		return false
	}
	return strings.HasSuffix(target, uri) && !strings.ContainsAny(strings.TrimSuffix(target[len(start)+3:], uri), "/?#")
}
