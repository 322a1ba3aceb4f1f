// Package result provides verdicts, which indicate whether an operation may have taken
// effect, and errors that carry them.
package result

import (
	"errors"
	"fmt"
)

type (
	// Verdict indicates whether an operation took effect at its destination.
	Verdict uint8

	// Error is a failure together with its verdict.
	Error struct {
		// Verdict is NotRun only if the operation certainly had no effect.
		Verdict Verdict
		// Reason is a short, stable phrase for logs, metrics and callers.
		Reason string
		// Cause is the underlying error, or nil.
		Cause error
	}
)

const (
	// MayHaveRun means that the outcome is unknown. It is the zero value, so that an
	// unset verdict never claims that an operation can safely be repeated.
	MayHaveRun Verdict = iota
	// NotRun means that the operation certainly had no effect.
	NotRun
	// Ran means that the destination responded, whether with success or an error.
	Ran
)

// verdictNames holds the text of each verdict, indexed by its value.
var verdictNames = [...]string{"MayHaveRun", "NotRun", "Ran"}

// String returns the verdict's name, as used in headers and logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return verdictNames[MayHaveRun]
}

// ParseVerdict returns the verdict with the name text, or MayHaveRun and false if there
// is none.
func ParseVerdict(text string) (Verdict, bool) {
	for i, name := range verdictNames {
		if name == text {
			return Verdict(i), true
		}
	}
	return MayHaveRun, false
}

// NewError returns an error with a verdict, a reason and an optional cause.
func NewError(v Verdict, reason string, cause error) *Error {
	return &Error{Verdict: v, Reason: reason, Cause: cause}
}

// Error returns the reason, the verdict and, if set, the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Of returns the verdict of err: Ran if err is nil, and MayHaveRun if it wraps no Error.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// Reason returns the reason of the Error that err wraps, or the text of any other error.
func Reason(err error) string {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return err.Error()
}
