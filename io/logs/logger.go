package logs

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// New returns a logger that writes one JSON object per line to w and discards lines
// below level. It is safe for concurrent use.
func New(w io.Writer, level log.Level) *log.Logger {
	return &log.Logger{Handler: json.New(w), Level: level}
}
