package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/httpc"
	"hickoryrail/io/mem"
)

// exchange is one request on one connection.
type exchange struct {
	conn     *targetConn
	req      *fasthttp.Request
	resp     *fasthttp.Response
	deadline time.Time
	// id is the caller's id of the request, which the response repeats; empty if
	// the dialect has none.
	id []byte
	// first is set if the connection has carried no other request.
	first bool
	// owned is set if the response surely belongs to the request.
	owned bool
	// bodyToEOF is set if the response body ended with its connection.
	bodyToEOF bool
	// stray counts the responses to other requests that preceded it.
	stray int
	// ctx ends when there is no more time for the exchange, and hold is the memory for the
	// body of its response.
	ctx  context.Context
	hold *mem.Hold
	// raw is the response body if it ended with its connection.
	raw []byte
	// taken is set once the response body belongs to another one.
	taken bool
}

// read reads the final response. A body that ends with the connection looks complete
// even when it was cut, so it is refused unless allowEOF indicates that the dialect has
// a signature, which callers check.
func (x *exchange) read(b *bufio.Reader, limit int, allowEOF bool) error {
	h := &x.resp.Header
	if err := httpc.ReadFinalHead(b, h); err != nil {
		return err
	}
	if !httpc.HasBody(x.resp) {
		return nil
	}
	length := h.ContentLength()
	if length == identity && !allowEOF {
		return errNoLength
	}
	if length >= 0 {
		if length <= limit && x.hold.Take(x.ctx, mem.Copies*ident.Bytes(length)) != nil {
			return mem.ErrNoRoom
		}
		return x.resp.ReadBody(b, limit)
	}
	if x.hold == nil {
		return x.readUnsized(b, length, limit)
	}
	x.conn.metered.Start(x.ctx, x.hold)
	err := x.readUnsized(b, length, limit)
	if noRoom := x.conn.metered.Stop(); noRoom != nil {
		return noRoom // err need not wrap it
	}
	return err
}

// readUnsized reads a body without a length.
func (x *exchange) readUnsized(b *bufio.Reader, length, limit int) error {
	if length == identity {
		x.bodyToEOF = true
		return x.readBodyToEOF(b, limit)
	}
	if err := x.resp.ReadBody(b, limit); err != nil {
		return err
	}
	return x.resp.Header.ReadTrailer(b)
}

// readBodyToEOF reads a body that ends with the connection. A reset is an error.
func (x *exchange) readBodyToEOF(b *bufio.Reader, limit int) error {
	body, err := io.ReadAll(io.LimitReader(b, int64(limit)+1))
	if err != nil {
		return err
	}
	if len(body) > limit {
		return fasthttp.ErrBodyTooLarge
	}
	x.raw = body
	return nil
}

// takeBody returns the response body, which the caller then owns with its memory.
func (x *exchange) takeBody() []byte {
	x.taken = true
	if x.bodyToEOF {
		return x.raw
	}
	return x.resp.SwapBody(nil)
}

// dropBody gives up the response body and its memory, unless it was taken. The pool of
// responses would keep its buffer.
func (x *exchange) dropBody() {
	if x.taken {
		return
	}
	x.raw = nil
	x.resp.SwapBody(nil)
	x.hold.Shrink(x.hold.Held())
}

// resultError returns the *result.Error of a failed exchange. If no byte was sent,
// the target cannot have run the request. After that the verdict is MayHaveRun even
// if the connection was closed while idle: the target may have read the request
// before it closed the connection.
func (x *exchange) resultError(ctx context.Context, err error) error {
	switch {
	case x.conn.sentBytes == 0:
		return result.NewError(result.NotRun, reasonNoBytes, err)
	case !time.Now().Before(x.deadline):
		return result.NewError(result.MayHaveRun, reasonDeadline, err)
	case ctx.Err() != nil:
		return result.NewError(result.MayHaveRun, leftReason(ctx), err)
	case errors.Is(err, mem.ErrNoRoom):
		return result.NewError(result.MayHaveRun, reasonAnswerMemory, err)
	case errors.Is(err, errSeveralIDs):
		return result.NewError(result.MayHaveRun, reasonUnidentified, err)
	case errors.Is(err, errNoLength):
		return result.NewError(result.MayHaveRun, reasonNoLength, err)
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, httpc.ErrHeadTooLarge):
		return result.NewError(result.MayHaveRun, reasonAnswerSize, err)
	case errors.Is(err, httpc.ErrMalformed):
		return result.NewError(result.MayHaveRun, reasonAnswerFormat, err)
	}
	return result.NewError(result.MayHaveRun, reasonTargetLost, err)
}
