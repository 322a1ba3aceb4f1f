package proxy

import "bytes"

const (
	// ownerUnknown means that a response names no request.
	ownerUnknown owner = iota
	// ownerOther means that a response names another request.
	ownerOther
	// ownerSeveral means that a response names the request and others, or names it twice.
	ownerSeveral
	// ownerRequest means that a response names exactly the request.
	ownerRequest
)

// owner is the request that a response names.
type owner uint8

// ownerOf returns the request that a response names, seen from the request with a
// non-empty id. echoed holds the values of the response's RequestIDHeader lines.
func ownerOf(id []byte, echoed [][]byte) owner {
	var named, own int
	for _, e := range echoed {
		if len(e) > 0 {
			named++
		}
		if bytes.Equal(e, id) {
			own++
		}
	}
	switch {
	case named == 0:
		return ownerUnknown
	case own == 0:
		return ownerOther
	case len(echoed) > 1:
		return ownerSeveral
	}
	return ownerRequest
}

// mayBeLate reports whether a response that names no request may be a late one to an
// earlier request on the connection. The target names the requests that have an id.
func (x *exchange) mayBeLate() bool {
	return !x.first && len(x.id) > 0
}

// identify sets owned and reports whether the response belongs to another request. Only
// the first response on a connection surely belongs to a request without an id. A response
// that names no request is not taken for another's.
func (x *exchange) identify(idHeader string) (other bool, err error) {
	if len(x.id) == 0 {
		x.owned = x.first
		return false, nil
	}
	o := ownerOf(x.id, x.resp.Header.PeekAll(idHeader))
	if o == ownerSeveral {
		return false, errSeveralIDs
	}
	x.owned = o == ownerRequest
	return o == ownerOther, nil
}
