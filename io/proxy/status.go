package proxy

import (
	"github.com/valyala/fasthttp"

	"hickoryrail/core/admit"
	"hickoryrail/core/once"
	"hickoryrail/core/result"
	"hickoryrail/core/retry"
	"hickoryrail/io/wire"
)

// statusByReason holds the HTTP status of each reason that has its own.
var statusByReason = map[string]int{
	reasonNoRoute:         fasthttp.StatusNotFound,
	reasonPath:            fasthttp.StatusBadRequest,
	reasonTarget:          fasthttp.StatusBadRequest,
	reasonTimeout:         fasthttp.StatusBadRequest,
	reasonRequest:         fasthttp.StatusBadRequest,
	reasonKeyLength:       fasthttp.StatusBadRequest,
	reasonBody:            fasthttp.StatusRequestEntityTooLarge,
	reasonHeader:          fasthttp.StatusRequestHeaderFieldsTooLarge,
	reasonSlowBody:        fasthttp.StatusRequestTimeout,
	reasonRate:            fasthttp.StatusTooManyRequests,
	reasonNoKey:           fasthttp.StatusUnauthorized,
	reasonMalformedKey:    fasthttp.StatusUnauthorized,
	reasonUnknownKey:      fasthttp.StatusUnauthorized,
	ReasonCap:             fasthttp.StatusTooManyRequests,
	admit.ReasonFull:      fasthttp.StatusTooManyRequests,
	admit.ReasonDisplaced: fasthttp.StatusTooManyRequests,
	admit.ReasonWait:      fasthttp.StatusTooManyRequests,
	admit.ReasonLimit:     fasthttp.StatusTooManyRequests,
	once.ReasonClaimed:    fasthttp.StatusConflict,
	once.ReasonMalformed:  fasthttp.StatusConflict,
	once.ReasonKeyReused:  fasthttp.StatusUnprocessableEntity,
	reasonDeadline:        fasthttp.StatusGatewayTimeout,
	retry.ReasonDeadline:  fasthttp.StatusGatewayTimeout,
}

// statusOf returns the HTTP status of an outcome without a response from the target.
func statusOf(resp *wire.Response) int {
	status, ok := statusByReason[resp.Reason]
	switch {
	case resp.Verdict == result.NotRun && (!ok || status == fasthttp.StatusGatewayTimeout):
		return fasthttp.StatusServiceUnavailable
	case resp.Verdict == result.NotRun || ok && status >= fasthttp.StatusInternalServerError || status == fasthttp.StatusConflict:
		return status
	}
	return fasthttp.StatusBadGateway
}
