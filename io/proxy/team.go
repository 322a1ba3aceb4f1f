package proxy

import (
	"context"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

type (
	// Freshness tells whether the configuration in force may be used to admit requests
	// with access keys. It is safe for concurrent use.
	Freshness interface {
		// Check reports whether the configuration is known to be recent enough. If it is
		// not, retryAfter is the time after which a caller may try again.
		Check() (retryAfter clock.Millis, ok bool)
	}

	// Caps counts the requests of teams against their usage caps over all nodes. It is
	// safe for concurrent use.
	Caps interface {
		// Take counts a request of a team. It may wait a short time for an answer of
		// another node, but not after ctx ends. If the request is beyond the cap, it is not
		// counted, and retryAfter is the time after which one may be admitted.
		Take(ctx context.Context, t *model.Team) (retryAfter clock.Millis, ok bool)
		// Return takes back the count of a request that has not reached a target.
		Return(team ident.TeamName)
	}
)
