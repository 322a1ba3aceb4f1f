package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"

	"github.com/quic-go/quic-go"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

const (
	// initialBufferBytes is the size of the first buffer for a body; most bodies fit.
	initialBufferBytes = 2 << 10
	// connectAttempts bounds the connections tried for a call; a connection can be
	// retired after it was chosen and before the call begins.
	connectAttempts = 2
)

var (
	// errTooLarge reports a body above the limit.
	errTooLarge = errors.New("body exceeds the limit")
	// errNoConnection reports an id for which no connection is open.
	errNoConnection = errors.New("connection does not exist")
	// errEcho reports an echo reply with other content than the request.
	errEcho = errors.New("echo reply differs from the request")
)

// Call sends a request to a node and returns the complete answer. The error is a
// *result.Error: NotRun if nothing of the request was sent or the peer refused it
// without running it, MayHaveRun otherwise. When ctx ends, the stream is reset and
// the handler's ctx ends too.
func (t *Transport) Call(ctx context.Context, to ident.NodeID, address string, body []byte) ([]byte, error) {
	return t.call(ctx, to, address, body, false)
}

// CallFresh is Call on a new connection. Later calls use the new connection too.
func (t *Transport) CallFresh(ctx context.Context, to ident.NodeID, address string, body []byte) ([]byte, error) {
	return t.call(ctx, to, address, body, true)
}

// call makes a call and counts its verdict.
func (t *Transport) call(ctx context.Context, to ident.NodeID, address string, body []byte, fresh bool) ([]byte, error) {
	answer, err := t.attempt(ctx, to, address, body, fresh)
	t.metrics.calls.WithLabelValues(result.Of(err).String()).Inc()
	return answer, err
}

// attempt connects to the node and sends a request.
func (t *Transport) attempt(ctx context.Context, to ident.NodeID, address string, body []byte, fresh bool) ([]byte, error) {
	if len(body) > t.Limits.BodyBytes {
		return nil, result.NewError(result.NotRun, reasonTooLarge, errTooLarge)
	}
	for range connectAttempts {
		c, err := t.connect(ctx, to, address, fresh)
		if err != nil {
			return nil, err
		}
		if c.begin() {
			return t.exchange(ctx, c, frameCall, body)
		}
	}
	return nil, result.NewError(result.NotRun, reasonRetired, nil)
}

// Echo sends a few bytes on a dialed call connection and returns nil once the peer has
// sent them back. It does not count as a call.
func (t *Transport) Echo(ctx context.Context, id ConnectionID) error {
	t.mu.Lock()
	c := t.dialed[id]
	t.mu.Unlock()
	if c == nil {
		return result.NewError(result.NotRun, reasonLost, errNoConnection)
	}
	if !c.begin() {
		return result.NewError(result.NotRun, reasonRetired, nil)
	}
	sent := []byte(t.Self)
	got, err := t.exchange(ctx, c, frameEcho, sent)
	if err == nil && !bytes.Equal(got, sent) {
		err = result.NewError(result.Ran, reasonReset, errEcho)
	}
	return err
}

// exchange sends a frame on a new stream and reads the answer to its end. The caller
// must have called c.begin.
func (t *Transport) exchange(ctx context.Context, c *connection, frame byte, body []byte) ([]byte, error) {
	defer c.finish()
	s, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil, contextError(ctx, result.NotRun)
		}
		t.forget(c)
		return nil, result.NewError(result.NotRun, reasonStream, err)
	}
	if ctx.Err() != nil { // it ended while the stream was opened
		resetStream(s)
		return nil, contextError(ctx, result.NotRun)
	}
	if frame == frameCall {
		t.emit(Sent, c, 0)
		defer t.emit(Ended, c, 0)
	}
	stop := context.AfterFunc(ctx, func() { resetStream(s) })
	defer stop()
	request := make([]byte, 0, 1+len(body))
	request = append(append(request, frame), body...)
	if _, err := s.Write(request); err != nil {
		resetStream(s)
		return nil, callError(ctx, err)
	}
	// Close fails only on a stream that was reset; the read then returns the error.
	_ = s.Close()
	answer, err := readAll(s, t.Limits.BodyBytes, func(n int) { t.emit(Progress, c, n) })
	if err != nil {
		resetStream(s)
		return nil, callError(ctx, err)
	}
	return answer, nil
}

// resetStream resets both directions of a stream, which ends the ctx of the peer's
// handler.
func resetStream(s *quic.Stream) {
	s.CancelWrite(codeCancelled)
	s.CancelRead(codeCancelled)
}

// readAll reads up to limit bytes until the end of the stream and passes the size of
// each read to progress. A reset stream or lost connection gives an error, never a
// truncated body.
func readAll(r io.Reader, limit int, progress func(int)) ([]byte, error) {
	body := make([]byte, 0, min(limit+1, initialBufferBytes))
	for {
		if len(body) == cap(body) {
			body = slices.Grow(body, len(body))
		}
		n, err := r.Read(body[len(body):cap(body)])
		if n > 0 {
			progress(n)
		}
		body = body[:len(body)+n]
		if len(body) > limit {
			return nil, errTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// callError returns the error, with its verdict, of a call for which some bytes may have
// been sent.
func callError(ctx context.Context, err error) *result.Error {
	var stream *quic.StreamError
	var application *quic.ApplicationError
	var transport *quic.TransportError
	switch {
	case errors.As(err, &stream) && stream.Remote && stream.ErrorCode == codeNotRun,
		errors.As(err, &application) && application.Remote && application.ErrorCode == codeNotRun:
		return result.NewError(result.NotRun, reasonRefused, err)
	case errors.As(err, &transport) && transport.Remote && transport.ErrorCode == quic.ConnectionRefused:
		// The peer stopped before it accepted the connection and so accepted no stream on
		// it, although this side's handshake was complete.
		return result.NewError(result.NotRun, reasonRefused, err)
	case errors.As(err, &transport) && transport.ErrorCode.IsCryptoError():
		// The peer rejected the certificate. The dialing side completes its handshake
		// first, but the peer accepts no stream before its own side is complete.
		return result.NewError(result.NotRun, reasonDial, err)
	case ctx.Err() != nil:
		return contextError(ctx, result.MayHaveRun)
	case errors.Is(err, errTooLarge):
		return result.NewError(result.MayHaveRun, reasonTooLarge, err)
	case stream != nil:
		return result.NewError(result.MayHaveRun, reasonReset, err)
	}
	return result.NewError(result.MayHaveRun, reasonLost, err)
}
