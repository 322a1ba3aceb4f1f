package httpc

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// chunked is the value by which fasthttp's ContentLength reports a body in chunks.
const chunked = -1

// Transport is the transport of a fasthttp client that refuses answers whose head is
// malformed. It ignores the client's ReadTimeout and WriteTimeout; the timeout of the request
// bounds each call.
type Transport struct{}

var _ fasthttp.RoundTripper = Transport{}

// RoundTrip sends req once and reads the answer into resp. retry reports whether the client
// may send req again, which it does only if its own rules allow that as well.
func (Transport) RoundTrip(c *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	cc, err := c.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	if err := exchange(c, cc.Conn(), req, resp); err != nil {
		c.CloseConn(cc)
		return !errors.Is(err, ErrMalformed) && !errors.Is(err, fasthttp.ErrBodyTooLarge), err
	}
	if req.ConnectionClose() || resp.ConnectionClose() {
		c.CloseConn(cc)
		return false, nil
	}
	c.ReleaseConn(cc)
	return false, nil
}

// exchange sends req on conn and reads the answer.
func exchange(c *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	var until time.Time // none
	if timeout := req.GetTimeOut(); timeout > 0 {
		until = time.Now().Add(timeout)
	}
	if err := conn.SetDeadline(until); err != nil {
		return err
	}
	w := c.AcquireWriter(conn)
	defer c.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	b := c.AcquireReader(conn)
	defer c.ReleaseReader(b)
	resp.SkipBody = req.Header.IsHead()
	return readAnswer(b, resp, c.MaxResponseBodySize)
}

// readAnswer reads an answer with a body of at most limit bytes; 0 means no limit.
func readAnswer(b *bufio.Reader, resp *fasthttp.Response, limit int) error {
	h := &resp.Header
	if err := ReadFinalHead(b, h); err != nil {
		return err
	}
	if !HasBody(resp) {
		return nil
	}
	inChunks := h.ContentLength() == chunked
	if err := resp.ReadBody(b, limit); err != nil {
		return err
	}
	if inChunks {
		return h.ReadTrailer(b)
	}
	return nil
}
