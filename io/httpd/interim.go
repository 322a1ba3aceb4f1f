package httpd

import "bufio"

// continueLine is the interim response to a caller that waits for it before it sends the
// body.
var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// sendContinue sends the interim response behind the responses to earlier requests, and
// waits until it was sent. Only writeResponses writes to the connection: an interim response
// from elsewhere could get into the body of another one, or be taken for an answer to an
// earlier request.
func (c *connection) sendContinue() {
	ex := &exchange{interim: make(chan struct{})}
	c.enqueue(ex)
	c.watch(ex.interim)
}

// writeContinue writes the interim response. After an error the connection is closed.
func (c *connection) writeContinue(w *bufio.Writer) error {
	c.setWriteDeadline()
	_, err := w.Write(continueLine)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}
